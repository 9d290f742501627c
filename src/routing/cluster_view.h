#pragma once
/// @file
/// A router's copy of the cell's configuration, built from watch messages.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "routing/view_contents.h"

namespace walnut::routing {

/// Result of applying a watch message.
enum class ApplyResult : std::uint8_t {
  applied,  ///< The view reached the message's index (or holds the page).
  ignored,  ///< The message is older than the view.
  gap,      ///< Changes before the message are missing: watch again from the view's index.
};

/// Versioned copy of the cell's configuration. Invariant: the index never decreases, whichever
/// controller sends. A snapshot takes effect as a whole after its last page.
class ClusterView {
 public:
  ApplyResult applyDelta(const protocol::WatchDelta& delta);
  ApplyResult applyPage(protocol::ConnectionId connection, const protocol::WatchSnapshotPage& page);
  /// Drops the snapshot pages received over a connection that was closed.
  void dropPages(protocol::ConnectionId connection) { pendingSnapshots_.erase(connection); }

  consensus::LogIndex index() const { return index_; }
  /// @return the index at which servedNames last changed, or may have changed.
  consensus::LogIndex namesIndex() const { return namesIndex_; }
  const consensus::Membership& membership() const { return contents_.membership(); }
  consensus::LogIndex membershipIndex() const { return contents_.membershipIndex(); }

  /// @return the servable that the name of a model or adapter currently refers to; nothing if it
  /// isn't served.
  std::optional<resource::Servable> resolve(const std::string& target) const {
    return contents_.resolve(target);
  }
  /// @return whether the servable's version is declared, whether it is the active one or not.
  bool declaresVersion(const resource::Servable& servable) const {
    return contents_.declaresVersion(servable);
  }
  /// @return the replicas that are ready on engines which are live, not drained and of the same
  /// incarnation, sorted by id. Valid until the next message is applied.
  const std::vector<ReadyReplica>& readyReplicas(const resource::Servable& servable) const {
    return contents_.readyReplicas(servable);
  }
  bool hasReadyReplica(const resource::Servable& servable) const {
    return !readyReplicas(servable).empty();
  }
  /// @return the engine without its accelerators, which are not stored; nullptr if it isn't known.
  const resource::Engine* engine(const base::EngineId& id) const { return contents_.engine(id); }
  /// @return the engines that are live and not drained, by id. Valid until the next message is
  /// applied.
  std::vector<const resource::Engine*> enginesThatTakeWork() const {
    return contents_.enginesThatTakeWork();
  }
  /// @return whether the engine is live and not drained.
  bool takesWork(const resource::Engine& engine) const { return contents_.takesWork(engine); }
  std::vector<ServedName> servedNames() const { return contents_.servedNames(); }

  /// @return the changes since the previous call.
  ViewChange takeChange();

 private:
  /// Snapshot whose pages have not all arrived. Each page is applied on arrival, since a list of
  /// all changes would take more memory than the state itself.
  struct PendingSnapshot {
    consensus::LogIndex index = 0;
    std::uint32_t nextPage = 0;
    ViewContents contents;
  };

  ViewContents contents_;
  consensus::LogIndex index_ = 0;
  consensus::LogIndex namesIndex_ = 0;
  std::map<protocol::ConnectionId, PendingSnapshot> pendingSnapshots_;
  ViewChange change_;
};

/// @return the name by which callers request the servable.
const std::string& targetName(const resource::Servable& servable);

}  // namespace walnut::routing
