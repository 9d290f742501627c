#pragma once
/// @file
/// What the processes of a fleet take over a time, by role.

#include <sys/types.h>

#include <string>
#include <vector>

#include "scale/fleet_client.h"
#include "scale/measurement.h"
#include "scale/process_usage.h"

namespace walnut::scale {

/// A real process that another program has started.
struct FleetProcess {
  pid_t process = 0;
  base::Endpoint api;  ///< Serves its metrics.
};

struct Fleet {
  std::vector<FleetProcess> controllers;
  std::vector<FleetProcess> routers;
};

/// Counters of the process that measures.
struct OwnCounters {
  double processorSeconds = 0;  ///< Without its stand-ins for engines.
  double bytes = 0;             ///< Of all hollow routers, both ways.
  double messages = 0;
};

/// Adds one point to each series for each time measured.
class FleetSampler {
 public:
  FleetSampler(const Fleet& fleet, std::string per) : fleet_(fleet), per_(std::move(per)) {}

  void begin(const OwnCounters& own);
  /// @param x of the sweep.
  void end(double x, const OwnCounters& own);
  /// Adds a point of another quantity.
  void add(const std::string& quantity, const std::string& unit, Point point);

  std::vector<Series> release() { return std::move(series_); }

 private:
  struct Sample {
    ProcessUsage usage;
    double peerBytes = 0;
  };
  static Sample sampleOf(const FleetProcess& process);
  void addProcess(const std::string& role, double x, double seconds, const Sample& before,
                  const Sample& after);

  const Fleet& fleet_;
  std::string per_;
  std::vector<Series> series_;
  std::vector<Sample> controllers_;
  std::vector<Sample> routers_;
  OwnCounters own_;
  base::TimePoint begunAt_;
};

}  // namespace walnut::scale
