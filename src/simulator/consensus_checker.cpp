#include "simulator/consensus_checker.h"

#include <xxhash.h>

#include <algorithm>
#include <string>
#include <utility>

namespace walnut::simulator {

namespace {

std::uint64_t hashOf(const std::string& bytes, std::uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

}  // namespace

void ConsensusChecker::add(base::TimePoint at, std::string what) {
  log_.add(at, Point::consensus, std::move(what));
}

void ConsensusChecker::append(base::TimePoint at, ServerLog& log,
                              const consensus::LogEntry& entry) {
  const Record record{entry.term, hashOf(entry.payload, static_cast<std::uint64_t>(entry.type))};
  log.entries[entry.index] = record;
  const auto [known, added] = entries_.emplace(std::pair(entry.index, entry.term), record.hash);
  if (!added && known->second != record.hash) {
    add(at, "two entries at index " + std::to_string(entry.index) + " of term " +
                std::to_string(entry.term));
  }
}

void ConsensusChecker::noteSnapshot(base::TimePoint at, const consensus::Snapshot& snapshot) {
  const auto [known, added] =
      snapshots_.emplace(snapshot.lastIndex, hashOf(snapshot.data, snapshot.lastTerm));
  if (!added && known->second != hashOf(snapshot.data, snapshot.lastTerm)) {
    add(at, "snapshots differ at index " + std::to_string(snapshot.lastIndex));
  }
}

void ConsensusChecker::recovered(base::TimePoint at, const consensus::RecoveredState& state) {
  ServerLog& log = logs_[state.self];
  log = ServerLog{};
  if (state.snapshot) {
    log.snapshotIndex = log.checkedTo = log.commitIndex = state.snapshot->lastIndex;
    noteSnapshot(at, *state.snapshot);
  }
  for (const consensus::LogEntry& entry : state.entries) {
    append(at, log, entry);
  }
}

void ConsensusChecker::batch(base::TimePoint at, const consensus::PersistBatch& batch,
                             base::ServerId server) {
  ServerLog& log = logs_[server];
  if (batch.snapshot) {
    noteSnapshot(at, *batch.snapshot);
    log.snapshotIndex = std::max(log.snapshotIndex, batch.snapshot->lastIndex);
    if (batch.discardLog) {
      log.entries.clear();
      log.checkedTo = std::max(log.checkedTo, batch.snapshot->lastIndex);
    }
  }
  if (batch.truncateFrom) {
    if (*batch.truncateFrom <= log.commitIndex) {
      add(at, "server " + std::to_string(server.value) + " removed committed entry " +
                  std::to_string(*batch.truncateFrom));
    }
    log.entries.erase(log.entries.lower_bound(*batch.truncateFrom), log.entries.end());
  }
  for (const consensus::LogEntry& entry : batch.entries) {
    append(at, log, entry);
  }
}

void ConsensusChecker::noteLeader(base::TimePoint at, const consensus::RaftStatus& status) {
  const auto [leader, added] = leaders_.emplace(status.term, status.self);
  if (!added) {
    if (leader->second != status.self) {
      add(at, "two leaders in term " + std::to_string(status.term));
    }
    return;
  }
  const ServerLog& log = logs_[status.self];
  for (auto entry = committed_.upper_bound(log.snapshotIndex); entry != committed_.end(); ++entry) {
    const auto held = log.entries.find(entry->first);
    const bool missing = held == log.entries.end() || held->second != entry->second.record;
    if (missing && entry->second.seenInTerm < status.term) {
      add(at, "the leader of term " + std::to_string(status.term) + " lacks committed entry " +
                  std::to_string(entry->first));
    }
  }
}

void ConsensusChecker::checkCommitted(base::TimePoint at, const consensus::RaftStatus& status) {
  ServerLog& log = logs_[status.self];
  for (consensus::LogIndex index = log.checkedTo + 1; index <= status.commitIndex; ++index) {
    const auto entry = log.entries.find(index);
    if (entry == log.entries.end()) {
      // Covered by an installed snapshot, or not handed out yet: checked later if it comes.
      if (index >= status.firstIndex && index <= status.lastIndex) {
        return;
      }
      log.checkedTo = index;
      continue;
    }
    const auto [committed, added] =
        committed_.emplace(index, Committed{entry->second, status.term});
    if (!added && committed->second.record != entry->second) {
      add(at, "servers committed different entries at index " + std::to_string(index));
    }
    log.checkedTo = index;
  }
}

void ConsensusChecker::status(base::TimePoint at, const consensus::RaftStatus& status) {
  if (status.role == consensus::Role::leader) {
    noteLeader(at, status);
  }
  ServerLog& log = logs_[status.self];
  if (status.commitIndex < log.commitIndex) {
    add(at, "the commit index of server " + std::to_string(status.self.value) + " went back");
  }
  log.commitIndex = std::max(log.commitIndex, status.commitIndex);
  checkCommitted(at, status);
}

}  // namespace walnut::simulator
