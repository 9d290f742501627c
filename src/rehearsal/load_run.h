#pragma once
/// @file
/// A load run: makes the planned calls, each at its time, and judges every answer.

#include <map>
#include <string>
#include <vector>

#include "rehearsal/call_plan.h"

namespace walnut::rehearsal {

/// How one call ended.
struct CallEnding {
  PlannedCall call;
  CallResult result;
  Verdict verdict = Verdict::cut;
};

struct LoadRunOptions {
  CallPlanOptions plan;
  std::vector<base::Endpoint> routers;  ///< As many as plan.routers.
  std::size_t maxOpen = 512;            ///< Calls open at once, a thread each.
};

/// Runs to the end of the last call.
std::vector<CallEnding> runLoad(const LoadRunOptions& options, const std::vector<Target>& targets);

}  // namespace walnut::rehearsal
