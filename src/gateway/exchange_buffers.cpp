/// @file
/// The part of an exchange that bounds the memory held for its caller.

#include <algorithm>
#include <utility>

#include "gateway/exchange.h"
#include "walnut/base/tight_append.h"

namespace walnut::gateway {

namespace {

/// Maximum size of a non-streaming response, which is buffered whole before it is passed on.
constexpr std::size_t kMaxBufferedBody = 8U << 20U;
/// Maximum size of a body that is read and dropped.
constexpr std::size_t kMaxDiscardedBody = 64U << 10U;
/// Bytes buffered for a slow caller above which reading from its worker is paused.
constexpr std::size_t kHighWatermark = 256U << 10U;
constexpr std::size_t kReadReserve = BufferBudget::kReadReserve;
/// @name Answers that may have no end
/// @{
constexpr std::size_t kLongAnswer = 64U << 10U;
constexpr base::Duration kAvoidanceTime = std::chrono::seconds(1);
/// @}

}  // namespace

void Exchange::beginHolding() {
  requestShare_ = BufferBudget::Share(context_.buffers());
  answerShare_ = BufferBudget::Share(context_.buffers(), BufferBudget::Use::answers);
  requestShare_.set({request_.body.size(), request_.body.size()});
  reserveOutput(kReadReserve);
}

void Exchange::reserveOutput(std::size_t bytes) {
  outputReserve_ = bytes;
  sink_.reserve(bytes);
}

/// Commits the memory for another read, if the caller is not too far behind.
/// @return false if reading from the worker has to pause until the caller has read all.
bool Exchange::mayReadOn() {
  const std::size_t buffered = sink_.bufferedBytes();
  const std::size_t wanted = buffered + events_.partialSize() + kReadReserve;
  const std::size_t present = std::max(buffered, outputReserve_);
  const bool fits = wanted <= present || context_.buffers().fits(wanted - present);
  if (buffered > context_.buffers().streamBound(kHighWatermark) || !fits) {
    // The memory stays committed until the caller has read all: this read may have more to add.
    return false;
  }
  reserveOutput(wanted);
  return true;
}

/// Commits the memory for the next read of an incomplete event that is held back. What fits into
/// the reserve of a read is committed with the output.
void Exchange::makeRoomForEvent() {
  const std::size_t partial = events_.partialSize();
  if (partial <= kReadReserve) {
    const bool wasWaiting = answerShare_.isWaiting();
    answerShare_.clear();
    answerShare_.set({partial, 0});
    if (wasWaiting) {
      resumeReading();
    }
  } else {
    expectedBody_ = kMaxEventBytes + kReadReserve;
    isBodySizeKnown_ = false;
    makeRoom(partial);
  }
}

void Exchange::beginCollecting() {
  answerShare_.clear();
  const auto length = head_.headers.findNumber("Content-Length");
  expectedBody_ = static_cast<std::size_t>(std::min<std::uint64_t>(
      length.value_or(std::numeric_limits<std::uint64_t>::max()), kMaxBufferedBody));
  isBodySizeKnown_ = length.has_value();
  if (isBodySizeKnown_) {
    makeRoom(0);
  }
}

void Exchange::collect(std::string_view bytes) {
  if (body_.size() + bytes.size() > kMaxBufferedBody) {
    rejectOverlongAnswer();
    return;
  }
  base::tightAppend(body_, bytes);
  makeRoom(body_.size());
}

/// Reads a body that is not passed on, so that its connection may be reused.
void Exchange::discard(std::string_view bytes) {
  discardedBytes_ += bytes.size();
  if (discardedBytes_ > kMaxDiscardedBody) {
    rejectOverlongAnswer();
  }
}

/// Gives up an attempt whose answer goes beyond any limit: it may never end. The connection is
/// closed, as the rest can't be told from the next answer.
void Exchange::rejectOverlongAnswer() {
  const Executed executed = isKnownNotRun() ? Executed::no : Executed::unknown;
  stallTimer_->disable();
  context_.attemptFailed(*worker_);
  recordFailure();
  dropAttempt();
  attemptEnded(executed, "the answer is too long");
}

/// Commits the memory for the next read of a body or an event of which `size` bytes are held. Up to
/// a part of the limit, one of unknown size takes memory as it grows. Beyond it, the memory of the
/// whole is committed: if many had part of theirs, none could be completed. The reading waits until
/// there is that much room.
void Exchange::makeRoom(std::size_t size) {
  const std::size_t present = answerShare_.count().committed;
  if (!answerShare_.isWaiting() && present < expectedBody_) {
    const std::size_t step = std::min(size + kReadReserve, expectedBody_);
    if (step <= present || (!isBodySizeKnown_ && context_.buffers().letsGrow(step - present))) {
      answerShare_.set({size, std::max(present, step)});
      return;
    }
    if (!answerShare_.requestRoom(expectedBody_, [this] { resumeReading(); })) {
      attempt_->setReading(false);
      stallTimer_->disable();
      avoidEndlessWorker(size);
    }
  }
  // What has come with the read before the pause is within the reserve of the output.
  const std::size_t beyondReserve = size - std::min(size, kReadReserve);
  answerShare_.set({size, std::max(answerShare_.count().committed, beyondReserve)});
}

/// An answer of unknown size that is long already, while memory is short, may have no end. Others
/// go elsewhere meanwhile, rather than wait for memory behind it.
void Exchange::avoidEndlessWorker(std::size_t size) {
  if (!isBodySizeKnown_ && size >= kLongAnswer) {
    worker_->breaker.recordFailure(now(), 1, kAvoidanceTime);
    context_.log().write(runtime::LogEvent::breakerOpened,
                         {{"worker", worker_->view.record.id.value},
                          {"reason", "a long answer waits for memory"},
                          {"bytes", std::uint64_t{size}}});
  }
}

/// Reads on from the worker once neither the caller nor the memory holds that up.
void Exchange::resumeReading() {
  if (state_ == State::attempting && attempt_ != nullptr && !answerShare_.isWaiting() &&
      !isCallerBehind_) {
    attempt_->setReading(true);
  }
}

/// Releases what was collected of an answer that is not passed on.
void Exchange::dropCollected() {
  events_.restart();
  std::string().swap(body_);
  answerShare_.clear();
}

void Exchange::passBodyOn() {
  answerShare_.clear();
  respondWith(std::move(head_), std::move(body_));
}

}  // namespace walnut::gateway
