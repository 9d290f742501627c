#pragma once
/// @file
/// Runs of a serving fleet whose workers fail most requests, beside gateways that are killed or cut
/// off from the leader and changes of the leader.

#include <cstdint>
#include <string>

#include "simulator/serving_fleet.h"

namespace walnut::simulator {

struct RetryCampaignResult {
  RetryWindow worst;
  std::string description;

  bool passed() const { return !worst.broken(); }
};

/// The same seed gives the same result.
RetryCampaignResult runRetryCampaign(std::uint64_t seed);

}  // namespace walnut::simulator
