#include "gateway/exchange.h"

#include <algorithm>
#include <utility>

#include "gateway/retry_after.h"

namespace walnut::gateway {

namespace {

using runtime::LogEvent;

constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr int kNoAnswer = 0;  ///< The caller had disconnected, or the response was aborted.

constexpr base::Duration kDefaultDeadline = std::chrono::seconds(60);
/// Retry-After values of refusals.
constexpr base::Duration kRetryAfterFull = std::chrono::milliseconds(300);
constexpr base::Duration kRetryAfterTimeout = std::chrono::milliseconds(500);
std::uint64_t millisOf(base::Duration duration) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

}  // namespace

Exchange::Exchange(ExchangeContext& context, std::uint64_t number,
                   std::shared_ptr<const catalog::Document> document, const catalog::Route& route,
                   std::string service, RequestFacts facts, net::HttpRequest request,
                   net::ResponseSink& sink)
    : context_(context),
      number_(number),
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
  context.dialect().removeSystemFields(request_);
  if (!request_.body.empty() || request_.method == "POST" || request_.method == "PUT") {
    request_.headers.set("Content-Length", std::to_string(request_.body.size()));
  }
}

Exchange::~Exchange() {
  context_.streamOrigins().cancel(originSearch_);
  releaseReservedRetry();
  endWait();
}

void Exchange::start() {
  sink_.setGoneCallback([this] { onCallerGone(); });
  sink_.setDrainedCallback([this] { onCallerDrained(); });
  deadlineTimer_->enableAt(deadline_);
  beginHolding();
  if (takesUpStream()) {
    findOrigin();
  } else {
    choose();
  }
}

void Exchange::viewChanged() {
  if (state_ == State::choosing && isWaiting_) {
    choose();
  }
}

void Exchange::choose() {
  if (state_ != State::choosing) {
    return;
  }
  if (now() >= deadline_) {
    onDeadline();
    return;
  }
  if (originSearch_ != 0 || refuseIfStopComesFirst()) {
    return;
  }
  if (stopIfSuspect()) {
    leaveLateStarts();
    return;
  }
  if (movesFromSilent_ > 0 && !mayUseNewWorker() && !mayReturn()) {
    failFinally("the worker that was silent is gone");
    return;
  }
  if (waitsForRetry_ && !takeRetry()) {
    waitForRetry();
    return;
  }
  waitsForRetry_ = false;
  const Selection selection = selectWorker();
  if (selection.worker == nullptr) {
    leaveLateStarts();
  }
  if (waitsForCurrentRecord(selection)) {
    return;
  }
  if (selection.requestable != nullptr) {
    requestShare(*selection.requestable);
    return;
  }
  if (selection.lastResort != nullptr && acceptsLastResort(*selection.lastResort)) {
    endWait();
    launch(selection.lastResort);
    return;
  }
  if (selection.reason == NoWorkerReason::limited && selection.worker == nullptr) {
    waitForLimit(selection);
    return;
  }
  if (selection.worker == nullptr) {
    wait(selection);
    return;
  }
  if (startsNow(selection)) {
    endWait();
    launch(selection.worker);
  }
}

void Exchange::launch(const WorkerDirectory::WorkerPtr& worker) {
  state_ = State::attempting;
  worker_ = worker;
  ++startedAttempts_;
  attemptAt_ = now();
  wasRecordCurrent_ = !isStreaming() || context_.isRecordCurrent(*worker);
  wasWorkerFull_ = worker->full();
  isHeadReceived_ = false;
  accepted_ = false;
  respondedAt_.reset();
  hasSurvived_ = false;
  bodyUse_ = BodyUse::discard;
  isCallerBehind_ = false;
  discardedBytes_ = 0;
  context_.takeShare(worker->view.record.id);
  context_.attemptBegan(*worker, facts_);
  worker->breaker.recordAttempt();
  AttemptFacts facts;
  facts.target = worker->view.record.calledName();
  facts.tenant = facts_.tenant;
  facts.deadline = deadline_ - now();
  facts.priority = priority();
  facts.resumeAfter = headSent_ ? events_.lastId() : std::string();
  context_.dialect().writeAttempt(request_, facts);
  context_.selector().affinity().recordSent(facts_, worker->view.record.id);
  context_.log().write(LogEvent::attemptStarted, {{"request", facts_.requestId},
                                                  {"route", route_.name},
                                                  {"document", document_->version},
                                                  {"worker", worker->view.record.id.value},
                                                  {"version", worker->view.record.softwareVersion},
                                                  {"running", worker->totalRunning()},
                                                  {"earlier", deliveredAttempts_}});
  staysForTime_ = false;
  if (isStreaming()) {
    armStallTimer(std::max(kStallFloor, route_.targetLatency));
  }
  attempt_ = context_.launcher().start(worker->view.record, request_, connectionChoice(), *this);
}

