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
  contents_.boundReadyLists();
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
    collecting_.erase(connection);
    return ApplyResult::ignored;
  }
  if (page.page == 0) {
    collecting_[connection] = Collecting{page.index, 0, {}};
  }
  const auto found = collecting_.find(connection);
  const bool expected = found != collecting_.end() && found->second.index == page.index &&
                        found->second.nextPage == page.page;
  if (!expected) {
    collecting_.erase(connection);
    return ApplyResult::gap;
  }
  Collecting& collecting = found->second;
  ViewChange untold;  // After the last page everything is reported as changed.
  for (const protocol::Change& change : page.changes) {
    collecting.contents.apply(change, untold);
  }
  ++collecting.nextPage;
  if (!page.last) {
    return ApplyResult::applied;
  }
  contents_ = std::move(collecting.contents);
  collecting_.erase(found);
  index_ = page.index;
  namesIndex_ = page.index;
  contents_.touchAll(change_);
  change_.everything = true;
  change_.membership = true;
  return ApplyResult::applied;
}

ViewChange ClusterView::takeChange() { return std::exchange(change_, ViewChange{}); }

}  // namespace walnut::routing
