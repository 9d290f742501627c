#include "routing/admission.h"

#include <algorithm>

namespace walnut::routing {

using base::ErrorCode;

namespace {
/// Retry delay for callers of a router that is shutting down or cannot confirm its configuration:
/// another router may be available, and a cell elects a leader within one or two seconds.
constexpr base::Duration kRetryAfter = std::chrono::seconds(1);
constexpr base::Duration kMinRetryAfter = std::chrono::milliseconds(100);
/// Maximum lead of a caller's clock; the cell allows the same (claimClockSkew).
constexpr base::Duration kMaxClockSkew = std::chrono::seconds(30);

Refusal permanentRefusal(ErrorCode code, const char* field, const char* detail) {
  return {{code, field, detail}, false, base::Duration(0)};
}

Refusal retryableRefusal(ErrorCode code, const char* detail, base::Duration retryAfter) {
  return {{code, "", detail}, true, std::max(retryAfter, kMinRetryAfter)};
}
}  // namespace

void Admission::refuse(const CallerRequest& caller, const Refusal& refusal) {
  core_.actions.emplace_back(CallerRefused{caller.request, refusal.error, refusal.retryable,
                                           Executed::no, refusal.retryAfter});
}

std::optional<Refusal> Admission::checkFields(const CallerRequest& caller) const {
  if (caller.deadline.has_value() && *caller.deadline - core_.now > core_.options.maxDeadline) {
    return permanentRefusal(ErrorCode::outOfRange, "deadline", "later than this router accepts");
  }
  if (caller.repeatable) {
    return std::nullopt;
  }
  if (caller.idempotencyKey.empty()) {
    return permanentRefusal(ErrorCode::missingField, "idempotency_key",
                            "required for a request that may not be repeated");
  }
  if (!caller.issuedAt.has_value()) {
    return permanentRefusal(ErrorCode::missingField, "issued_at",
                            "required for a request that may not be repeated");
  }
  if (*caller.issuedAt - core_.now > kMaxClockSkew) {
    return permanentRefusal(ErrorCode::outOfRange, "issued_at", "in the future");
  }
  if (core_.now - *caller.issuedAt > core_.options.claimWindow) {
    return permanentRefusal(ErrorCode::claimExpired, "issued_at", "before the claim window");
  }
  return std::nullopt;
}

std::optional<Refusal> Admission::checkRouter() const {
  if (!core_.canServe()) {
    return retryableRefusal(ErrorCode::configurationUnconfirmed,
                            "no majority of controllers confirms this router's configuration",
                            kRetryAfter);
  }
  return std::nullopt;
}

base::TimePoint Admission::deadlineOf(const CallerRequest& caller) const {
  return caller.deadline.value_or(core_.now + core_.options.defaultDeadline);
}

base::Duration Admission::waitEstimate(const std::string& target, engine::Priority priority) const {
  const TargetQueue& queue = core_.queue.target(target);
  QueueLoad queueLoad;
  queueLoad.requestsAhead = queue.size();
  if (priority == engine::Priority::interactive) {
    queueLoad.requestsAhead -= queue.count(QueueRank::batch);
  }
  const std::optional<resource::Servable> servable = core_.view.resolve(target);
  if (servable.has_value()) {
    queueLoad.readyReplicas = core_.view.readyReplicas(*servable).size();
  }
  static const Target kUnknown;
  const auto found = core_.targets.find(target);
  const Target& observed = found == core_.targets.end() ? kUnknown : found->second;
  return estimateWait(observed, queueLoad, core_.now, core_.options);
}

std::optional<Refusal> Admission::checkDeadline(const CallerRequest& caller,
                                                base::TimePoint deadline) {
  if (deadline <= core_.now) {
    return retryableRefusal(ErrorCode::deadlineExceeded,
                            "the deadline passed before the request arrived", kMinRetryAfter);
  }
  Target& observed = core_.targets[caller.target];
  if (core_.queue.target(caller.target).size() == 0 && core_.now >= observed.refusedDemandUntil) {
    observed.coldSince.reset();  // No recent demand was reported, so nothing is being loaded.
  }
  const base::Duration wait = waitEstimate(caller.target, caller.priority);
  if (core_.now + wait < deadline) {
    return std::nullopt;
  }
  if (!core_.view.hasReadyReplica(*core_.view.resolve(caller.target))) {
    // Reports demand although the request is refused: otherwise a model whose callers have short
    // deadlines would never be loaded.
    observed.coldSince = observed.coldSince.value_or(core_.now);
    observed.refusedDemandUntil = std::max(observed.refusedDemandUntil, core_.now + 2 * wait);
    observed.refusedPriority = caller.priority;
    core_.demand.markChanged(caller.target);
    core_.demand.requestUrgentReport(core_.now);
  }
  return retryableRefusal(ErrorCode::deadlineUnreachable,
                          "the estimated wait ends after the deadline", wait);
}

std::optional<Refusal> Admission::checkQueueSpace(const CallerRequest& caller) {
  const TargetQueue& queue = core_.queue.target(caller.target);
  const std::size_t newRequests = queue.size() - queue.count(QueueRank::resumed);
  const bool targetFull = newRequests >= core_.options.maxQueuedPerTarget;
  if (!targetFull && core_.queue.newRequestCount() < core_.options.maxQueued) {
    return std::nullopt;
  }
  Request* displaced = nullptr;
  if (caller.priority == engine::Priority::interactive) {
    displaced = targetFull ? core_.queue.latestBatch(caller.target) : core_.queue.latestBatch();
  }
  if (displaced == nullptr) {
    return retryableRefusal(ErrorCode::queueFull, "the queue is full",
                            waitEstimate(caller.target, caller.priority));
  }
  lifecycle_.refuse(
      *displaced,
      retryableRefusal(ErrorCode::queueFull, "displaced by an interactive request",
                       waitEstimate(displaced->caller.target, engine::Priority::batch)));
  return std::nullopt;
}

void Admission::admit(const CallerRequest& caller) {
  if (core_.requests.find(caller.request) != nullptr) {
    return;
  }
  if (core_.stopping) {
    refuse(caller, retryableRefusal(ErrorCode::stopping, "this router stops", kRetryAfter));
    return;
  }
  std::optional<Refusal> refusal = checkFields(caller);
  if (!refusal.has_value()) {
    refusal = checkRouter();
  }
  const std::optional<resource::Servable> servable = core_.view.resolve(caller.target);
  if (!refusal.has_value() && !servable.has_value()) {
    refusal =
        permanentRefusal(ErrorCode::unknownModel, "model", "no such model or adapter is served");
  }
  if (refusal.has_value()) {
    refuse(caller, *refusal);
    return;
  }
  core_.targets[caller.target].lastArrival = core_.now;
  core_.demand.markChanged(caller.target);
  const base::TimePoint deadline = deadlineOf(caller);
  refusal = checkDeadline(caller, deadline);
  if (!refusal.has_value()) {
    refusal = checkQueueSpace(caller);
  }
  if (refusal.has_value()) {
    refuse(caller, *refusal);
    return;
  }
  Request& request = *core_.requests.add(caller);
  request.arrivedAt = core_.now;
  request.deadline = deadline;
  request.cold = !core_.view.hasReadyReplica(*servable);
  lifecycle_.enqueue(request);
}

}  // namespace walnut::routing