/// A request that may run once gets a connection of its own where rejections come without an id:
/// only there they show that it has not run.
net::ConnectionChoice Exchange::connectionChoice() const {
  const bool needsOwn = worker_->answersWithoutId && !route_.repeatable();
  return {usedConnections_, needsOwn || facts_.requestId.empty()};
}

void Exchange::releaseAttempt() {
  recordRunTime();
  context_.attemptEnded(*worker_, facts_);
  usedConnections_.push_back(attempt_->connection());
  attempt_->release();
  context_.scheduler().destroySoon(std::move(attempt_));
}

void Exchange::dropAttempt() {
  recordRunTime();
  context_.attemptEnded(*worker_, facts_);
  if (attempt_ != nullptr) {
    attempt_->cancel();
    context_.scheduler().destroySoon(std::move(attempt_));
  }
}

bool Exchange::mayRunAgain(Executed executed) const {
  const std::uint32_t runs = executedAttempts_ + (executed == Executed::no ? 0 : 1);
  return (executed == Executed::no || route_.repeatable()) && runs < route_.maxAttempts;
}

/// Records that the worker responds, once for each attempt. It may still crash as it answers.
void Exchange::recordResponse() {
  if (respondedAt_) {
    return;
  }
  respondedAt_ = now();
  context_.attemptSettled(*worker_, facts_, AttemptOutcome::answered);
  if (accepted_ && !sharedParts().empty()) {
    context_.partsAnswered(sharedParts());
  }
}

/// Records that the worker survived the request, once for each attempt.
void Exchange::recordSurvival() {
  if (std::exchange(hasSurvived_, true)) {
    return;
  }
  if (accepted_ && !sharedParts().empty()) {
    context_.partsAnswered(answeringParts());
  }
}

/// A healthy worker whose slots are all taken is slow to answer and resets connections, just as a
/// hanging one is. The registry tells the two apart, since it knows whether the worker answers
/// other gateways; such a failure is reported as stalled.
void Exchange::recordFailure() {
  context_.attemptSettled(*worker_, facts_,
                          worker_->full() ? AttemptOutcome::stalled : AttemptOutcome::failed);
}

void Exchange::logAttemptFailed(Executed executed, std::string_view reason) {
  context_.log().write(
      LogEvent::attemptFailed,
      {{"request", facts_.requestId},
       {"worker", worker_->view.record.id.value},
       {"status", static_cast<std::uint64_t>(isHeadReceived_ ? head_.status : kNoAnswer)},
       {"executed", executed == Executed::no    ? "no"
                    : executed == Executed::yes ? "yes"
                                                : "unknown"},
       {"reason", reason}});
  context_.metrics().count("walnut_gateway_attempt_failures_total", std::string(reason));
}

void Exchange::attemptEnded(Executed executed, std::string_view reason) {
  if (executed != Executed::no) {
    leftWorkers_.erase(worker_->view.record.id);
  }
  recordAttempt(executed, reason);
  retryOrFail(executed, reason);
}

void Exchange::recordAttempt(Executed executed, std::string_view reason) {
  logAttemptFailed(executed, reason);
  dropCollected();
  excluded_.insert(worker_->view.record.id);
  if (executed != Executed::no || isHeadReceived_) {
    ++deliveredAttempts_;
  }
  if (executed != Executed::no) {
    ++executedAttempts_;
    mayHaveRun_ = true;
  } else {
    ++attemptsNotRun_;
  }
  state_ = State::choosing;
}

