#include "gateway/exchange.h"

#include <Poco/NumberFormatter.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace walnut::gateway {

namespace {

using runtime::LogEvent;

constexpr int kOk = 200;
constexpr int kMultipleChoices = 300;
constexpr int kInternalError = 500;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr int kMisdirected = 421;
constexpr int kNoAnswer = 0;  ///< The caller had left, or the answer was broken off.

/// Answers without events are kept whole before they are passed on, up to this size.
constexpr std::size_t kMaxCollected = 8U << 20U;
/// A slow caller holds up its worker from here on.
constexpr std::size_t kHighWatermark = 256U << 10U;

constexpr base::Duration kDefaultDeadline = std::chrono::seconds(60);
/// A worker that said it does not hold a model is not asked again for this long.
constexpr base::Duration kMissedFor = std::chrono::milliseconds(500);
constexpr base::Duration kMissedAdapterFor = std::chrono::milliseconds(25);
constexpr base::Duration kBackoffMin = std::chrono::milliseconds(25);
constexpr std::uint32_t kMaxBackoffDoublings = 4;
constexpr std::uint32_t kMaxArrivals = 8;
/// When a refused caller is asked to come back.
constexpr base::Duration kRetryAfterFull = std::chrono::milliseconds(300);
constexpr base::Duration kRetryAfterTimeout = std::chrono::milliseconds(500);
/// Without workers, a plain request waits this share of its target latency.
constexpr int kPatienceDivisor = 4;
/// Least time to the first event, and between events, after which a stream is tried elsewhere.
constexpr base::Duration kStallFloor = std::chrono::milliseconds(900);
constexpr int kStallFactor = 4;

std::string retryAfterText(base::Duration duration) {
  constexpr int kDecimals = 2;
  return Poco::NumberFormatter::format(std::chrono::duration<double>(duration).count(), kDecimals);
}

std::uint64_t millisOf(base::Duration duration) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

}  // namespace

Exchange::Exchange(ExchangeContext& context, std::shared_ptr<const catalog::Document> document,
                   const catalog::Route& route, std::string service, RequestFacts facts,
                   net::HttpRequest request, net::ResponseSink& sink)
    : context_(context),
      document_(std::move(document)),
      route_(route),
      service_(std::move(service)),
      facts_(std::move(facts)),
      request_(std::move(request)),
      sink_(sink),
      arrivedAt_(context.scheduler().now()),
      deadline_(arrivedAt_ + std::min(facts_.deadline.value_or(kDefaultDeadline), route.timeout)),
      deadlineTimer_(context.scheduler().createTimer([this] { onDeadline(); })),
      retryTimer_(context.scheduler().createTimer([this] { choose(); })),
      stallTimer_(context.scheduler().createTimer([this] { onStall(); })) {
  net::removeConnectionHeaders(request_.headers);
  if (!request_.body.empty() || request_.method == "POST" || request_.method == "PUT") {
    request_.headers.set("Content-Length", std::to_string(request_.body.size()));
  }
}

Exchange::~Exchange() { endWait(); }

void Exchange::start() {
  sink_.setGoneCallback([this] { onCallerGone(); });
  sink_.setDrainedCallback([this] { onCallerDrained(); });
  deadlineTimer_->enableAt(deadline_);
  choose();
}

void Exchange::viewChanged() {
  if (state_ == State::choosing && waiting_) {
    choose();
  }
}

void Exchange::stopWaiting() {
  if (state_ == State::choosing) {
    failFinally("stopping");
  }
}

void Exchange::giveUp() {
  if (state_ == State::attempting) {
    worker_->breaker.undecided(now());
    dropAttempt();
    mayHaveRun_ = true;
    state_ = State::choosing;
  }
  stopWaiting();
}

void Exchange::choose() {
  if (state_ != State::choosing) {
    return;
  }
  if (now() >= deadline_) {
    onDeadline();
    return;
  }
  const Selection selection = context_.selector().select(service_, facts_, excluded_, now());
  if (selection.worker != nullptr) {
    endWait();
    launch(selection.worker);
    return;
  }
  wait(selection.reason);
}

