#pragma once
/// @file
/// Runs of a serving fleet in which requests crash the workers that run them. A seed draws the
/// fleet, such requests, and what fails beside them: the leader changes, gateways restart or are
/// suspended, a worker resets its connections.

#include <cstdint>
#include <string>

#include "simulator/crash_moment.h"
#include "simulator/serving_fleet.h"

namespace walnut::simulator {

struct CrashCampaignResult {
  CrashAccount account;
  double servedInTrouble = 0;  ///< Share of the other requests.
  double servedAfter = 0;      ///< The same, once such requests no longer come.
  std::string description;

  bool passed() const;
};

enum class CrashLoad : std::uint8_t {
  light,
  busy,  ///< Requests queue at workers, so that a crash cuts many without a sign of an answer.
};

/// The same seed, load and moment give the same result.
CrashCampaignResult runCrashCampaign(std::uint64_t seed, CrashLoad load = CrashLoad::light,
                                     CrashMoment moment = CrashMoment::beforeEvents);

}  // namespace walnut::simulator
