#pragma once
/// @file
/// In-memory part of a server's log: the entries since the last compaction.

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "walnut/consensus/messages.h"

namespace walnut::consensus {

/// Contiguous log entries after a base position. The entry at the base has been removed; only its
/// index and term are known. Invariants: entry i has index `baseIndex() + 1 + i`; terms never
/// decrease.
class RaftLog {
 public:
  /// @param entries contiguous entries; those with an index <= `baseIndex` are ignored.
  RaftLog(LogIndex baseIndex, Term baseTerm, std::vector<LogEntry> entries);

  /// @return the index of the last entry that was removed by compaction; 0 if there is none.
  LogIndex baseIndex() const { return baseIndex_; }
  LogIndex firstIndex() const { return baseIndex_ + 1; }
  LogIndex lastIndex() const { return baseIndex_ + entries_.size(); }
  Term lastTerm() const { return entries_.empty() ? baseTerm_ : entries_.back().term; }

  /// @return the term of the entry at `index`, which may be the base; nullopt if unknown.
  std::optional<Term> termAt(LogIndex index) const;

  /// @return true if the entry at `index` is known to have this term.
  bool matches(LogIndex index, Term term) const { return termAt(index) == term; }

  /// @return true if a log whose last entry has this index and term is at least as up to date as
  /// this log (Raft paper, section 5.4.1).
  bool isUpToDate(LogIndex lastIndex, Term lastTerm) const;

  /// @return the first index in this log with the same term as the entry at `index`, which must be
  /// in this log. Lets a leader skip a whole conflicting term at once.
  LogIndex startOfTermAt(LogIndex index) const;

  /// @return the entries in [first, last], which must be in this log; empty if last < first.
  std::vector<LogEntry> range(LogIndex first, LogIndex last) const;

  /// @return the entries from `first` on, at most `maxEntries` and `maxBytes` of payload.
  /// The first entry is included even if it alone exceeds `maxBytes`.
  std::vector<LogEntry> batchFrom(LogIndex first, std::size_t maxEntries,
                                  std::size_t maxBytes) const;

  /// Appends an entry, which must have the index `lastIndex() + 1`.
  void append(LogEntry entry);
  /// Removes the entries with index >= `index`.
  void truncateFrom(LogIndex index);
  /// Removes the entries up to `index`, which must be in this log or be the base.
  void dropUpTo(LogIndex index);
  /// Removes all entries and sets the base to the given position.
  void reset(LogIndex baseIndex, Term baseTerm);

 private:
  const LogEntry& at(LogIndex index) const { return entries_[index - baseIndex_ - 1]; }

  LogIndex baseIndex_;
  Term baseTerm_;
  std::deque<LogEntry> entries_;  // Entry i has index baseIndex_ + 1 + i.
};

}  // namespace walnut::consensus
