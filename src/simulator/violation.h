#pragma once
/// @file
/// What a run can find wrong.

#include <cstdint>
#include <string>

#include "walnut/base/time.h"

namespace walnut::simulator {

/// The points that must always hold, numbered as in docs/PROOF.md.
enum class Point : std::uint8_t {
  replicasAsDecided = 1,
  memoryNeverOvercommitted = 2,
  endedInTime = 3,
  wholeAnswer = 4,
  notRunIsTrue = 5,
  atMostOnce = 6,
  leavingGetsNoWork = 7,
  plannedStopCutsNothing = 8,
  configurationInForce = 9,
  /// After the last fault the system must get back to work.
  liveness = 10,
  /// Invariants of consensus, an extra beside the oracle.
  consensus = 11,
};

const char* pointName(Point point);

struct PointViolation {
  base::TimePoint at;
  Point point = Point::replicasAsDecided;
  std::string what;
};

}  // namespace walnut::simulator
