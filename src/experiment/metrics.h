#pragma once
/// @file
/// What an experiment measures, and its arithmetic.

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "walnut/base/ids.h"
#include "walnut/base/time.h"
#include "walnut/engine/messages.h"

namespace walnut::experiment {

/// Of one class of requests. A cold start is the time from the arrival of a request without a ready
/// replica to its first token; one that was refused counts with the time that it waited.
struct ClassFigures {
  std::uint64_t requests = 0;
  std::uint64_t refused = 0;
  std::vector<double> coldSeconds;

  /// @return the least cold start that at least the part `quantile` doesn't exceed; 0 without any.
  double coldQuantile(double quantile) const;
  double coldTotal() const;
  /// The same over all requests; one that found a ready replica counts 0.
  double startQuantile(double quantile) const;
};

/// Integral over time of the accelerator share of replicas that serve nothing.
class IdleMeter {
 public:
  /// The replica's idle share is this from now on; 0 if it serves, or is gone.
  void set(base::TimePoint now, base::ReplicaId replica, double share);
  /// Counts anew from now on.
  void restart(base::TimePoint now);
  /// @return accelerator hours so far.
  double hours(base::TimePoint now);

 private:
  void advance(base::TimePoint now);

  std::map<base::ReplicaId, double> shares_;
  double sum_ = 0;
  double seconds_ = 0;
  base::TimePoint countedTo_;
};

/// Figures of one run, over the measured days.
struct Figures {
  std::string policy;
  std::uint64_t seed = 0;
  double days = 0;
  std::array<ClassFigures, 2> classes;  ///< By engine::Priority.
  double idleHours = 0;                 ///< Of accelerators, a day.
  std::uint64_t loads = 0;
  std::uint64_t storeReads = 0;
  std::uint64_t storeBytes = 0;
  std::uint64_t deadlinesMissed = 0;
  /// Reads from the store that were begun for batches while an interactive request waited longer
  /// without a replica.
  std::uint64_t batchReadsAhead = 0;
  std::uint64_t violations = 0;  ///< Seen by the engines: overcommitted memory, stale orders.

  ClassFigures& of(engine::Priority priority) {
    return classes.at(static_cast<std::size_t>(priority));
  }
  const ClassFigures& of(engine::Priority priority) const {
    return classes.at(static_cast<std::size_t>(priority));
  }
  const ClassFigures& interactive() const { return of(engine::Priority::interactive); }
};

}  // namespace walnut::experiment
