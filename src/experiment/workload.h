#pragma once
/// @file
/// Requests of simulated days, drawn from a seed.

#include <cstdint>
#include <vector>

#include "experiment/scenario.h"
#include "walnut/engine/messages.h"

namespace walnut::experiment {

struct Request {
  base::TimePoint arrival;
  base::TimePoint deadline;
  std::size_t target = 0;  ///< Index into Scenario::targets.
  std::size_t router = 0;
  engine::Priority priority = engine::Priority::interactive;
  std::uint32_t chunks = 0;  ///< Length of the answer.
};

/// A time in which the weight store is slower.
struct Slowdown {
  base::TimePoint from;
  base::TimePoint to;
  double factor = 1;
};

struct Workload {
  base::TimePoint begin;  ///< Midnight.
  base::TimePoint end;
  std::vector<Request> requests;  ///< In the order of arrival.
  std::vector<Slowdown> slowdowns;
};

/// The day: interactive requests follow the hours; a few models are in use all day, some are called
/// by timers, most sleep and are used in short sessions now and then; bursts come at many routers
/// at once; batches are handed in at night and due in the morning.
Workload makeWorkload(const Scenario& scenario, std::uint32_t days, std::uint64_t seed);

}  // namespace walnut::experiment
