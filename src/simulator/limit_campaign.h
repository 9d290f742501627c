#pragma once
/// @file
/// Runs of a serving fleet whose workers name the requests a second that they take, beside changes
/// of the leader and gateways that restart, stand still or are cut off.

#include <cstdint>
#include <string>

#include "simulator/serving_fleet.h"

namespace walnut::simulator {

struct LimitCampaignResult {
  LimitWindow worst;
  std::uint64_t arrivals = 0;  ///< At limited workers, once their bounds hold.
  double used = 0;             ///< The same, as a share of what the limits take.
  double servedInTrouble = 0;  ///< Share of the requests.
  double servedAfter = 0;      ///< The same, from `kContact` after all limits have ended.
  base::Duration refusedWithin{0};
  std::uint64_t questions = 0;
  std::string description;

  bool passed() const;
};

/// The same seed gives the same result.
LimitCampaignResult runLimitCampaign(std::uint64_t seed);

}  // namespace walnut::simulator
