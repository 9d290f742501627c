/// @file
/// The part of the leader's tasks that tells gateways which parts of prompts may crash workers.

#include <iterator>
#include <utility>

#include "registry/leader_duties.h"
#include "walnut/registry/feature_level.h"

namespace walnut::registry {

void LeaderDuties::subscribeToSuspectParts(protocol::ConnectionId gateway,
                                           std::uint32_t featureLevel) {
  if (featureLevel >= feature::kPromptParts) {
    partGateways_.insert(gateway);
  }
}

void LeaderDuties::sendSuspectParts(base::TimePoint now) {
  if (!crashes_.parts().takeChanged()) {
    return;
  }
  for (const protocol::ConnectionId gateway : partGateways_) {
    actions_.emplace_back(control::SendToConnection{
        gateway,
        RegistryMessage{MessageBody(crashes_.parts().list(now, takesPartTrial(gateway, now)))}});
  }
}

/// A gateway that gets no list before its first view assumes that there are no suspect parts.
void LeaderDuties::sendSuspectPartsTo(protocol::ConnectionId gateway, base::TimePoint now) {
  SuspectPartList list = crashes_.parts().list(now, takesPartTrial(gateway, now));
  if (!list.parts.empty() && partGateways_.count(gateway) != 0) {
    actions_.emplace_back(
        control::SendToConnection{gateway, RegistryMessage{MessageBody(std::move(list))}});
  }
}

bool LeaderDuties::takesPartTrial(protocol::ConnectionId gateway, base::TimePoint now) const {
  const auto found = partGateways_.find(gateway);
  if (found == partGateways_.end()) {
    return false;
  }
  const auto number = static_cast<std::size_t>(std::distance(partGateways_.begin(), found));
  return PartCrashMonitor::trialNumber(now) % partGateways_.size() == number;
}

}  // namespace walnut::registry
