#pragma once
/// @file
/// Test data: batches with all kinds of effects, and the states that a crash during them may leave.

#include <string>
#include <vector>

#include "walnut/consensus/raft.h"

namespace walnut::storage::test {

inline constexpr base::ServerId kIdentity{7};

/// @return the entries [from, to] of the term, each with a different payload.
std::vector<consensus::LogEntry> makeEntries(consensus::Term term, consensus::LogIndex from,
                                             consensus::LogIndex to);
consensus::Snapshot makeSnapshot(consensus::LogIndex lastIndex, consensus::Term lastTerm);

/// @return a script of batches: appends over many segments, truncations, votes, a snapshot with
/// compaction, a snapshot ahead of the log, a snapshot that discards the log.
std::vector<consensus::PersistBatch> scriptedBatches();

/// @return the state after each prefix of the batch's effects; the first is `before`.
std::vector<consensus::RecoveredState> prefixStates(const consensus::RecoveredState& before,
                                                    const consensus::PersistBatch& batch);
/// @return the state before the first batch.
consensus::RecoveredState freshState();

bool equal(const consensus::RecoveredState& left, const consensus::RecoveredState& right);
bool containsState(const std::vector<consensus::RecoveredState>& states,
                   const consensus::RecoveredState& state);

}  // namespace walnut::storage::test
