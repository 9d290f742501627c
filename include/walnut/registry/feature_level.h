#pragma once
/// @file
/// What a build of the registry and of gateways knows beyond the protocol version, so that builds
/// of different levels run side by side.

#include <cstdint>

namespace walnut::registry {

/// A message of a level goes only to peers that have said in their Hello that they know it. An
/// entry of the log of a level is proposed only once every server of the cell has: from then on the
/// cell is of that level for good (RaiseFeatureLevel), and takes in no server of a lower one.
namespace feature {
/// EvacuateZone, StoreZoneEvacuation.
inline constexpr std::uint32_t kZoneEvacuation = 1;
/// HeartbeatBatch, HeartbeatsWanted.
inline constexpr std::uint32_t kHeartbeatBatches = 2;
/// LimitReport, ShareRequest, ShareGrant; limits of workers in a PackedView.
inline constexpr std::uint32_t kWorkerLimits = 3;
}  // namespace feature

/// Of this build.
inline constexpr std::uint32_t kFeatureLevel = feature::kWorkerLimits;
/// To which a cell is raised: what came later needs nothing of its log, so that servers of this
/// level are still taken in.
inline constexpr std::uint32_t kCellFeatureLevel = feature::kHeartbeatBatches;

}  // namespace walnut::registry