void Exchange::wait(NoWorkerReason reason) {
  const bool first = !waiting_;
  if (first) {
    waiting_ = true;
    context_.waitBegan(service_, facts_);
    context_.log().write(LogEvent::requestWaiting, {{"request", facts_.requestId},
                                                    {"service", service_},
                                                    {"model", facts_.model},
                                                    {"adapter", facts_.adapter},
                                                    {"reason", static_cast<std::uint64_t>(reason)},
                                                    {"document", context_.documentVersion()}});
  }
  const bool plain = facts_.model.empty();
  const base::TimePoint patience = arrivedAt_ + route_.targetLatency / kPatienceDivisor;
  if (plain && now() >= patience) {
    refuse(mayHaveRun_ ? kBadGateway : kUnavailable, "no worker can be had", kRetryAfterFull);
    return;
  }
  const std::uint32_t doublings = std::min(backoffs_++, kMaxBackoffDoublings);
  excluded_.clear();
  retryTimer_->enableAt(now() + kBackoffMin * (1U << doublings));
}

void Exchange::endWait() {
  if (std::exchange(waiting_, false)) {
    context_.waitEnded(service_, facts_);
  }
}

void Exchange::launch(const WorkerDirectory::WorkerPtr& worker) {
  state_ = State::attempting;
  worker_ = worker;
  attemptAt_ = now();
  headSeen_ = false;
  accepted_ = false;
  bodyUse_ = BodyUse::discard;
  body_.clear();
  worker->began(facts_.model);
  worker->breaker.attempted();
  AttemptFacts facts;
  facts.target = worker->view.record.id;
  facts.deadline = deadline_ - now();
  facts.priority = route_.priority;
  facts.resumeAfter = headSent_ ? events_.lastId() : std::string();
  context_.dialect().writeAttempt(request_, facts);
  context_.selector().affinity().sent(facts_, worker->view.record.id);
  context_.log().write(LogEvent::attemptStarted,
                       {{"request", facts_.requestId},
                        {"route", route_.name},
                        {"document", document_->version},
                        {"worker", worker->view.record.id.value},
                        {"running", worker->running + std::uint64_t{worker->runningElsewhere}},
                        {"earlier", arrivals_}});
  if (isStreaming()) {
    armStall(std::max(kStallFloor, route_.targetLatency));
  }
  attempt_ = context_.launcher().start(worker->view.record, request_, *this);
}

bool Exchange::onResponseHead(net::MessageHead head) {
  AnswerFacts facts = context_.dialect().readAnswer(head.status, head.headers);
  if (!facts.requestId.empty() && facts.requestId != facts_.requestId) {
    return false;
  }
  answer_ = std::move(facts);
  headSeen_ = true;
  head_.status = head.status;
  head_.reason = std::move(head.reason);
  head_.headers = std::move(head.headers);
  net::removeConnectionHeaders(head_.headers);
  worker_->breaker.succeeded();
  const bool success = head_.status >= kOk && head_.status < kMultipleChoices;
  accepted_ = success && answer_.sealed && !answer_.encoded && !answer_.requestId.empty();
  if (accepted_) {
    takeSuccessHead();
  } else {
    bodyUse_ = answer_.sealed ? BodyUse::collect : BodyUse::discard;
  }
  return true;
}

void Exchange::takeSuccessHead() {
  bodyUse_ = isStreaming() ? BodyUse::stream : BodyUse::collect;
  if (!isStreaming()) {
    worker_->latency.observe(now() - attemptAt_);
  }
  if (isStreaming() && headSent_) {
    std::uint64_t last = 0;
    const std::string& id = events_.lastId();
    std::from_chars(id.data(), id.data() + id.size(), last);
    events_.skipUpTo(last);
  }
}

void Exchange::onResponseBody(std::string_view bytes) {
  switch (bodyUse_) {
    case BodyUse::discard:
      return;
    case BodyUse::collect:
      if (body_.size() + bytes.size() <= kMaxCollected) {
        body_.append(bytes);
      }
      return;
    case BodyUse::stream:
      streamEvents(bytes);
      return;
  }
}

