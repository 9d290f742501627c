#pragma once
/// @file
/// What a range of seeds must have brought about to prove something: each kind of fault, each
/// outcome.

#include <string>
#include <vector>

#include "simulator/environment.h"

namespace walnut::simulator {

/// @return what never occurred, as "fault kill-router" or "outcome queue_full"; empty if all did.
std::vector<std::string> missingActivity(const ActivityCounters& counters);

/// @return the counts as lines for people.
std::vector<std::string> describeActivity(const ActivityCounters& counters);

}  // namespace walnut::simulator
