#pragma once
/// @file
/// Runs of a serving fleet whose size and whose failing workers a seed draws, in series and
/// overlapping.

#include <cstdint>
#include <string>
#include <vector>

namespace walnut::simulator {

struct ServingCampaignResult {
  /// Models and adapters that were asked for often, and never served while workers failed.
  std::vector<std::string> neverServed;
  double servedInTrouble = 0;  ///< Share of the requests.
  double servedAfter = 0;      ///< The same, some time after all workers were well again.
  std::string description;

  bool passed() const;
};

/// The same seed gives the same result.
ServingCampaignResult runServingCampaign(std::uint64_t seed);

}  // namespace walnut::simulator
