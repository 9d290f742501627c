#pragma once
/// @file
/// Runs of a serving fleet whose sound workers are silent for a while, beside changes of the
/// document, workers that take no requests and small retry budgets.

#include <cstdint>
#include <string>

#include "simulator/serving_fleet.h"

namespace walnut::simulator {

/// In which all streams that have begun end after the last fault.
inline constexpr base::Duration kEndings = std::chrono::seconds(17);

struct SilenceCampaignResult {
  StreamCounts counts;
  std::uint64_t unanswered = 0;
  std::string streamError;  ///< What was wrong first with the events of a stream, or empty.
  std::string description;

  bool passed() const {
    return counts.endedByGateway == 0 && unanswered == 0 && streamError.empty();
  }
};

/// The same seed gives the same result.
SilenceCampaignResult runSilenceCampaign(std::uint64_t seed);

}  // namespace walnut::simulator
