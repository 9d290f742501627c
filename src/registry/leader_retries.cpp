/// @file
/// The part of the leader's tasks that grants new gateway processes their first retries.

#include "registry/leader_duties.h"
#include "walnut/registry/feature_level.h"

namespace walnut::registry {

namespace {

using runtime::LogEvent;

/// Least term that a cell's leader can have: a cell is founded in term 1, in which no leader is
/// elected. Terms are durable, rise with each election and have one leader at most, so no other
/// leader can have granted anything before the one of this term.
constexpr consensus::Term kFirstTerm = 2;
/// Unit in which the log tells the remainder of the pool.
constexpr double kPerMille = 1000;

}  // namespace

/// @return the time from which retries may be granted: previous leaders may have granted some.
base::TimePoint LeaderDuties::startingRetriesFrom() const {
  return term_ == kFirstTerm ? since_ : since_ + StartingRetryPool::kHold;
}

void LeaderDuties::noteFeatureLevel(protocol::ConnectionId gateway, std::uint32_t featureLevel) {
  if (featureLevel < feature::kStartingRetries) {
    olderGateways_.insert(gateway);
  }
}

void LeaderDuties::startingRetriesRequested(protocol::ConnectionId gateway,
                                            const StartingRetriesRequest& request,
                                            base::TimePoint now) {
  if (!olderGateways_.empty()) {
    startingRetries_.closeUntil(now + StartingRetryPool::kHold);
  }
  const std::uint32_t retries =
      startingRetries_.grant(request.slack, publisher_.gatewayCount(), now);
  actions_.emplace_back(
      control::SendToConnection{gateway, RegistryMessage{MessageBody(StartingRetries{retries})}});
  log_.write(LogEvent::retriesGranted,
             {{"connection", gateway.value},
              {"retries", std::uint64_t{retries}},
              {"left-permille", static_cast<std::uint64_t>(startingRetries_.left(now) * kPerMille)},
              {"gateways", std::uint64_t{publisher_.gatewayCount()}},
              {"older-gateways", std::uint64_t{olderGateways_.size()}}});
}

}  // namespace walnut::registry
