/// @file
/// The part of an exchange that processes the response of a worker.

#include <algorithm>
#include <charconv>
#include <utility>

#include "gateway/exchange.h"

namespace walnut::gateway {

namespace {

using runtime::LogEvent;

constexpr int kOk = 200;
constexpr int kMultipleChoices = 300;
constexpr int kInternalError = 500;

/// Time for which no further request is sent to a worker that denied holding a model.
constexpr base::Duration kMissingModelPeriod = std::chrono::milliseconds(500);
constexpr base::Duration kMissingAdapterPeriod = std::chrono::milliseconds(25);
constexpr int kStallFactor = 4;

}  // namespace

bool Exchange::onResponseHead(net::MessageHead head) {
  AnswerFacts facts = context_.dialect().readAnswer(head.status, head.headers);
  if (!facts.requestId.empty() && facts.requestId != facts_.requestId) {
    return false;
  }
  answer_ = std::move(facts);
  isAnswerAttributed_ = !answer_.requestId.empty() || !attempt_->sharesConnection();
  context_.responseHeadReceived(*worker_, answer_, attemptAt_);
  isHeadReceived_ = true;
  head_.status = head.status;
  head_.reason = std::move(head.reason);
  head_.headers = std::move(head.headers);
  net::removeConnectionHeaders(head_.headers);
  worker_->breaker.recordSuccess();
  if (answer_.requestId.empty()) {
    noteAnswerWithoutId();
  }
  const bool success = head_.status >= kOk && head_.status < kMultipleChoices;
  accepted_ = success && answer_.sealed && !answer_.encoded && !answer_.requestId.empty();
  if (accepted_) {
    processSuccessHead();
  } else {
    bodyUse_ = answer_.sealed && isAnswerAttributed_ ? BodyUse::collect : BodyUse::discard;
  }
  if (bodyUse_ == BodyUse::collect) {
    beginCollecting();
  }
  return true;
}

void Exchange::noteAnswerWithoutId() {
  worker_->answersWithoutId = true;
  const std::string_view attributed = isAnswerAttributed_ ? "yes" : "no";
  context_.metrics().count("walnut_gateway_answers_without_id_total", std::string(attributed));
  context_.log().write(LogEvent::answerWithoutId,
                       {{"request", facts_.requestId},
                        {"worker", worker_->view.record.id.value},
                        {"status", static_cast<std::uint64_t>(head_.status)},
                        {"attributed", attributed}});
}

void Exchange::processSuccessHead() {
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
      discard(bytes);
      return;
    case BodyUse::collect:
      collect(bytes);
      return;
    case BodyUse::stream:
      forwardEvents(bytes);
      return;
  }
}

void Exchange::forwardEvents(std::string_view bytes) {
  const std::string whole = events_.feed(bytes);
  if (!whole.empty()) {
    passEventsOn(whole);
  }
  if (state_ != State::attempting) {
    return;
  }
  if (events_.partialSize() > kMaxEventBytes) {
    rejectOverlongAnswer();
  } else {
    makeRoomForEvent();
  }
}

void Exchange::passEventsOn(const std::string& whole) {
  recordResponse();
  if (!mayCrashWorker()) {
    recordSurvival();
  }
  if (!headSent_) {
    headSent_ = true;
    recordOrigin();
    firstEventAt_ = now();
    lastEventAt_ = firstEventAt_;
    context_.metrics().observe("walnut_gateway_first_event_seconds", now() - arrivedAt_);
    worker_->latency.observe(now() - attemptAt_);
    worker_->firstEventTime.observe(now() - attemptAt_);
    context_.streamBegan(*worker_, facts_, attemptAt_, wasWorkerFull_);
    sink_.beginChunked(head_);
  }
  releaseReservedRetry();
  recordGap(now() - lastEventAt_);
  lastEventAt_ = now();
  sink_.writeChunk(whole);
  armStallTimer(std::max(kStallFloor, kStallFactor * route_.targetGap));
  if (!mayReadOn()) {
    isCallerBehind_ = true;
    attempt_->setReading(false);
    stallTimer_->disable();
  }
}

