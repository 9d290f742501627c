#pragma once
/// @file
/// One run of the simulator: a deployment, a seed, faults, and what the oracle found.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "simulator/deployment.h"
#include "simulator/environment.h"
#include "simulator/fault_injector.h"
#include "simulator/sabotage.h"
#include "simulator/violation.h"

namespace walnut::simulator {

/// Bounds in virtual time, beside OracleBounds.
struct RunBounds {
  /// From start to a cell that has accepted all declarations: elections take 3 s at most, and a
  /// declaration some 20 ms.
  base::Duration setUp = std::chrono::seconds(120);
  /// After the last fault. A silent connection is closed after 10 s, an election takes up to 3 s,
  /// a lost server is replaced by operators within some 15 s, and the grace of a machine that is
  /// being reclaimed ends within 60 s.
  base::Duration recovery = std::chrono::seconds(90);
  /// A model in demand is loaded and answers: a load takes up to 10 s, unloads before it up to 5 s.
  base::Duration demandAnswered = std::chrono::seconds(60);
  /// A drained engine without requests is empty.
  base::Duration drained = std::chrono::seconds(60);
};

struct RunOptions {
  std::uint64_t seed = 1;
  const Deployment* deployment = nullptr;
  Sabotage sabotage = Sabotage::none;
  bool keepTrace = false;
  bool faults = true;
  std::optional<FaultKind> onlyFault;  ///< This one, often, in place of those that the seed draws.
};

struct RunReport {
  std::uint64_t seed = 0;
  std::uint64_t traceHash = 0;
  std::vector<PointViolation> violations;
  ActivityCounters counters;
  base::Duration simulated{0};
  std::vector<std::string> timeline;         ///< The last events; all with `keepTrace`.
  std::vector<std::string> failureTimeline;  ///< The last ones before the first violation.
};

/// Deterministic: the same options give the same report.
RunReport runSimulation(const RunOptions& options);

}  // namespace walnut::simulator
