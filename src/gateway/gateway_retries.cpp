/// @file
/// The part of a gateway that keeps the retry budgets of services, together with all other
/// gateways.

#include <Poco/NumberFormatter.h>

#include <string>
#include <utility>

#include "gateway/gateway.h"
#include "walnut/registry/feature_level.h"

namespace walnut::gateway {

namespace {

using routing::RetryBudget;
using runtime::LogEvent;

constexpr base::Duration kGrantLifetime = registry::kStartingRetriesLifetime;
/// Fraction of the ratio that a gateway uses: see RetryBudget.
constexpr double kRatioFraction = 0.5;
/// Fraction of a gateway's share of the slack that one process uses. The rest is for new processes.
constexpr double kSlackFraction = 1 / (1 + RetryBudget::kSuccessorShare);
/// Tolerance for rounding.
constexpr double kRounding = 1e-9;
static_assert(kSlackFraction * (1 + RetryBudget::kEarnedShare) +
                  registry::kStartingRetriesFraction <=
              1 + kRounding);

std::uint64_t millisOf(base::Duration duration) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

}  // namespace

routing::RetryBudget& Gateway::budgetOf(const std::string& service) {
  const auto [found, added] = budgets_.try_emplace(
      service, kRatioFraction * options_.retryRatio,
      kSlackFraction * options_.retrySlack / gatewayCount_.value(), startedAt_);
  if (added && startingRetriesAskedAt_) {
    found->second.grant(startingRetries_, *startingRetriesAskedAt_ + kGrantLifetime);
  }
  return found->second;
}

void Gateway::gatewaysAnnounced(std::uint32_t count) {
  const std::uint32_t former = gatewayCount_.value();
  gatewayCount_.announced(count, scheduler_.now());
  const std::uint32_t used = gatewayCount_.value();
  if (used == former) {
    return;
  }
  log_.write(LogEvent::gatewaysCounted, {{"gateways", std::uint64_t{used}},
                                         {"former", std::uint64_t{former}},
                                         {"announced", std::uint64_t{count}}});
  streamOrigins_.setGatewayCount(used);
  for (auto& [service, budget] : budgets_) {
    budget.setFloor(kSlackFraction * options_.retrySlack / used);
  }
}

/// Asks the first leader that this process follows for retries to begin with, unless it has earned
/// its own by then. It asks once.
void Gateway::requestStartingRetries() {
  if (std::exchange(followedBefore_, true) ||
      scheduler_.now() - startedAt_ >= RetryBudget::kEarningTime ||
      !session_.followingWith(registry::feature::kStartingRetries)) {
    return;
  }
  startingRetriesAskedAt_ = scheduler_.now();
  const base::Duration age = scheduler_.now() - startedAt_;
  log_.write(LogEvent::retriesRequested, {{"uptime", millisOf(age)}});
  session_.send(registry::StartingRetriesRequest{options_.retrySlack});
}

void Gateway::startingRetriesReceived(const registry::StartingRetries& grant) {
  if (!startingRetriesAskedAt_ || startingRetries_ > 0) {
    return;
  }
  startingRetries_ = grant.retries;
  for (auto& [service, budget] : budgets_) {
    budget.grant(startingRetries_, *startingRetriesAskedAt_ + kGrantLifetime);
  }
  const base::Duration age = scheduler_.now() - *startingRetriesAskedAt_;
  log_.write(LogEvent::retriesReceived,
             {{"retries", std::uint64_t{grant.retries}}, {"millis", millisOf(age)}});
}

routing::RetryBudget::Usage Gateway::retryUsage() {
  routing::RetryBudget::Usage sum;
  for (auto& [service, budget] : budgets_) {
    const routing::RetryBudget::Usage usage = budget.usage(scheduler_.now());
    sum.firstAttempts += usage.firstAttempts;
    sum.retries += usage.retries;
    sum.allowed += usage.allowed;
  }
  return sum;
}

bool Gateway::takeRetry(const std::string& service, const RequestFacts& facts) {
  const base::TimePoint now = scheduler_.now();
  routing::RetryBudget& budget = budgetOf(service);
  const routing::RetryBudget::Usage usage = budget.usage(now);
  const bool taken = budget.takeRetry(now);
  metrics_.count("walnut_gateway_retries_total", taken ? "taken" : "denied");
  log_.write(LogEvent::retryDecided, {{"request", facts.requestId},
                                      {"service", service},
                                      {"taken", taken ? "yes" : "no"},
                                      {"used", usage.retries},
                                      {"allowed", Poco::NumberFormatter::format(usage.allowed, 1)},
                                      {"granted", std::uint64_t{usage.granted}},
                                      {"first-attempts", usage.firstAttempts},
                                      {"gateways", std::uint64_t{gatewayCount_.value()}},
                                      {"uptime", millisOf(now - startedAt_)}});
  return taken;
}

bool Gateway::reserveRetry(const std::string& service) {
  return budgetOf(service).reserveRetry(scheduler_.now());
}

bool Gateway::useReservedRetry(const std::string& service) {
  const bool used = budgetOf(service).useReservedRetry(scheduler_.now());
  if (used) {
    metrics_.count("walnut_gateway_retries_total", "reserved");
  }
  return used;
}

void Gateway::releaseReservedRetry(const std::string& service) {
  budgetOf(service).releaseReservedRetry();
}

}  // namespace walnut::gateway