/// Counts a pause beyond the target gap as a failure of the worker, once per stream.
void Exchange::recordGap(base::Duration pause) {
  const bool first = longestGap_ <= pauseLimit();
  longestGap_ = std::max(longestGap_, pause);
  if (first && longestGap_ > pauseLimit()) {
    worker_->failures.observe(true, now());
    context_.streamPaused(*worker_);
  }
}

void Exchange::onCallerDrained() {
  if (state_ == State::attempting && attempt_ != nullptr) {
    reserveOutput(events_.partialSize() + BufferBudget::kReadReserve);
    isCallerBehind_ = false;
    resumeReading();
  }
}

void Exchange::onResponseComplete() {
  stallTimer_->disable();
  if (!isAnswerAttributed_) {
    rejectUnattributedAnswer();
    return;
  }
  if (answer_.notExecuted) {
    if (worker_->full()) {
      worker_->markFull();
    } else if (!facts_.model.empty()) {
      // The worker does not hold the model, or is about to unload it.
      worker_->markMissing(
          facts_.model, facts_.adapter,
          now() + (facts_.adapter.empty() ? kMissingModelPeriod : kMissingAdapterPeriod));
    }
    releaseAttempt();
    attemptEnded(Executed::no, "not run by the worker");
    return;
  }
  if (accepted_ && isStreaming()) {
    completeStream();
    return;
  }
  if (answer_.sealed) {
    reportSuspectAnswered();
  }
  const bool failed = !accepted_ && (head_.status >= kInternalError || !answer_.sealed);
  worker_->failures.observe(!accepted_ && head_.status >= kInternalError, now());
  if (failed) {
    recordFailure();
  } else {
    recordResponse();
    recordSurvival();
  }
  if (accepted_) {
    releaseAttempt();
    passBodyOn();
    return;
  }
  releaseAttempt();
  if (failed && !headSent_ && mayRunAgain(Executed::yes)) {
    attemptEnded(Executed::yes, "failure of the worker");
    return;
  }
  if (answer_.sealed && !headSent_) {
    if (failed) {
      logAttemptFailed(Executed::yes, "failure of the worker, passed on");
    }
    passBodyOn();
    return;
  }
  attemptEnded(Executed::unknown, "an answer that the worker does not vouch for");
}

/// Gives up an attempt whose answer may be one to an earlier request on its connection. Closing the
/// connection cancels the request, which the worker may be running.
void Exchange::rejectUnattributedAnswer() {
  const bool failed = !answer_.notExecuted && (head_.status >= kInternalError || !answer_.sealed);
  worker_->failures.observe(failed, now());
  if (failed) {
    recordFailure();
  }
  dropAttempt();
  attemptEnded(Executed::unknown, "the answer may belong to another request");
}

void Exchange::completeStream() {
  if (events_.hasPartialEvent()) {
    reportCut();
    recordFailure();
    dropAttempt();
    attemptEnded(Executed::yes, "the stream ended within an event");
    return;
  }
  recordResponse();
  recordSurvival();
  reportSuspectAnswered();
  if (longestGap_ <= pauseLimit()) {
    worker_->failures.observe(false, now());
  }
  releaseAttempt();
  if (headSent_ && executedAttempts_ == 0) {
    context_.selector().slotHeld(service_, now() - firstEventAt_);
  }
  if (!headSent_) {
    sink_.beginChunked(head_);
  }
  sink_.endChunked();
  finish(head_.status, "complete");
}

void Exchange::onResponseFailure(const base::Error& error, bool sent) {
  stallTimer_->disable();
  context_.attemptFailed(*worker_);
  const bool notRun = !sent || (isHeadReceived_ && isKnownNotRun());
  if (!isHeadReceived_ || !answer_.notExecuted) {
    recordFailure();
  }
  if (!notRun) {
    reportCut();
  }
  dropAttempt();
  attemptEnded(notRun ? Executed::no : Executed::unknown, base::errorCodeName(error.code));
}

}  // namespace walnut::gateway
