#pragma once
/// @file
/// Summary of a load run, printed as JSON.

#include <Poco/JSON/Object.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "rehearsal/load_run.h"

namespace walnut::rehearsal {

/// Runs that the engines counted, held against what callers were told.
struct ExecutionCheck {
  std::uint64_t checked = 0;          ///< Requests that were looked up at the engines.
  std::uint64_t ranThoughDenied = 0;  ///< Refused with `executed: no`, and yet started.
  std::uint64_t ranTwice = 0;         ///< May not be repeated, and started more than once.
};

/// Asks every engine how often it started the prompts of the requests that may not be repeated and
/// of those that were refused as not run. An engine that restarted has forgotten its counts, so
/// that the check can miss a fault, but reports none that is not there.
ExecutionCheck checkExecution(const std::vector<CallEnding>& endings,
                              const std::vector<base::Endpoint>& engines);

/// Counts by verdict and by refusal code, by router, and latencies of the answered calls.
Poco::JSON::Object summarize(const std::vector<CallEnding>& endings);

/// @return percentile `fraction` (0 .. 1) of the values, by the nearest rank; 0 if there are none.
base::Duration percentile(std::vector<base::Duration> values, double fraction);

/// @return milliseconds with a resolution of 10 microseconds.
double toMillis(base::Duration duration);

}  // namespace walnut::rehearsal
