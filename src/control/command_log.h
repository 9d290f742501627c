#pragma once
/// @file
/// Proposes commands to the replicated log and tracks who waits for which entry.

#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "control/cell_state.h"
#include "walnut/base/error.h"
#include "walnut/base/time.h"
#include "walnut/consensus/raft.h"
#include "walnut/control/commands.h"

namespace walnut::control {

/// A committed entry that the state machine has applied.
struct AppliedEntry {
  consensus::LogIndex index = 0;
  consensus::Term term = 0;
  ApplyResult result;
};

/// Adds the time to commands, encodes them and proposes them to Raft. It has no state of its own.
class CommandLog {
 public:
  explicit CommandLog(consensus::Raft& raft) : raft_(raft) {}

  /// @return the index of the entry, or `notLeader`, in which case it was not appended anywhere.
  base::Result<consensus::LogIndex> propose(base::TimePoint now, CommandBody body);
  consensus::Term term() const { return raft_.status().term; }

 private:
  consensus::Raft& raft_;
};

/// Tracks the waiters for entries that this server has appended as leader. An entry is known to be
/// void once an entry of another term is applied at its index.
template <class Waiter>
class PendingEntries {
 public:
  struct Settled {
    Waiter waiter;
    bool applied = false;  ///< False if the entry was replaced and never takes effect.
  };

  /// @return the previous waiter at this index, whose entry was replaced.
  std::optional<Waiter> add(consensus::LogIndex index, consensus::Term term, Waiter waiter) {
    std::optional<Waiter> replaced;
    const auto found = pending_.find(index);
    if (found != pending_.end()) {
      replaced = std::move(found->second.waiter);
      pending_.erase(found);
    }
    pending_.emplace(index, Pending{term, std::move(waiter)});
    return replaced;
  }

  /// @return the waiter for the entry at this index, if there is one.
  std::optional<Settled> settle(const AppliedEntry& entry) {
    const auto found = pending_.find(entry.index);
    if (found == pending_.end()) {
      return std::nullopt;
    }
    Settled settled{std::move(found->second.waiter), found->second.term == entry.term};
    pending_.erase(found);
    return settled;
  }

  /// Removes the waiters for entries up to `index`, which a snapshot has replaced: their outcome is
  /// not visible here.
  /// @return the removed waiters.
  std::vector<Waiter> dropUpTo(consensus::LogIndex index) {
    std::vector<Waiter> dropped;
    const auto end = pending_.upper_bound(index);
    for (auto entry = pending_.begin(); entry != end; ++entry) {
      dropped.push_back(std::move(entry->second.waiter));
    }
    pending_.erase(pending_.begin(), end);
    return dropped;
  }

  bool empty() const { return pending_.empty(); }

 private:
  struct Pending {
    consensus::Term term = 0;
    Waiter waiter;
  };
  std::map<consensus::LogIndex, Pending> pending_;
};

}  // namespace walnut::control
