#pragma once
/// @file
/// Invariants of consensus, checked at every step of every controller. An extra beside the oracle:
/// it looks inside the product.

#include <cstdint>
#include <map>
#include <utility>

#include "simulator/oracle.h"
#include "walnut/consensus/raft.h"

namespace walnut::simulator {

/// Checks that
/// - a term has one leader;
/// - entries of one index and term are the same at all servers (log matching);
/// - servers commit the same entry at an index, and none removes it again;
/// - the log of a leader holds all that was committed before its term (leader completeness);
/// - a server's commit index never goes back while it lives;
/// - snapshots of the state machine at one index are the same at all servers (determinism).
class ConsensusChecker {
 public:
  explicit ConsensusChecker(ViolationLog& log) : log_(log) {}

  /// A server starts with what its disk held.
  void recovered(base::TimePoint at, const consensus::RecoveredState& state);
  /// A server handed out this batch.
  void batch(base::TimePoint at, const consensus::PersistBatch& batch, base::ServerId server);
  /// After a step of a server.
  void status(base::TimePoint at, const consensus::RaftStatus& status);

 private:
  struct Record {
    consensus::Term term = 0;
    std::uint64_t hash = 0;
    bool operator==(const Record&) const = default;
  };
  /// What one server's log holds.
  struct ServerLog {
    std::map<consensus::LogIndex, Record> entries;
    consensus::LogIndex snapshotIndex = 0;  ///< Entries up to here may be gone.
    consensus::LogIndex checkedTo = 0;
    consensus::LogIndex commitIndex = 0;
  };
  struct Committed {
    Record record;
    consensus::Term seenInTerm = 0;  ///< Not before the term in which it was committed.
  };

  void add(base::TimePoint at, std::string what);
  void append(base::TimePoint at, ServerLog& log, const consensus::LogEntry& entry);
  void noteSnapshot(base::TimePoint at, const consensus::Snapshot& snapshot);
  void noteLeader(base::TimePoint at, const consensus::RaftStatus& status);
  void checkCommitted(base::TimePoint at, const consensus::RaftStatus& status);

  ViolationLog& log_;
  std::map<base::ServerId, ServerLog> logs_;
  std::map<consensus::Term, base::ServerId> leaders_;
  std::map<consensus::LogIndex, Committed> committed_;
  std::map<std::pair<consensus::LogIndex, consensus::Term>, std::uint64_t> entries_;
  std::map<consensus::LogIndex, std::uint64_t> snapshots_;  ///< Hash of the data.
};

}  // namespace walnut::simulator
