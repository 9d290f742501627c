#pragma once
/// @file
/// The latest changes of the cell's state, by log index, from which deltas for watchers are built.

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "walnut/consensus/messages.h"
#include "walnut/protocol/messages.h"

namespace walnut::control {

/// History of changes, bounded by their number. The oldest changes are removed first, all changes
/// of one index together.
class ChangeHistory {
 public:
  explicit ChangeHistory(std::size_t keepChanges) : keepChanges_(keepChanges) {}

  void record(consensus::LogIndex index, std::vector<protocol::Change> changes);
  /// Clears the history; changes up to and including `index` are unknown from now on.
  void startAt(consensus::LogIndex index);

  /// @return changes after `from`, coalesced to the last one of each object, in order of their
  /// index; empty if some of them are no longer kept.
  std::optional<std::vector<protocol::Change>> since(consensus::LogIndex from) const;

 private:
  struct Entry {
    consensus::LogIndex index = 0;
    protocol::Change change;
  };

  std::size_t keepChanges_;
  consensus::LogIndex forgottenUpTo_ = 0;
  std::deque<Entry> entries_;
};

}  // namespace walnut::control
