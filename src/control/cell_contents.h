#pragma once
/// @file
/// Plain data of the cell's state: what commands change and a snapshot contains, without the
/// indexes derived from it.

#include <cereal/types/map.hpp>
#include <map>

#include "walnut/base/ids.h"
#include "walnut/base/time.h"
#include "walnut/consensus/messages.h"
#include "walnut/resource/types.h"

namespace walnut::control {

struct CellContents {
  consensus::LogIndex appliedIndex = 0;
  base::TimePoint time;                     ///< Greatest time of any applied command.
  consensus::LogIndex membershipIndex = 0;  ///< Log index of the entry that set `membership`.
  consensus::Membership membership;
  std::map<resource::Key, resource::Resource> resources;
  std::map<base::EngineId, resource::Engine> engines;
  std::map<base::ReplicaId, resource::Replica> replicas;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(appliedIndex, time, membershipIndex, membership, resources, engines, replicas);
  }

  /// @return the spec of the resource, or null. `SpecType` must be the type that belongs to `kind`.
  template <class SpecType>
  const SpecType* findSpec(resource::Kind kind, const std::string& name) const {
    const auto found = resources.find(resource::Key{kind, name});
    return found == resources.end() ? nullptr : std::get_if<SpecType>(&found->second.spec);
  }
};

}  // namespace walnut::control
