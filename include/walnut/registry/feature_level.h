#pragma once
/// @file
/// Feature levels: features of a build of the registry or of a gateway beyond the protocol version,
/// which let builds of different levels run side by side.

#include <cstdint>

namespace walnut::registry {

/// A message of some level is sent only to peers that announced that level in their Hello. A log
/// entry of some level is proposed only once every server of the cell has announced it: from then
/// on the cell has that level for good (RaiseFeatureLevel) and admits no server of a lower one.
namespace feature {
/// EvacuateZone, StoreZoneEvacuation.
inline constexpr std::uint32_t kZoneEvacuation = 1;
/// HeartbeatBatch, HeartbeatRequest.
inline constexpr std::uint32_t kHeartbeatBatches = 2;
/// LimitReport, ShareRequest, ShareGrant; limits of workers in a PackedView.
inline constexpr std::uint32_t kWorkerLimits = 3;
/// WorkerTimingReport, WorkerTimings.
inline constexpr std::uint32_t kWorkerTimings = 4;
/// ModelForecasts, which replaces LateModels.
inline constexpr std::uint32_t kModelForecasts = 5;
/// StartingRetriesRequest, StartingRetries.
inline constexpr std::uint32_t kStartingRetries = 6;
/// Software versions of workers in records and views; StreamsBegan, FindStreamOrigin,
/// StreamOriginFound, VersionDemand.
inline constexpr std::uint32_t kSoftwareVersions = 7;
/// CutPartsReport, SuspectPartList, PartsAnswered; RefusePart, ReleaseParts.
inline constexpr std::uint32_t kPromptParts = 8;
/// Memberships with two sets of voters.
inline constexpr std::uint32_t kJointMembership = 9;
/// MarkView; marks in a PackedView.
inline constexpr std::uint32_t kViewMarks = 10;
/// VoteAnnouncement.
inline constexpr std::uint32_t kVoteAnnouncements = 11;
}  // namespace feature

/// Feature level of this build.
inline constexpr std::uint32_t kFeatureLevel = feature::kVoteAnnouncements;
/// Level to which a cell is raised: that of the latest feature which needs log entries, so that
/// servers of this level can still be admitted.
inline constexpr std::uint32_t kCellFeatureLevel = feature::kJointMembership;

}  // namespace walnut::registry
