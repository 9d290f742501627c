#pragma once
/// @file
/// A soak: registry servers and gateways as real processes on loopback, beside stand-ins of
/// workers, clients and the operator, under overlapping faults that a seed draws and a final fault
/// of all.

#include <map>
#include <string>
#include <vector>

#include "walnut/base/error.h"
#include "walnut/base/time.h"

namespace walnut::rehearsal {

struct SoakOptions {
  std::uint64_t seed = 1;
  std::string binFolder;  ///< Folder of the programs.
  std::size_t servers = 5;
  std::size_t gateways = 5;
  std::size_t modelWorkers = 8;
  std::size_t plainWorkers = 3;
  base::Duration faults = std::chrono::seconds(12);  ///< For which faults are drawn.
  double requestsPerSecond = 40;
  /// Only faults that leave orders under way: workers that restart under their names, servers that
  /// end; half of the orders are late.
  bool ordersOnly = false;
  /// Also what concerns the limits of machines: memory, answers without end, planned stops beside
  /// processor quotas, losses of power.
  bool limits = true;
  /// Also overloaded hosts: servers that are held up, full disks, workers whose clocks are wrong;
  /// spare servers; gateways that have to say that they are ready.
  bool hosts = true;
  /// So many faults of all or most processes and returns in one life of the cell, with a check of
  /// readiness after each; 0: one final fault.
  std::size_t cycles = 0;
  bool keepsLogs = false;  ///< Also those of a run that passed.
};

struct SoakResult {
  bool passed = false;
  std::vector<std::string> violations;
  std::vector<std::string> notes;  ///< Faults, changes and violations with their times.
  std::map<std::string, std::uint64_t> counts;
  double servedBefore = 0;     ///< Share of the requests in the last seconds before the fault.
  double servedSoonAfter = 0;  ///< Until the time for recovery was over.
  double servedAfter = 0;      ///< Once it was.
  std::string folder;          ///< With settings, disks and logs; empty if it was removed.
};

/// @return an error if the processes can't be started.
base::Result<SoakResult> runSoak(const SoakOptions& options);

}  // namespace walnut::rehearsal