void Exchange::retryOrFail(Executed executed, std::string_view reason) {
  const bool repeatable = executed == Executed::no || route_.repeatable();
  if (!repeatable || !(mayUseNewWorker() || mayReturn()) || now() >= deadline_) {
    failFinally(reason);
    return;
  }
  if (deliveredAttempts_ > 0 && !takeRetry()) {
    if (mayReturn()) {
      waitForRetry();
    } else {
      failFinally("retry budget used up");
    }
    return;
  }
  if (headSent_) {
    context_.log().write(LogEvent::requestResumed, {{"request", facts_.requestId},
                                                    {"after", events_.lastId()},
                                                    {"version", software_->version}});
  }
  choose();
}

bool Exchange::takeRetry() {
  if (std::exchange(retryTaken_, false) || context_.takeRetry(service_, facts_)) {
    return true;
  }
  if (!isRetryReserved_ || !context_.useReservedRetry(service_)) {
    return false;
  }
  isRetryReserved_ = false;
  return true;
}

void Exchange::failFinally(std::string_view reason) {
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
    if (isHeadReceived_) {
      worker_->breaker.recordNoOutcome(now());
    } else {
      context_.attemptFailed(*worker_);
      recordFailure();
      context_.launcher().forget(worker_->view.record.id);
    }
    dropAttempt();
  }
  if (running || mayHaveRun_) {
    refuse(kGatewayTimeout, "deadline", base::Duration::zero());
  } else {
    refuse(kUnavailable, "deadline", kRetryAfterTimeout);
  }
}

void Exchange::onCallerGone() {
  if (state_ == State::ended) {
    return;
  }
  if (state_ == State::attempting) {
    recordCallerGone();
    dropAttempt();
  }
  context_.log().write(LogEvent::requestLeft, {{"request", facts_.requestId}});
  finish(kNoAnswer, "caller left");
}

void Exchange::respondWith(net::HttpResponseHead head, std::string body) {
  const int status = head.status;
  context_.metrics().observe("walnut_gateway_answer_seconds", now() - arrivedAt_);
  sink_.respond({std::move(head), std::move(body)});
  finish(status, "answered");
}

/// Ends the request with that status. A stream that has begun has its status already and is cut.
void Exchange::refuse(int status, std::string_view reason, base::Duration retryAfter) {
  if (headSent_) {
    sink_.abort();
    finish(kNoAnswer, reason);
    return;
  }
  net::HttpResponse response;
  response.head.status = status;
  if (retryAfter > base::Duration::zero()) {
    response.head.headers.add("Retry-After", retryAfterText(retryAfter));
  }
  context_.log().write(LogEvent::requestRefused, {{"request", facts_.requestId},
                                                  {"status", static_cast<std::uint64_t>(status)},
                                                  {"reason", reason},
                                                  {"retry-after", millisOf(retryAfter)},
                                                  {"executed", mayHaveRun_ ? "unknown" : "no"}});
  sink_.respond(std::move(response));
  finish(status, reason);
}

void Exchange::finish(int status, std::string_view outcome) {
  state_ = State::ended;
  deadlineTimer_->disable();
  retryTimer_->disable();
  stallTimer_->disable();
  context_.streamOrigins().cancel(std::exchange(originSearch_, 0));
  releaseReservedRetry();
  endWait();
  context_.log().write(
      LogEvent::requestEnded,
      {{"request", facts_.requestId},
       {"route", route_.name},
       {"status", static_cast<std::uint64_t>(status)},
       {"outcome", outcome},
       {"model", facts_.model},
       {"adapter", facts_.adapter},
       {"worker", worker_ == nullptr ? "" : worker_->view.record.id.value},
       {"attempts", executedAttempts_ + std::uint64_t{accepted_}},
       {"silent", std::uint64_t{movesFromSilent_}},
       {"first", millisOf(headSent_ ? firstEventAt_ - arrivedAt_ : base::Duration::zero())},
       {"gap", millisOf(longestGap_)},
       {"limit", registry::limitText(answer_.limit)},
       {"waited", millisOf(waited_)},
       {"target", millisOf(route_.targetLatency)},
       {"target-gap", millisOf(route_.targetGap)},
       {"millis", millisOf(now() - arrivedAt_)}});
  context_.exchangeEnded(*this, status);
}

}  // namespace walnut::gateway
