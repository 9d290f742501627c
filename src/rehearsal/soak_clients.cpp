#include "rehearsal/soak_clients.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>

#include "platform/names.h"

namespace walnut::rehearsal {

using std::chrono::milliseconds;

namespace {

constexpr double kModelShare = 0.6;
constexpr double kOnceShare = 0.15;
constexpr base::Duration kModelDeadline = std::chrono::seconds(6);
constexpr base::Duration kPlainDeadline = milliseconds(1500);
constexpr base::Duration kRetryPause = milliseconds(50);
constexpr int kMaxTries = 3;
constexpr int kOk = 200;
constexpr std::uint64_t kEvents = 6;
constexpr std::size_t kShownBytes = 120;

/// @return an id of 16 hexadecimal digits.
std::string requestId(std::uint64_t number) {
  std::string text(17, '\0');
  (void)std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(number));
  text.pop_back();
  return text;
}

}  // namespace

/// One try of a client. What came of an answer that breaks off is kept.
class SoakClients::Call : public net::ResponseCallbacks {
 public:
  Call(SoakClients& owner, ClientPtr client, const base::Endpoint& gateway)
      : owner_(owner),
        client_(std::move(client)),
        key_(gateway.address),
        timer_(owner.dispatcher_.createTimer([this] { fail(); })) {}

  void start(const base::Endpoint& gateway, base::Duration timeout) {
    timer_->enableAt(owner_.dispatcher_.now() + timeout);
    connection_ = owner_.pool_.acquire(key_, gateway);
    connection_->send(platform::writeStandinRequest(client_->request), *this);
  }

  const ClientPtr& client() const { return client_; }
  bool isWhole() const { return isWhole_; }
  const net::MessageHead& head() const { return head_; }
  const std::string& body() const { return body_; }

 private:
  bool onResponseHead(net::MessageHead head) override {
    head_ = std::move(head);
    return true;
  }
  void onResponseBody(std::string_view bytes) override { body_.append(bytes); }
  void onResponseComplete() override {
    isWhole_ = true;
    timer_->disable();
    owner_.pool_.release(key_, std::move(connection_));
    owner_.ended(*this);
  }
  void onResponseFailure(const base::Error& /*error*/, bool /*sent*/) override { fail(); }

  void fail() {
    timer_->disable();
    connection_->cancel();
    owner_.dispatcher_.destroySoon(std::move(connection_));
    owner_.ended(*this);
  }

  SoakClients& owner_;
  const ClientPtr client_;
  const std::string key_;
  event::TimerPtr timer_;
  std::unique_ptr<net::ClientConnection> connection_;
  net::MessageHead head_;
  std::string body_;
  bool isWhole_ = false;
};

SoakClients::SoakClients(event::Dispatcher& dispatcher, SoakClientsOptions options,
                         std::uint64_t seed, SoakAccount& account)
    : dispatcher_(dispatcher),
      options_(std::move(options)),
      random_(seed),
      account_(account),
      pool_(dispatcher, net::ClientPoolOptions{}),
      nextRequest_(dispatcher.createTimer([this] { sendNext(); })),
      lastRequest_(random_.uniform(1, 1U << 30U) << 20U) {}

SoakClients::~SoakClients() = default;

void SoakClients::start() { sendNext(); }

void SoakClients::sendNext() {
  if (stopped_) {
    return;
  }
  const auto client = std::make_shared<Client>();
  const bool models = random_.chance(kModelShare);
  client->request.target =
      models ? options_.targets[random_.uniform(0, options_.targets.size() - 1)] : "";
  client->request.runsOnce = !models && random_.chance(kOnceShare / (1 - kModelShare));
  client->request.body = "body " + requestId(++lastRequest_);
  client->sentAt = dispatcher_.now();
  client->deadline = client->sentAt + (models ? kModelDeadline : kPlainDeadline);
  tryOnce(client);
  const double gap = -std::log(1 - random_.unit()) / options_.requestsPerSecond;
  nextRequest_->enableAt(dispatcher_.now() + std::chrono::duration_cast<base::Duration>(
                                                 std::chrono::duration<double>(gap)));
}

void SoakClients::burst(std::size_t gateway, std::size_t requests) {
  for (std::size_t sent = 0; sent < requests; ++sent) {
    const auto client = std::make_shared<Client>();
    client->request.body = "body " + requestId(++lastRequest_);
    client->sentAt = dispatcher_.now();
    client->deadline = client->sentAt + kPlainDeadline;
    client->gateway = gateway;
    tryOnce(client);
  }
}

