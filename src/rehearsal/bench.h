#pragma once
/// @file
/// What a router adds to a call of an engine: pairs of calls, one directly at the engine and one
/// through the router, and the router's processor time under steady load.

#include <cstdint>
#include <vector>

#include "rehearsal/caller.h"
#include "rehearsal/target_list.h"

namespace walnut::rehearsal {

struct BenchOptions {
  base::Endpoint router;
  base::Endpoint engine;  ///< Holds the target.
  Target target;
  int routerPid = 0;
  std::size_t pairs = 100;  ///< In each of `concurrency` threads.
  std::size_t concurrency = 4;
  std::uint32_t maxTokens = 16;
  /// Length of the load through the router alone that its processor time is taken over.
  base::Duration loadDuration = std::chrono::seconds(10);
  std::size_t loadConcurrency = 32;
};

struct BenchLatencies {
  std::vector<base::Duration> firstToken;
  std::vector<base::Duration> total;
};

struct BenchLoad {
  std::uint64_t requests = 0;
  std::uint64_t tokens = 0;
  base::Duration elapsed{0};
  base::Duration routerCpu{0};
};

struct BenchResult {
  BenchLatencies direct;
  BenchLatencies routed;  ///< Entry i is the pair of entry i of `direct`.
  BenchLoad load;
  std::uint64_t failures = 0;  ///< Calls that were not answered whole; in none of the figures.
};

/// The order within a pair changes from pair to pair, so that neither side always finds the other's
/// warm state.
BenchResult measureRouter(const BenchOptions& options);

}  // namespace walnut::rehearsal
