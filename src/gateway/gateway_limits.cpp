/// @file
/// The part of a gateway that keeps to the rate limits that workers announce, together with all
/// other gateways.

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "gateway/gateway.h"
#include "walnut/registry/feature_level.h"

namespace walnut::gateway {

namespace {

using runtime::LogEvent;

/// Time between two share requests to the leader while requests wait for its answer.
constexpr base::Duration kShareReviewInterval = std::chrono::milliseconds(50);
/// Maximum number of workers whose unreadable limits are remembered, so that each is logged once.
constexpr std::size_t kMaxUnreadableLimits = 256;

}  // namespace

/// @return true if the followed leader supports shared limits; otherwise each gateway sends at a
/// rate of its own.
bool Gateway::sharesLimits() const {
  return session_.followingWith(registry::feature::kWorkerLimits);
}

void Gateway::responseHeadReceived(const Worker& worker, const AnswerFacts& answer,
                                   base::TimePoint sentAt) {
  const registry::WorkerId& id = worker.view.record.id;
  if (answer.limitError) {
    logUnreadableLimit(worker, *answer.limitError);
    return;
  }
  // An unsealed rejection is made before a worker looks at the request: it counts only if it
  // announces a limit.
  const bool counts = answer.limit || answer.sealed;
  if (!counts || (!answer.limit && !limits_.any())) {
    return;
  }
  limits_.setSharing(sharesLimits(), gatewayCount_.value());
  logLimitChange(limits_.responseReceived(id, answer.limit, sentAt, scheduler_.readClock()),
                 "answer");
  reportLimitsSoon();
}

void Gateway::logUnreadableLimit(const Worker& worker, const base::Error& error) {
  metrics_.count("walnut_gateway_limited_total", "unreadable");
  if (unreadableLimits_.size() >= kMaxUnreadableLimits ||
      !unreadableLimits_.insert(worker.view.record.id).second) {
    return;
  }
  log_.write(LogEvent::limitRefused, {{"worker", worker.view.record.id.value},
                                      {"error", base::errorCodeName(error.code)},
                                      {"field", error.field},
                                      {"detail", error.detail}});
}

void Gateway::logLimitChange(const std::optional<WorkerLimits::Change>& change,
                             std::string_view source) {
  if (!change) {
    return;
  }
  log_.write(change->perSecond ? LogEvent::workerLimited : LogEvent::workerLimitEnded,
             {{"worker", change->worker.value},
              {"limit", registry::limitText(change->perSecond)},
              {"former", registry::limitText(change->previous)},
              {"source", source},
              {"shared", sharesLimits() ? "yes" : "no"},
              {"gateways", std::uint64_t{gatewayCount_.value()}}});
  shareTimer_->enableAt(scheduler_.now() + shareInterval());
}

/// Applies the limits of a view. Called before the view wakes the waiting requests.
void Gateway::applyLimits(const registry::ViewUpdate& update) {
  const base::TimePoint now = scheduler_.now();
  limits_.setSharing(sharesLimits(), std::max<std::uint32_t>(1, update.gateways));
  for (const registry::WorkerView& view : update.changed) {
    logLimitChange(limits_.leaderAnnounced(view.record.id, view.limit, now), "leader");
  }
  if (limits_.any() && (update.complete || !update.removed.empty())) {
    limits_.forgetIf([this](const registry::WorkerId& worker) {
      return directory_.workers().count(worker) == 0;
    });
  }
  for (const registry::WorkerId& worker : update.removed) {
    unreadableLimits_.erase(worker);
  }
  reportLimitsSoon();
}

/// Schedules one report for the limits in all answers within an event loop iteration.
void Gateway::reportLimitsSoon() {
  if (!std::exchange(limitsSoon_, true)) {
    scheduler_.runSoon([this] {
      limitsSoon_ = false;
      reportLimits();
    });
  }
}

void Gateway::reportLimits() {
  if (!sharesLimits()) {
    return;
  }
  if (auto report = limits_.takeReport(scheduler_.readClock())) {
    session_.send(std::move(*report));
  }
}

// Shares

/// Reads the clock instead of the loop's time: the process may have been suspended since the event
/// loop iteration began, for longer than a granted share is valid.
ShareState Gateway::shareState(const registry::WorkerId& worker) {
  if (!limits_.any()) {
    return ShareState::open;
  }
  limits_.setSharing(sharesLimits(), gatewayCount_.value());
  return limits_.shareState(worker, scheduler_.readClock());
}

base::Duration Gateway::shareRetryAfter(const registry::WorkerId& worker) {
  return limits_.retryAfter(worker, scheduler_.readClock());
}

void Gateway::takeShare(const registry::WorkerId& worker) {
  if (limits_.any()) {
    limits_.take(worker, scheduler_.readClock());
  }
}

void Gateway::shareWaitBegan(const registry::WorkerId& worker) {
  limits_.waitBegan(worker);
  ++shareWaiters_;
  shareTimer_->enableAt(scheduler_.now() + kShareReviewInterval);
  requestSharesSoon();
}

void Gateway::shareWaitEnded(const registry::WorkerId& worker) {
  limits_.waitEnded(worker);
  --shareWaiters_;
}

/// Schedules one share request for all requests that came within an event loop iteration, sent
/// after the report of limits in answers.
void Gateway::requestSharesSoon() {
  if (!std::exchange(sharesSoon_, true)) {
    scheduler_.runSoon([this] {
      sharesSoon_ = false;
      reportLimits();
      requestShares(false);
    });
  }
}

void Gateway::requestShares(bool all) {
  if (!sharesLimits()) {
    return;
  }
  if (auto request = limits_.makeRequest(all, scheduler_.readClock())) {
    session_.send(std::move(*request));
  }
}

base::Duration Gateway::shareInterval() const {
  return shareWaiters_ > 0 ? kShareReviewInterval : QuotaAccount::kInterval;
}

void Gateway::reviewShares() {
  requestShares(shareWaiters_ == 0);
  if (limits_.any()) {
    shareTimer_->enableAt(scheduler_.now() + shareInterval());
  }
}

void Gateway::sharesGranted(const registry::ShareGrant& grant) {
  if (!limits_.grantReceived(grant, scheduler_.now())) {
    return;
  }
  for (const registry::WorkerId& worker : grant.unlimited) {
    logLimitChange(limits_.unlimited(worker), "leader");
  }
  wakeShareWaiters();
  if (shareWaiters_ > 0) {
    requestSharesSoon();
  }
}

/// Wakes the exchanges that wait for a share: by priority, and by arrival among equal priorities.
void Gateway::wakeShareWaiters() {
  std::vector<std::pair<std::uint32_t, std::uint64_t>> waiters;
  for (const auto& [number, exchange] : exchanges_) {
    if (exchange->isWaitingForShare()) {
      waiters.emplace_back(exchange->priority(), number);
    }
  }
  std::sort(waiters.begin(), waiters.end());
  for (const auto& [priority, number] : waiters) {
    const auto found = exchanges_.find(number);
    if (found != exchanges_.end()) {
      found->second->sharesChanged();
    }
  }
}

}  // namespace walnut::gateway
