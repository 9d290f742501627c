#pragma once
/// @file
/// The requests of a load run: a function of the seed alone.

#include <cstdint>
#include <string>
#include <vector>

#include "rehearsal/caller.h"
#include "rehearsal/target_list.h"
#include "walnut/base/time.h"

namespace walnut::rehearsal {

struct CallPlanOptions {
  std::uint64_t seed = 1;
  double rate = 5;  ///< Requests a second.
  base::Duration duration = std::chrono::seconds(10);
  std::size_t routers = 1;
  std::uint32_t maxTokens = 48;
  base::Duration deadline = std::chrono::seconds(30);
  double streamShare = 0.7;
  double batchShare = 0.2;
  double onceShare = 0.1;  ///< Requests that may not be repeated.
};

/// A request and when it is issued.
struct PlannedCall {
  base::Duration at{0};  ///< Since the start of the run.
  std::size_t router = 0;
  std::size_t target = 0;  ///< Index in the list of targets.
  CallIntent intent;
};

/// @return the calls in the order of time: exponential gaps, a few targets much hotter than the
/// others, prompts that no other call of any seed has.
std::vector<PlannedCall> planCalls(const CallPlanOptions& options,
                                   const std::vector<Target>& targets);

}  // namespace walnut::rehearsal
