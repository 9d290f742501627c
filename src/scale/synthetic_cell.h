#pragma once
/// @file
/// A cell's state of any size, as the changes that routers see, and messages made from it.

#include <cstdint>
#include <string>
#include <vector>

#include "walnut/protocol/messages.h"

namespace walnut::scale {

/// Numbers of what a cell holds.
struct CellSize {
  std::size_t models = 0;
  std::size_t adapters = 0;  ///< Spread evenly over the models.
  std::size_t engines = 0;
  std::size_t replicas = 0;  ///< Ready ones.
  std::size_t controllers = 3;
};

inline constexpr base::CellId kScaleCell{1, 1};
inline constexpr std::uint32_t kAcceleratorsPerEngine = 8;

/// @name Names as long as operators give them; functions of the index.
/// @{
std::string modelName(std::size_t model);
std::string adapterName(std::size_t adapter);
base::EngineId engineName(std::size_t engine);
base::ZoneId zoneName(std::size_t zone);
/// Models first, then adapters.
std::string targetName(const CellSize& size, std::size_t target);
/// @}

/// @return the resource of a model without a version resource of its own.
resource::Resource modelResource(std::size_t model);
resource::Resource modelVersionResource(std::size_t model);
resource::Resource adapterResource(const CellSize& size, std::size_t adapter);
resource::Engine engineRecord(std::size_t engine, const base::Endpoint& endpoint);
/// Replica number `replica`. The first ones, one on each accelerator, are of the models in turn;
/// the others are of the adapters in turn, on accelerators that hold their model.
resource::Replica replicaRecord(const CellSize& size, std::size_t replica);
/// Pool and budget that all models name.
std::vector<resource::Resource> sharedResources();

/// @param endpoints of the controllers, all voters.
consensus::Membership membershipOf(const std::vector<base::Endpoint>& endpoints);

/// @return the whole state, membership first.
std::vector<protocol::Change> wholeState(const CellSize& size,
                                         const consensus::Membership& membership);
/// @return pages as a controller sends them.
std::vector<protocol::WatchSnapshotPage> pagesOf(const std::vector<protocol::Change>& changes,
                                                 consensus::LogIndex index,
                                                 std::size_t changesPerPage);

}  // namespace walnut::scale
