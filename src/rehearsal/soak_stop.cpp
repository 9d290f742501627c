#include "rehearsal/soak_stop.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "platform/standin_dialect.h"
#include "rehearsal/soak_cell.h"

namespace walnut::rehearsal {

using std::chrono::milliseconds;

namespace {

constexpr base::Duration kDeadline = std::chrono::seconds(6);
/// After which a request without an answer is given up; far beyond its deadline.
constexpr base::Duration kGivenUpAfter = std::chrono::seconds(8);
constexpr base::Duration kMaxPause = milliseconds(100);
/// @name Of the rule LOST
/// @{
constexpr base::Duration kSentSoon = std::chrono::seconds(3);
constexpr int kGraceParts = 6;  ///< A worker still at work in the last part excuses a cut.
/// @}

std::string idOf(const std::string& name, std::size_t number) {
  std::string text(17, '\0');
  (void)std::snprintf(text.data(), text.size(), "%08zx%08zx", std::hash<std::string>{}(name) >> 32U,
                      number);
  text.pop_back();
  return text;
}

bool promisesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace

class SoakStopCallers::Call : public net::ResponseCallbacks {
 public:
  /// @param request its index.
  Call(SoakStopCallers& owner, std::size_t caller, std::size_t request)
      : owner_(owner),
        caller_(caller),
        request_(request),
        key_(std::to_string(caller)),
        timer_(owner.dispatcher_.createTimer([this] { fail(); })) {}

  void start(const net::HttpRequest& request) {
    timer_->enableAt(owner_.dispatcher_.now() + kGivenUpAfter);
    connection_ = owner_.pool_.acquire(key_, owner_.gateway_);
    connection_->send(request, *this);
  }

  std::size_t caller() const { return caller_; }
  std::size_t request() const { return request_; }

 private:
  bool onResponseHead(net::MessageHead head) override {
    status_ = head.status;
    return true;
  }
  void onResponseBody(std::string_view /*bytes*/) override {}
  void onResponseComplete() override {
    timer_->disable();
    owner_.pool_.release(key_, std::move(connection_));
    owner_.ended(*this, End::answered, status_);
  }
  void onResponseFailure(const base::Error& /*error*/, bool /*sent*/) override { fail(); }

  void fail() {
    timer_->disable();
    connection_->cancel();
    owner_.dispatcher_.destroySoon(std::move(connection_));
    owner_.ended(*this, End::cut, status_);
  }

  SoakStopCallers& owner_;
  const std::size_t caller_;
  const std::size_t request_;
  const std::string key_;
  event::TimerPtr timer_;
  std::unique_ptr<net::ClientConnection> connection_;
  int status_ = 0;
};

SoakStopCallers::SoakStopCallers(event::Dispatcher& dispatcher, const base::Endpoint& gateway,
                                 std::string name, std::size_t callers, std::uint64_t seed,
                                 SoakAccount& account)
    : dispatcher_(dispatcher),
      gateway_(gateway),
      name_(std::move(name)),
      random_(seed),
      account_(account),
      pool_(dispatcher, net::ClientPoolOptions{}),
      calls_(callers) {
  for (std::size_t caller = 0; caller < callers; ++caller) {
    timers_.push_back(dispatcher.createTimer([this, caller] { sendNext(caller); }));
  }
}

SoakStopCallers::~SoakStopCallers() = default;

void SoakStopCallers::start() {
  for (const event::TimerPtr& timer : timers_) {
    timer->enableAt(dispatcher_.now() + random_.between(base::Duration::zero(), kMaxPause));
  }
}

void SoakStopCallers::sendNext(std::size_t caller) {
  if (stopped_) {
    return;
  }
  platform::StandinRequest request;
  request.id = idOf(name_, sent_.size() + 1);
  request.runsOnce = true;
  request.body = name_ + " " + std::to_string(sent_.size());
  request.deadlineMillis =
      static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(kDeadline).count());
  sent_.push_back({request.body, dispatcher_.now(), End::open, 0});
  calls_[caller] = std::make_unique<Call>(*this, caller, sent_.size() - 1);
  calls_[caller]->start(platform::writeStandinRequest(request));
}

void SoakStopCallers::ended(Call& call, End end, int status) {
  sent_[call.request()].end = end;
  sent_[call.request()].status = status;
  const std::size_t caller = call.caller();
  dispatcher_.destroySoon(std::move(calls_[caller]));
  timers_[caller]->enableAt(dispatcher_.now() + random_.between(base::Duration::zero(), kMaxPause));
}

void SoakStopCallers::check(base::TimePoint signalledAt) const {
  for (const Sent& sent : sent_) {
    if (sent.end != End::open) {
      checkOne(sent, signalledAt);
    }
  }
}

void SoakStopCallers::checkOne(const Sent& sent, base::TimePoint signalledAt) const {
  const SoakAccount::Run* const run = account_.findRun(sent.body);
  if (sent.end == End::answered) {
    account_.count("stop-" + std::to_string(sent.status));
    if (run != nullptr && promisesNotRun(sent.status)) {
      account_.violation("REFUSED", sent.sentAt,
                         sent.body + " got " + std::to_string(sent.status) + " and ran");
    }
    return;
  }
  if (run == nullptr) {
    account_.count("stop-closed-unread");
    return;
  }
  const base::TimePoint lastPart = signalledAt + kGrace - kGrace / kGraceParts;
  const bool runsToTheEnd = !run->endedAt || *run->endedAt >= lastPart;
  if (sent.sentAt <= signalledAt + kSentSoon && runsToTheEnd) {
    account_.count("stop-cut-excused");
    return;
  }
  const auto after = std::chrono::duration_cast<milliseconds>(sent.sentAt - signalledAt);
  account_.violation("LOST", sent.sentAt,
                     sent.body + ", sent " + std::to_string(after.count()) +
                         " ms after the signal, was passed on and cut with no answer");
}

}  // namespace walnut::rehearsal
