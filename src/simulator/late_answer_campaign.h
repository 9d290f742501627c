#pragma once
/// @file
/// Runs of a serving fleet whose workers reject requests and send some of these answers once more,
/// in the place of the next one on their connection.

#include <cstdint>
#include <string>

#include "simulator/run_account.h"

namespace walnut::simulator {

struct LateAnswerCampaignResult {
  RunAccount account;
  double servedAfter = 0;
  std::string description;

  bool passed() const;
};

/// The same seed gives the same result.
LateAnswerCampaignResult runLateAnswerCampaign(std::uint64_t seed);

}  // namespace walnut::simulator
