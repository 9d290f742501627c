#pragma once
/// @file
/// Runs of a serving fleet whose workers have several software versions, beside streams that break
/// and are taken up by their callers.

#include <cstdint>
#include <string>

#include "simulator/serving_fleet.h"

namespace walnut::simulator {

struct VersionCampaignResult {
  VersionAccount account;
  std::string streamError;  ///< What was wrong first with the events of a stream, or empty.
  std::string description;

  bool passed() const {
    return account.mixedStreams() == 0 && !account.takesUpTooFew() && streamError.empty();
  }
};

/// The same seed gives the same result.
VersionCampaignResult runVersionCampaign(std::uint64_t seed);

/// The same with all gateways killed at once, and releases, workers that restart in place with
/// another version, changes of the leader and gateways that are cut off from it at nearly that
/// time.
VersionCampaignResult runRejoinedCampaign(std::uint64_t seed);

/// The same two with gateways that stand still for seconds.
VersionCampaignResult runSuspendedVersionCampaign(std::uint64_t seed);
VersionCampaignResult runSuspendedRejoinedCampaign(std::uint64_t seed);

}  // namespace walnut::simulator
