/// @file
/// The part of an exchange that waits for a worker and limits how long it waits.

#include <algorithm>
#include <utility>

#include "gateway/exchange.h"
#include "walnut/catalog/caller_timeout.h"

namespace walnut::gateway {

namespace {

using runtime::LogEvent;

constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;

constexpr base::Duration kBackoffMin = std::chrono::milliseconds(25);
constexpr std::uint32_t kMaxBackoffDoublings = 4;
/// Retry-After value of a refusal because no worker is available.
constexpr base::Duration kRetryAfterFull = std::chrono::milliseconds(300);
/// Time for which a request for a model that only failing workers hold waits for another replica
/// before it is sent to one of them: a load from disk takes 1 to 2 s, and callers abandon a stream
/// that has not begun after 2 s at the earliest.
constexpr base::Duration kReplicaWaitTimeout = std::chrono::milliseconds(1900);
/// Without workers, or without a leader that could grant a share of a limit, a request waits for
/// this fraction (1/n) of its target latency.
constexpr int kShortWaitDivisor = 4;
/// Time before its caller disconnects at which a stream that still waits is refused: the response
/// has to reach the caller before.
constexpr base::Duration kRefusalMargin = std::chrono::milliseconds(200);
/// Time until a share of a limit is requested again from the leader.
constexpr base::Duration kShareRequestTimeout = std::chrono::milliseconds(100);

std::string_view reasonName(NoWorkerReason reason) {
  switch (reason) {
    case NoWorkerReason::noWorkers:
      return "no-workers";
    case NoWorkerReason::notHeld:
      return "not-held";
    case NoWorkerReason::excluded:
      return "excluded";
    case NoWorkerReason::broken:
      return "breaker-open";
    case NoWorkerReason::failing:
      return "failing";
    case NoWorkerReason::limited:
      return "limited";
    case NoWorkerReason::full:
      return "full";
  }
  return "unknown";
}

}  // namespace

/// Another replica of a model may be loaded if the leader learns of the demand. A plain service
/// gets no further worker this way, so its requests use a failing worker at once.
bool Exchange::acceptsLastResort(const Worker& worker) const {
  return facts_.model.empty() || !context_.hasLeader() || now() >= lastResortAt(worker);
}

/// @return when the wait for another replica ends. A stream that the failing worker usually begins
/// after some time is sent there while that time is still left to its caller.
base::TimePoint Exchange::lastResortAt(const Worker& worker) const {
  const base::TimePoint waitEnd = arrivedAt_ + kReplicaWaitTimeout;
  if (!isStreaming() || headSent_) {
    return waitEnd;
  }
  const base::Duration usual = worker.firstEventTime.valueOr(base::Duration::zero());
  return std::min(waitEnd, callerDisconnectsAt() - usual);
}

void Exchange::beginWait(NoWorkerReason reason) {
  if (std::exchange(isWaiting_, true)) {
    return;
  }
  waitBeganAt_ = now();
  context_.metrics().count("walnut_gateway_waits_total", std::string(reasonName(reason)));
  context_.waitBegan(service_, facts_, route_);
  if (software_ && !facts_.model.empty() && !software_->version.empty()) {
    awaitedVersion_ = software_->version;
    context_.versionWaitBegan(service_, facts_, awaitedVersion_);
  }
  context_.log().write(LogEvent::requestWaiting, {{"request", facts_.requestId},
                                                  {"service", service_},
                                                  {"model", facts_.model},
                                                  {"adapter", facts_.adapter},
                                                  {"reason", reasonName(reason)},
                                                  {"document", context_.documentVersion()}});
}

/// Waits for a share of the worker's limit. The leader answers within a few ms, or is lost.
void Exchange::requestShare(const Worker& worker) {
  const registry::WorkerId& id = worker.view.record.id;
  beginWait(NoWorkerReason::limited);
  if (shareWorker_ != id) {
    endShareWait();
    shareWorker_ = id;
    context_.shareWaitBegan(id);
  }
  retryTimer_->enableAt(now() + kShareRequestTimeout);
}

void Exchange::sharesChanged() {
  if (state_ == State::choosing && isWaitingForShare()) {
    endShareWait();
    choose();
  }
}

void Exchange::endShareWait() {
  if (shareWorker_) {
    context_.shareWaitEnded(*std::exchange(shareWorker_, std::nullopt));
  }
}

/// @return true if waiting is useful: the model is loaded on demand at a worker without a limit, or
/// a leader may be found within moments. A stream that has begun continues for as long as its
/// caller waits.
bool Exchange::waitsForLimit(const Selection& selection) const {
  if (headSent_) {
    return true;
  }
  if (!context_.hasLeader()) {
    return now() < shortWaitDeadline();
  }
  return !facts_.model.empty() && selection.hasUnlimitedWorkers &&
         now() < arrivedAt_ + kReplicaWaitTimeout;
}

void Exchange::waitForLimit(const Selection& selection) {
  if (!waitsForLimit(selection)) {
    context_.metrics().count("walnut_gateway_limited_total", "refused");
    refuse(mayHaveRun_ ? kBadGateway : kUnavailable, "limit of its workers",
           selection.shareAvailableIn);
    return;
  }
  beginWait(NoWorkerReason::limited);
  endShareWait();
  if (!refuseIfTooLate(NoWorkerReason::limited)) {
    const base::TimePoint next = now() + std::min(selection.shareAvailableIn, kShareRequestTimeout);
    const bool forLeader = !headSent_ && !context_.hasLeader();
    retryTimer_->enableAt(forLeader ? std::min(next, shortWaitDeadline()) : next);
  }
}

/// End of the short wait for conditions that are met within moments or not at all.
base::TimePoint Exchange::shortWaitDeadline() const {
  return arrivedAt_ + route_.targetLatency / kShortWaitDivisor;
}

void Exchange::wait(const Selection& selection) {
  if (hasNoWorkerOfVersion(selection)) {
    refuse(mayHaveRun_ ? kBadGateway : kUnavailable, "no worker of the stream's version",
           base::Duration::zero());
    return;
  }
  beginWait(selection.reason);
  if (refuseIfTooLate(selection.reason)) {
    return;
  }
  const bool plain = facts_.model.empty();
  const bool wasMoved = headSent_ && movesFromSilent_ > 0;
  if (plain && !wasMoved && now() >= shortWaitDeadline()) {
    refuse(mayHaveRun_ ? kBadGateway : kUnavailable, "no worker can be had", kRetryAfterFull);
    return;
  }
  const std::uint32_t doublings = std::min(backoffs_++, kMaxBackoffDoublings);
  excluded_.clear();
  const base::TimePoint next = std::min(now() + kBackoffMin * (1U << doublings), waitDeadline());
  retryTimer_->enableAt(
      selection.lastResort == nullptr ? next : std::min(next, lastResortAt(*selection.lastResort)));
}

/// @return when the caller is expected to disconnect: callers abandon a stream that does not begin.
base::TimePoint Exchange::callerDisconnectsAt() const {
  if (!isStreaming()) {
    return deadline_;
  }
  return std::min(deadline_,
                  arrivedAt_ + catalog::callerTimeout(route_.targetLatency, route_.targetGap));
}

/// @return when a stream that still waits is refused. The caller of one that lasts until its
/// deadline has no time to return.
base::TimePoint Exchange::waitDeadline() const {
  const base::TimePoint disconnectsAt = callerDisconnectsAt();
  return isStreaming() && !headSent_ && disconnectsAt < deadline_ ? disconnectsAt - kRefusalMargin
                                                                  : base::kNever;
}

/// @return when the model that the request waits for will be available, if the leader has said so.
std::optional<ModelAvailability> Exchange::awaitedModel(NoWorkerReason reason) const {
  const bool waitsForModel = reason == NoWorkerReason::notHeld || reason == NoWorkerReason::limited;
  if (!waitsForModel || !facts_.adapter.empty() || headSent_) {
    return std::nullopt;
  }
  return context_.availabilityOf(service_, facts_.model);
}

/// Refuses a request that can't be served before its caller disconnects: at once if even the next
/// load ends too late, otherwise shortly before. Retry-After says when the model is expected.
bool Exchange::refuseIfTooLate(NoWorkerReason reason) {
  const std::optional<ModelAvailability> model = awaitedModel(reason);
  const bool comesTooLate = model && model->earliestFor(arrivedAt_) > callerDisconnectsAt();
  if (!comesTooLate && now() < waitDeadline()) {
    return false;
  }
  const base::Duration expectedWait = model ? model->expectedAt - now() : base::Duration::zero();
  refuse(mayHaveRun_ ? kBadGateway : kUnavailable,
         comesTooLate ? "the model comes too late" : "no worker before the caller leaves",
         std::max(expectedWait, kRetryAfterFull));
  return true;
}

void Exchange::endWait() {
  endShareWait();
  leaveLateStarts();
  if (std::exchange(isWaiting_, false)) {
    waited_ += now() - waitBeganAt_;
    context_.waitEnded(service_, facts_);
    if (!awaitedVersion_.empty()) {
      context_.versionWaitEnded(service_, facts_, std::exchange(awaitedVersion_, {}));
    }
  }
}

}  // namespace walnut::gateway
