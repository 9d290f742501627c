#pragma once
/// @file
/// Reads the platform's list of machines for the leader.

#include <map>
#include <set>
#include <vector>

#include "walnut/base/ids.h"
#include "walnut/base/time.h"
#include "walnut/control/controller.h"
#include "walnut/resource/types.h"

namespace walnut::control {

/// Reads the list at an interval and applies only lists with a later date than the last one.
/// Invariant: a machine counts as gone only if it is missing from all lists over a span of
/// machineRemovalTimeout by the platform's own clock, the first and the last list included.
class PlatformWatcher {
 public:
  /// Both references outlive this object.
  PlatformWatcher(const ControllerOptions& options, std::vector<ControllerAction>& actions)
      : options_(options), actions_(actions) {}

  void tick(base::TimePoint now);
  base::TimePoint nextWakeup() const { return nextReadAt_; }
  /// Applies the result of a read.
  /// @param known engines of the cell's state, which the list may lack.
  /// @return true if the list is newer than the last one.
  bool listRead(base::TimePoint now, const PlatformListRead& read,
                const std::map<base::EngineId, resource::Engine>& known);

  bool hasList() const { return hasList_; }
  const std::map<base::EngineId, engine::PlatformMachine>& machines() const { return machines_; }
  /// @return null if the latest list lacks the machine.
  const engine::PlatformMachine* find(const base::EngineId& engine) const;
  /// @return true if another machine of the list has this endpoint.
  bool endpointTaken(const base::EngineId& engine, const base::Endpoint& endpoint) const;
  /// @return engines that count as gone.
  std::vector<base::EngineId> goneMachines() const;

 private:
  const ControllerOptions& options_;
  std::vector<ControllerAction>& actions_;
  base::TimePoint nextReadAt_;  ///< Time of the next read; kNever while one is in flight.
  bool hasList_ = false;
  base::TimePoint asOf_;
  std::map<base::EngineId, engine::PlatformMachine> machines_;
  std::map<base::Endpoint, base::EngineId> byEndpoint_;
  std::map<base::EngineId, base::TimePoint> absentSince_;  ///< Date of the first list without it.
};

}  // namespace walnut::control
