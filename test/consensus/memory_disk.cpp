#include "consensus/memory_disk.h"

#include <CppUTest/TestHarness.h>

#include <functional>
#include <utility>
#include <vector>

namespace walnut::consensus::test {

namespace {

LogIndex lastIndexOf(const RecoveredState& state) {
  const LogIndex snapshotIndex = state.snapshot ? state.snapshot->lastIndex : 0;
  return state.entries.empty() ? snapshotIndex : state.entries.back().index;
}

void saveSnapshot(RecoveredState& state, const Snapshot& snapshot, bool discardLog) {
  std::erase_if(state.entries, [&](const LogEntry& entry) {
    return discardLog || entry.index <= snapshot.lastIndex;
  });
  state.snapshot = snapshot;
}

void appendEntry(RecoveredState& state, const LogEntry& entry) {
  CHECK_EQUAL_TEXT(lastIndexOf(state) + 1, entry.index, "a batch leaves a gap in the log");
  state.entries.push_back(entry);
}

using Effect = std::function<void(RecoveredState&)>;

std::vector<Effect> effectsOf(const PersistBatch& batch) {
  std::vector<Effect> effects;
  if (batch.snapshot) {
    effects.emplace_back([&batch](RecoveredState& state) {
      saveSnapshot(state, *batch.snapshot, batch.discardLog);
    });
  }
  if (batch.truncateFrom) {
    effects.emplace_back([&batch](RecoveredState& state) {
      std::erase_if(state.entries,
                    [&](const LogEntry& entry) { return entry.index >= *batch.truncateFrom; });
    });
  }
  for (const LogEntry& entry : batch.entries) {
    effects.emplace_back([&entry](RecoveredState& state) { appendEntry(state, entry); });
  }
  if (batch.hardState) {
    effects.emplace_back([&batch](RecoveredState& state) { state.hardState = *batch.hardState; });
  }
  return effects;
}

void applyPrefix(RecoveredState& state, const PersistBatch& batch, std::size_t effects) {
  const std::vector<Effect> all = effectsOf(batch);
  for (std::size_t index = 0; index < effects && index < all.size(); ++index) {
    all[index](state);
  }
}

}  // namespace

std::size_t MemoryDisk::effectCount(const PersistBatch& batch) { return effectsOf(batch).size(); }

/// A sync covers what was read, too.
void MemoryDisk::persistPrefix(const PersistBatch& batch, std::size_t effects) {
  state_ = recover();
  unsynced_.reset();
  applyPrefix(state_, batch, effects);
}

void MemoryDisk::crashProcess(const PersistBatch& batch, std::size_t effects) {
  RecoveredState read = recover();
  applyPrefix(read, batch, effects);
  unsynced_ = std::move(read);
}

LogIndex MemoryDisk::lastIndex() const { return lastIndexOf(state_); }

}  // namespace walnut::consensus::test
