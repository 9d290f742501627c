#pragma once
/// @file
/// Runs of a serving fleet in which a part of prompts crashes the workers that begin to answer a
/// request with it, while sound requests share the other parts. A seed draws the fleet, such parts,
/// and what fails beside them.

#include <cstdint>
#include <string>
#include <vector>

#include "simulator/crash_moment.h"
#include "simulator/serving_fleet.h"

namespace walnut::simulator {

struct PartCampaignResult {
  std::vector<PartAccount> parts;
  CrashAccount account;    ///< Of requests that crash workers by themselves.
  double servedAfter = 0;  ///< Share of sound requests, once the others no longer come.
  std::string description;

  bool passed() const;
};

/// The same seed and moment give the same result.
PartCampaignResult runPartCampaign(std::uint64_t seed,
                                   CrashMoment moment = CrashMoment::beforeEvents);

}  // namespace walnut::simulator
