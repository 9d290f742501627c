#pragma once
/// @file
/// Many runs of the simulator, on several threads, each run on one.

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "simulator/run.h"

namespace walnut::simulator {

struct CampaignOptions {
  std::uint64_t firstSeed = 1;
  std::uint64_t lastSeed = 1;
  const Deployment* deployment = nullptr;
  Sabotage sabotage = Sabotage::none;
  bool keepTrace = false;
  bool faults = true;
  std::optional<FaultKind> onlyFault;  ///< As in RunOptions.
  unsigned jobs = 1;
};

struct CampaignReport {
  std::uint64_t runs = 0;
  std::uint64_t violatingRuns = 0;
  std::uint64_t violations = 0;
  std::vector<RunReport> reports;  ///< By seed; with a timeline only if something was wrong.
  ActivityCounters counters;
  base::Duration simulated{0};
};

/// @param finished called after each run, one call at a time.
CampaignReport runCampaign(const CampaignOptions& options,
                           const std::function<void(const RunReport&)>& finished);

/// Outcome of a sabotaged run.
enum class SabotageVerdict : std::uint8_t { caught, missed, otherPoints };

/// @return whether the run violated exactly what the sabotage is to violate.
SabotageVerdict judgeSabotage(const SabotageInfo& info, const RunReport& report);

}  // namespace walnut::simulator