void Exchange::streamEvents(std::string_view bytes) {
  const std::string whole = events_.feed(bytes);
  if (whole.empty()) {
    return;
  }
  if (!headSent_) {
    headSent_ = true;
    firstEventAt_ = now();
    lastEventAt_ = firstEventAt_;
    worker_->latency.observe(now() - attemptAt_);
    sink_.beginChunked(head_);
  }
  longestGap_ = std::max(longestGap_, now() - lastEventAt_);
  lastEventAt_ = now();
  sink_.writeChunk(whole);
  armStall(std::max(kStallFloor, kStallFactor * route_.targetGap));
  if (sink_.bufferedBytes() > kHighWatermark) {
    attempt_->setReading(false);
    stallTimer_->disable();
  }
}

void Exchange::onCallerDrained() {
  if (state_ == State::attempting && attempt_ != nullptr) {
    attempt_->setReading(true);
  }
}

void Exchange::onResponseComplete() {
  stallTimer_->disable();
  if (answer_.notExecuted) {
    if (!facts_.model.empty()) {
      // It does not hold it, is about to drop it, or is full.
      worker_->missed(facts_.model, facts_.adapter,
                      now() + (facts_.adapter.empty() ? kMissedFor : kMissedAdapterFor));
    }
    releaseAttempt();
    attemptEnded(Executed::no, "not run by the worker");
    return;
  }
  if (accepted_ && isStreaming()) {
    completeStream();
    return;
  }
  worker_->failures.observe(!accepted_ && head_.status >= kInternalError, now());
  if (accepted_) {
    releaseAttempt();
    respondWith(std::move(head_), std::move(body_));
    return;
  }
  const bool retriable = head_.status >= kInternalError || !answer_.sealed;
  releaseAttempt();
  if (retriable && !headSent_ && mayRunAgain(Executed::yes)) {
    attemptEnded(Executed::yes, "failure of the worker");
    return;
  }
  if (answer_.sealed && !headSent_) {
    respondWith(std::move(head_), std::move(body_));
    return;
  }
  attemptEnded(Executed::unknown, "an answer that the worker does not vouch for");
}

void Exchange::completeStream() {
  if (events_.midEvent()) {
    dropAttempt();
    attemptEnded(Executed::yes, "the stream ended within an event");
    return;
  }
  worker_->failures.observe(false, now());
  releaseAttempt();
  if (!headSent_) {
    sink_.beginChunked(head_);
  }
  sink_.endChunked();
  finish(head_.status, "complete");
}

void Exchange::onResponseFailure(const base::Error& error, bool sent) {
  stallTimer_->disable();
  context_.attemptFailed(*worker_);
  dropAttempt();
  const bool notRun = !sent || (headSeen_ && answer_.notExecuted);
  attemptEnded(notRun ? Executed::no : Executed::unknown, base::errorCodeName(error.code));
}

void Exchange::releaseAttempt() {
  worker_->ended(facts_.model);
  attempt_->release();
  context_.scheduler().destroySoon(std::move(attempt_));
}

void Exchange::dropAttempt() {
  worker_->ended(facts_.model);
  if (attempt_ != nullptr) {
    attempt_->cancel();
    context_.scheduler().destroySoon(std::move(attempt_));
  }
}

bool Exchange::mayRunAgain(Executed executed) const {
  const std::uint32_t runs = runs_ + (executed == Executed::no ? 0 : 1);
  return (executed == Executed::no || route_.repeatable()) && runs < route_.maxAttempts;
}

void Exchange::attemptEnded(Executed executed, std::string_view reason) {
  context_.log().write(
      LogEvent::attemptFailed,
      {{"request", facts_.requestId},
       {"worker", worker_->view.record.id.value},
       {"status", static_cast<std::uint64_t>(headSeen_ ? head_.status : kNoAnswer)},
       {"executed", executed == Executed::no    ? "no"
                    : executed == Executed::yes ? "yes"
                                                : "unknown"},
       {"reason", reason}});
  events_.restart();
  excluded_.insert(worker_->view.record.id);
  if (executed != Executed::no || headSeen_) {
    ++arrivals_;
  }
  if (executed != Executed::no) {
    ++runs_;
    mayHaveRun_ = true;
  }
  state_ = State::choosing;
  retryOrFail(executed, reason);
}

