#pragma once
/// @file
/// Index of the replicas in the cell's state.

#include <map>
#include <set>
#include <string>
#include <vector>

#include "control/cell_state.h"
#include "walnut/base/ids.h"
#include "walnut/resource/types.h"

namespace walnut::control {

/// One accelerator of one engine.
struct AcceleratorPlace {
  base::EngineId engine;
  base::AcceleratorIndex accelerator;
  auto operator<=>(const AcceleratorPlace&) const = default;
};

using ReplicaIds = std::set<base::ReplicaId>;

/// Finds replicas by engine, accelerator, servable and state.
/// Invariant: holds exactly the replicas of the state as of the last rebuild or update.
class LedgerIndex {
 public:
  void rebuild(const CellState& state);
  /// Objects that an update has changed.
  struct ChangedObjects {
    std::set<base::EngineId> engines;  ///< Engines whose record or replicas changed.
    std::set<std::string> models;      ///< Models whose replicas changed.
  };
  /// Applies changes of the state.
  ChangedObjects update(const std::vector<protocol::Change>& changes);

  const resource::Replica* find(base::ReplicaId id) const;
  /// Returns the replicas on the engine, in any state.
  const ReplicaIds& onEngine(const base::EngineId& engine) const;
  const ReplicaIds& onAccelerator(const AcceleratorPlace& place) const;
  const ReplicaIds& ofServable(const resource::Servable& servable) const;
  const std::map<resource::Servable, ReplicaIds>& servables() const { return byServable_; }
  const std::map<base::ReplicaId, resource::Replica>& replicas() const { return replicas_; }
  /// Returns the replicas in state reserved.
  const ReplicaIds& reserved() const { return reserved_; }
  /// @return true if a replica of the servable, in any state, is on this accelerator.
  bool holds(const AcceleratorPlace& place, const resource::Servable& servable) const;
  /// @return memory that will be free once the unloads on this accelerator are confirmed, in bytes.
  std::uint64_t unloadingBytes(const AcceleratorPlace& place) const;

 private:
  void put(const resource::Replica& replica);
  void remove(base::ReplicaId id);

  std::map<base::ReplicaId, resource::Replica> replicas_;
  std::map<base::EngineId, ReplicaIds> byEngine_;
  std::map<AcceleratorPlace, ReplicaIds> byPlace_;
  std::map<resource::Servable, ReplicaIds> byServable_;
  ReplicaIds reserved_;
};

}  // namespace walnut::control
