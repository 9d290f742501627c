#pragma once
/// @file
/// How far the answer to a request that crashes its worker has gone when the worker ends.

#include <cstdint>

#include "simulator/serving_fleet.h"

namespace walnut::simulator {

enum class CrashMoment : std::uint8_t {
  beforeEvents,   ///< Before the first event.
  whileAnswering  ///< Drawn: before any sign of an answer, or up to some hundred ms after an event.
};

/// Draws it from a generator of its own, so that all else that a seed draws stays the same.
void drawCrashMoment(std::uint64_t seed, CrashMoment moment, ServingFleetOptions& options);

}  // namespace walnut::simulator