void Exchange::retryOrFail(Executed executed, std::string_view reason) {
  const bool repeatable = executed == Executed::no || route_.repeatable();
  const bool runsLeft = runs_ < route_.maxAttempts;
  if (!repeatable || !runsLeft || arrivals_ >= kMaxArrivals || now() >= deadline_) {
    failFinally(reason);
    return;
  }
  if (arrivals_ > 0 && !context_.takeRetry(service_)) {
    failFinally("retry budget used up");
    return;
  }
  if (headSent_) {
    context_.log().write(LogEvent::requestResumed,
                         {{"request", facts_.requestId}, {"after", events_.lastId()}});
  }
  choose();
}

void Exchange::failFinally(std::string_view reason) {
  if (headSent_) {
    sink_.abort();
    finish(kNoAnswer, reason);
    return;
  }
  if (mayHaveRun_) {
    refuse(kBadGateway, reason, base::Duration::zero());
  } else {
    refuse(kUnavailable, reason, kRetryAfterFull);
  }
}

void Exchange::onDeadline() {
  if (state_ == State::ended) {
    return;
  }
  const bool running = state_ == State::attempting;
  if (running) {
    if (headSeen_) {
      worker_->breaker.undecided(now());
    } else {
      context_.attemptFailed(*worker_);
    }
    dropAttempt();
  }
  if (headSent_) {
    sink_.abort();
    finish(kNoAnswer, "deadline");
  } else if (running || mayHaveRun_) {
    refuse(kGatewayTimeout, "deadline", base::Duration::zero());
  } else {
    refuse(kUnavailable, "deadline", kRetryAfterTimeout);
  }
}

void Exchange::armStall(base::Duration patience) {
  if (route_.repeatable() && runs_ + 1 < route_.maxAttempts) {
    stallTimer_->enableAt(now() + patience);
  }
}

/// The worker has been silent for long: a stream that may be resumed goes on elsewhere, if it can.
void Exchange::onStall() {
  if (state_ != State::attempting) {
    return;
  }
  std::set<registry::WorkerId> excluded = excluded_;
  excluded.insert(worker_->view.record.id);
  const Selection other = context_.selector().select(service_, facts_, excluded, now());
  if (other.worker == nullptr) {
    return;
  }
  context_.attemptFailed(*worker_);
  dropAttempt();
  attemptEnded(Executed::unknown, "the worker is silent");
}

void Exchange::onCallerGone() {
  if (state_ == State::ended) {
    return;
  }
  if (state_ == State::attempting) {
    worker_->breaker.undecided(now());
    dropAttempt();
  }
  context_.log().write(LogEvent::requestLeft, {{"request", facts_.requestId}});
  finish(kNoAnswer, "caller left");
}

void Exchange::respondWith(net::HttpResponseHead head, std::string body) {
  const int status = head.status;
  sink_.respond({std::move(head), std::move(body)});
  finish(status, "answered");
}

void Exchange::refuse(int status, std::string_view reason, base::Duration retryAfter) {
  net::HttpResponse response;
  response.head.status = status;
  if (retryAfter > base::Duration::zero()) {
    response.head.headers.add("Retry-After", retryAfterText(retryAfter));
  }
  context_.log().write(LogEvent::requestRefused, {{"request", facts_.requestId},
                                                  {"status", static_cast<std::uint64_t>(status)},
                                                  {"reason", reason},
                                                  {"executed", mayHaveRun_ ? "unknown" : "no"}});
  sink_.respond(std::move(response));
  finish(status, reason);
}

void Exchange::finish(int status, std::string_view outcome) {
  state_ = State::ended;
  deadlineTimer_->disable();
  retryTimer_->disable();
  stallTimer_->disable();
  endWait();
  context_.log().write(
      LogEvent::requestEnded,
      {{"request", facts_.requestId},
       {"route", route_.name},
       {"status", static_cast<std::uint64_t>(status)},
       {"outcome", outcome},
       {"model", facts_.model},
       {"worker", worker_ == nullptr ? "" : worker_->view.record.id.value},
       {"attempts", runs_ + std::uint64_t{accepted_}},
       {"first", millisOf(headSent_ ? firstEventAt_ - arrivedAt_ : base::Duration::zero())},
       {"gap", millisOf(longestGap_)},
       {"millis", millisOf(now() - arrivedAt_)}});
  context_.ended(*this, status);
}

}  // namespace walnut::gateway
