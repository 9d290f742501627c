#pragma once
/// @file
/// What a server's disk holds, as consensus handed it over; every write is synced at once.

#include <algorithm>

#include "walnut/consensus/raft.h"

namespace walnut::simulator {

struct StoredLog {
  consensus::RecoveredState state;
  bool hasFiles = false;  ///< The identity is on the disk.

  void persist(const consensus::PersistBatch& batch) {
    hasFiles = hasFiles || !batch.empty();
    if (batch.snapshot) {
      state.snapshot = batch.snapshot;
      if (batch.discardLog) {
        state.entries.clear();
      }
      std::erase_if(state.entries, [&batch](const consensus::LogEntry& entry) {
        return entry.index <= batch.snapshot->lastIndex;
      });
    }
    if (batch.truncateFrom) {
      std::erase_if(state.entries, [&batch](const consensus::LogEntry& entry) {
        return entry.index >= *batch.truncateFrom;
      });
    }
    state.entries.insert(state.entries.end(), batch.entries.begin(), batch.entries.end());
    if (batch.hardState) {
      state.hardState = *batch.hardState;
    }
  }
};

}  // namespace walnut::simulator
