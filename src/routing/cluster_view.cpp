#include "routing/cluster_view.h"

#include <utility>

namespace walnut::routing {

const std::string& targetName(const resource::Servable& servable) {
  return servable.adapter.empty() ? servable.model : servable.adapter;
}

ApplyResult ClusterView::applyDelta(const protocol::WatchDelta& delta) {
  if (delta.toIndex < index_) {
    return ApplyResult::ignored;
  }
  if (delta.fromIndex > index_) {
    return ApplyResult::gap;
  }
  contents_.limitReadyCache();
  change_.names = false;
  for (const protocol::Change& change : delta.changes) {
    contents_.apply(change, change_);
  }
  index_ = delta.toIndex;
  namesIndex_ = change_.names ? index_ : namesIndex_;
  return ApplyResult::applied;
}

ApplyResult ClusterView::applyPage(protocol::ConnectionId connection,
                                   const protocol::WatchSnapshotPage& page) {
  if (page.index < index_) {
    pendingSnapshots_.erase(connection);
    return ApplyResult::ignored;
  }
  if (page.page == 0) {
    pendingSnapshots_[connection] = PendingSnapshot{page.index, 0, {}};
  }
  const auto found = pendingSnapshots_.find(connection);
  const bool expected = found != pendingSnapshots_.end() && found->second.index == page.index &&
                        found->second.nextPage == page.page;
  if (!expected) {
    pendingSnapshots_.erase(connection);
    return ApplyResult::gap;
  }
  PendingSnapshot& snapshot = found->second;
  ViewChange ignoredChange;  // After the last page everything is reported as changed.
  for (const protocol::Change& change : page.changes) {
    snapshot.contents.apply(change, ignoredChange);
  }
  ++snapshot.nextPage;
  if (!page.last) {
    return ApplyResult::applied;
  }
  contents_ = std::move(snapshot.contents);
  pendingSnapshots_.erase(found);
  index_ = page.index;
  namesIndex_ = page.index;
  contents_.markAllChanged(change_);
  change_.everything = true;
  change_.membership = true;
  return ApplyResult::applied;
}

ViewChange ClusterView::takeChange() { return std::exchange(change_, ViewChange{}); }

}  // namespace walnut::routing