void SoakClients::tryOnce(const ClientPtr& client) {
  ++client->tries;
  client->request.id = requestId(++lastRequest_);
  const base::Duration left = client->deadline - dispatcher_.now();
  client->request.deadlineMillis =
      static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(left).count());
  const std::size_t index =
      client->gateway.value_or(random_.uniform(0, options_.gateways.size() - 1));
  const base::Endpoint& gateway = options_.gateways[index];
  client->request.resumeAfter = client->stream.lastId();
  client->request.resumes = client->stream.begunBy();
  const std::string version =
      client->stream.versions().empty() ? "" : *client->stream.versions().begin();
  client->counts = !client->request.target.empty() && client->stream.lastId() < kEvents &&
                   options_.countsTry(index, version);
  auto call = std::make_unique<Call>(*this, client, gateway);
  Call* const started = call.get();
  calls_.emplace(started, std::move(call));
  started->start(gateway, left);
}

void SoakClients::ended(Call& call) {
  const auto found = calls_.find(&call);
  std::unique_ptr<Call> owned = std::move(found->second);
  calls_.erase(found);
  answered(owned->client(), *owned);
  dispatcher_.destroySoon(std::move(owned));
}

void SoakClients::answered(const ClientPtr& client, const Call& call) {
  const bool isStream = !client->request.target.empty();
  const bool isOk = call.head().status == kOk;
  const bool isDone = isStream ? isOk && checkStream(*client, call) : isOk && call.isWhole();
  if (std::exchange(client->counts, false)) {
    account_.streamTried(client->request.resumeAfter > 0,
                         client->stream.lastId() > client->request.resumeAfter);
  }
  if (isDone) {
    check(*client, call);
    finish(*client, true);
    return;
  }
  base::Duration pause = kRetryPause;
  if (call.isWhole()) {
    const auto seconds = call.head().headers.findNumber("Retry-After");
    pause = seconds ? base::Duration(std::chrono::seconds(*seconds)) : pause;
  }
  tryAgain(client, pause);
}

/// @return true if the stream has ended with all its events.
bool SoakClients::checkStream(Client& client, const Call& call) {
  const std::uint64_t before = client.stream.lastId();
  const std::string error = client.stream.take(call.body(), client.request.id);
  if (!error.empty()) {
    account_.violation("ORDER", dispatcher_.now(), client.request.id + ": " + error);
  }
  if (before > 0) {
    account_.count(client.stream.lastId() > before ? "taken-up" : "not-taken-up");
  }
  if (call.isWhole() && client.stream.lastId() != kEvents) {
    account_.violation("ORDER", dispatcher_.now(),
                       client.request.id + " got 200 with " + std::to_string(call.body().size()) +
                           " bytes: " + call.body().substr(0, kShownBytes));
  }
  return call.isWhole();
}

/// A request that must run once is sent once.
void SoakClients::tryAgain(const ClientPtr& client, base::Duration pause) {
  const base::Duration left = client->deadline - dispatcher_.now();
  const base::Duration wait = std::min(pause, left / 3);
  if (client->request.runsOnce || client->tries >= kMaxTries || left < milliseconds(20)) {
    finish(*client, false);
    return;
  }
  client->timer = dispatcher_.createTimer([this, client] { tryOnce(client); });
  client->timer->enableAt(dispatcher_.now() + wait);
}

/// The timer keeps the client, so it has to go for the client to be destroyed.
void SoakClients::finish(Client& client, bool served) {
  account_.requestEnded(client.sentAt, served);
  dispatcher_.destroySoon(std::move(client.timer));
}

void SoakClients::check(const Client& client, const Call& call) {
  const std::string* seal = call.head().headers.find(platform::kSealHeader);
  if (seal == nullptr || *seal != "seal of " + client.request.id) {
    account_.violation("MIXED", dispatcher_.now(),
                       client.request.id + " got 200 with the seal " +
                           (seal == nullptr ? std::string("of nobody") : *seal));
  } else if (client.request.target.empty() && call.body() != "answer to " + client.request.body) {
    account_.violation("MIXED", dispatcher_.now(),
                       client.request.id + " got 200 with " + std::to_string(call.body().size()) +
                           " bytes: " + call.body().substr(0, kShownBytes));
  }
}

}  // namespace walnut::rehearsal
