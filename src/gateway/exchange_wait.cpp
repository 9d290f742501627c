/// @file
/// The part of an exchange that waits for a worker, and decides for how long that makes sense.

#include <algorithm>
#include <utility>

#include "gateway/exchange.h"

namespace walnut::gateway {

namespace {

using runtime::LogEvent;

constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;

constexpr base::Duration kBackoffMin = std::chrono::milliseconds(25);
constexpr std::uint32_t kMaxBackoffDoublings = 4;
/// When a refused caller is asked to come back.
constexpr base::Duration kRetryAfterFull = std::chrono::milliseconds(300);
/// A request for a model that only failing workers hold waits this long for another replica, then
/// goes to one of them: a load from a disk takes 1 to 2 s, and callers give up a stream that does
/// not begin after 2 s at the earliest.
constexpr base::Duration kReplicaPatience = std::chrono::milliseconds(1900);
/// @name After which the callers of the users' platform give up a stream that has not begun: the
/// longest of these
/// @{
constexpr base::Duration kLeastPatience = std::chrono::seconds(2);
constexpr int kPatienceInTargets = 4;
constexpr int kPatienceInGaps = 8;
/// @}
/// Without workers, a plain request waits this share of its target latency.
constexpr int kPatienceDivisor = 4;

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
  }
  return "unknown";
}

}  // namespace

/// Another replica may come of a model, if somebody hears that it is waited for; no other worker of
/// a plain service does.
bool Exchange::takesLastResort() const {
  return facts_.model.empty() || !context_.leaderKnown() || now() >= arrivedAt_ + kReplicaPatience;
}

void Exchange::wait(NoWorkerReason reason) {
  const bool first = !waiting_;
  if (first) {
    waiting_ = true;
    waitBeganAt_ = now();
    context_.metrics().count("walnut_gateway_waits_total", std::string(reasonName(reason)));
    context_.waitBegan(service_, facts_, route_);
    context_.log().write(LogEvent::requestWaiting, {{"request", facts_.requestId},
                                                    {"service", service_},
                                                    {"model", facts_.model},
                                                    {"adapter", facts_.adapter},
                                                    {"reason", reasonName(reason)},
                                                    {"document", context_.documentVersion()}});
  }
  if (refuseIfTooLate(reason)) {
    return;
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

/// Callers give up a stream that does not begin.
base::TimePoint Exchange::callerLeavesAt() const {
  if (!isStreaming()) {
    return deadline_;
  }
  const base::Duration patience =
      std::max({kLeastPatience, kPatienceInTargets * route_.targetLatency,
                kPatienceInGaps * route_.targetGap});
  return std::min(deadline_, arrivedAt_ + patience);
}

/// Its caller would wait in vain: it is told at once when the model is expected.
bool Exchange::refuseIfTooLate(NoWorkerReason reason) {
  if (reason != NoWorkerReason::notHeld || !facts_.adapter.empty() || headSent_) {
    return false;
  }
  const auto expected = context_.expectedAt(service_, facts_.model);
  if (!expected || *expected <= callerLeavesAt()) {
    return false;
  }
  refuse(mayHaveRun_ ? kBadGateway : kUnavailable, "the model comes too late", *expected - now());
  return true;
}

void Exchange::endWait() {
  if (std::exchange(waiting_, false)) {
    waited_ += now() - waitBeganAt_;
    context_.waitEnded(service_, facts_);
  }
}

}  // namespace walnut::gateway
