#pragma once
/// @file
/// Checker of the safety properties of a whole cell while it runs.

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "walnut/consensus/raft.h"

namespace walnut::consensus::test {

/// Records the first violation of a safety property. Properties: at most one leader per term; log
/// matching; a committed entry is in the log of every later leader; all servers apply the same
/// entries, each once and in order; terms never decrease and a vote is never changed; a read sees
/// everything that any server applied before the read began; no leader has a lease while there is a
/// leader of a later term.
class ClusterChecker {
 public:
  /// Checks a server that is leader with this log, including the batch that is being synced.
  void onLeader(base::ServerId server, Term term, const RecoveredState& log);
  /// Checks a change of a server's durable state.
  void onPersisted(base::ServerId server, const RecoveredState& before,
                   const RecoveredState& after);
  /// Checks that an entry was applied by a server in this term; `digest` is that of the resulting
  /// state.
  void onApplied(base::ServerId server, Term term, const LogEntry& entry, std::uint64_t digest);
  /// Checks a replacement of a server's state machine by a snapshot.
  void onInstalled(base::ServerId server, const Snapshot& snapshot, std::uint64_t digest);
  void onRead(base::ServerId server, LogIndex appliedBefore, LogIndex readIndex);
  void onLease(base::ServerId server, Term term, base::ServerId other, Term otherTerm);

  void require(bool holds, base::ServerId server, const std::string& rule);

  /// @return the highest index that any server has applied.
  LogIndex committed() const { return entries_.size(); }
  /// @return the first violated property; empty if there is none.
  const std::string& violation() const { return violation_; }

 private:
  /// Entry that some server has applied; it was committed in `seenInTerm` or before.
  struct Committed {
    LogEntry entry;
    std::uint64_t digest = 0;
    Term seenInTerm = 0;  // Term of the first server that applied the entry.
  };
  /// Data that must be equal in all logs for the same index and term (log matching).
  struct Stored {
    LogEntry entry;
    Term previousTerm = 0;
  };

  std::map<Term, base::ServerId> leaders_;
  std::map<std::pair<LogIndex, Term>, Stored> stored_;
  std::vector<Committed> entries_;  // Entry i has index i + 1.
  std::string violation_;
};

/// @return the entry at `index`, or null if the state doesn't contain it.
const LogEntry* entryAt(const RecoveredState& state, LogIndex index);

}  // namespace walnut::consensus::test
