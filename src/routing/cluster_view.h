#pragma once
/// @file
/// A router's copy of the cell's configuration, built from watch messages.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "routing/view_contents.h"

namespace walnut::routing {

/// What became of a watch message.
enum class ApplyResult : std::uint8_t {
  applied,  ///< The view is now as of the message's index (or holds the page).
  ignored,  ///< Older than the view.
  gap,      ///< Changes before the message are missing: ask again from the view's index.
};

/// Invariant: the index never decreases, whichever controller sends. A snapshot takes effect as a
/// whole after its last page.
class ClusterView {
 public:
  ApplyResult applyDelta(const protocol::WatchDelta& delta);
  ApplyResult applyPage(protocol::ConnectionId connection, const protocol::WatchSnapshotPage& page);
  /// Drops the pages collected from a connection that is gone.
  void forgetPages(protocol::ConnectionId connection) { collecting_.erase(connection); }

  consensus::LogIndex index() const { return index_; }
  /// @return the index as of which servedNames last changed, or may have.
  consensus::LogIndex namesIndex() const { return namesIndex_; }
  const consensus::Membership& membership() const { return contents_.membership(); }
  consensus::LogIndex membershipIndex() const { return contents_.membershipIndex(); }

  /// @return what a model's or adapter's name stands for now; nothing if it isn't served.
  std::optional<resource::Servable> resolve(const std::string& target) const {
    return contents_.resolve(target);
  }
  /// @return whether the servable's version is declared, be it the active one or not.
  bool declaresVersion(const resource::Servable& servable) const {
    return contents_.declaresVersion(servable);
  }
  /// @return replicas ready on engines that are live, not drained and of the same incarnation, in
  /// order of their ids. Valid until the next message is applied.
  const std::vector<ReadyReplica>& readyReplicas(const resource::Servable& servable) const {
    return contents_.readyReplicas(servable);
  }
  bool hasReadyReplica(const resource::Servable& servable) const {
    return !readyReplicas(servable).empty();
  }
  /// @return nullptr if the engine isn't known. Its accelerators are not kept.
  const resource::Engine* engine(const base::EngineId& id) const { return contents_.engine(id); }
  /// @return engines that are live and not drained, by id. Valid until the next message is applied.
  std::vector<const resource::Engine*> enginesThatTakeWork() const {
    return contents_.enginesThatTakeWork();
  }
  /// @return whether the engine is live and not drained.
  bool takesWork(const resource::Engine& engine) const { return contents_.takesWork(engine); }
  std::vector<ServedName> servedNames() const { return contents_.servedNames(); }

  /// @return what changed since the last call.
  ViewChange takeChange();

 private:
  /// A whole state of which not all pages have come. Each page is applied as it comes, since a
  /// list of all changes would take more memory than the state itself.
  struct Collecting {
    consensus::LogIndex index = 0;
    std::uint32_t nextPage = 0;
    ViewContents contents;
  };

  ViewContents contents_;
  consensus::LogIndex index_ = 0;
  consensus::LogIndex namesIndex_ = 0;
  std::map<protocol::ConnectionId, Collecting> collecting_;
  ViewChange change_;
};

/// @return the name by which callers reach the servable.
const std::string& targetName(const resource::Servable& servable);

}  // namespace walnut::routing
