#include "control/watch_sessions.h"

#include <algorithm>
#include <utility>

namespace walnut::control {

namespace {
/// Number of pages sent to one router in one push; it limits the load when all routers start from
/// scratch at once.
constexpr std::uint32_t kPagesPerPush = 4;
/// Interval between deltas that only report a higher index, as claims cause it. It is half of the
/// interval at which routers ask for the end of the log, and far below the freshness limit.
constexpr base::Duration kIndexOnlyInterval = std::chrono::milliseconds(250);
/// Time for which a capture of the whole state is shared by routers that request it.
constexpr base::Duration kCaptureLifetime = std::chrono::milliseconds(200);
}  // namespace

void WatchSessions::request(base::TimePoint now, protocol::ConnectionId connection,
                            const protocol::WatchRequest& request) {
  Session session;
  session.sentIndex = request.fromIndex;
  session.sentAt = now - options_.watchHeartbeatInterval;
  if (request.fromIndex == 0) {
    beginPaging(now, session);
  }
  sessions_[connection] = std::move(session);
  schedule(now);
}

void WatchSessions::closed(protocol::ConnectionId connection) { sessions_.erase(connection); }

void WatchSessions::stateChanged(base::TimePoint now) {
  changedIndex_ = state_.appliedIndex();
  if (!sessions_.empty()) {
    schedule(now + options_.watchPushInterval);
  }
}

void WatchSessions::indexAdvanced(base::TimePoint now) {
  if (!sessions_.empty()) {
    schedule(now + kIndexOnlyInterval);
  }
}

base::TimePoint WatchSessions::dueAt(const Session& session) const {
  if (session.paging || session.sentIndex < changedIndex_) {
    return session.sentAt + options_.watchPushInterval;
  }
  const bool behind = session.sentIndex < state_.appliedIndex();
  return session.sentAt + (behind ? kIndexOnlyInterval : options_.watchHeartbeatInterval);
}

void WatchSessions::tick(base::TimePoint now) {
  if (capture_ && now >= capture_->takenAt + kCaptureLifetime) {
    capture_.reset();  // Sessions that page through it hold their own reference.
  }
  if (now < nextPushAt_) {
    return;
  }
  nextPushAt_ = base::kNever;
  Deltas deltas;
  for (auto& [connection, session] : sessions_) {
    if (dueAt(session) <= now) {
      push(now, connection, session, deltas);
    }
    schedule(dueAt(session));
  }
}

void WatchSessions::push(base::TimePoint now, protocol::ConnectionId connection, Session& session,
                         Deltas& deltas) {
  if (session.paging) {
    sendPages(now, connection, session);
    return;
  }
  if (session.sentIndex >= state_.appliedIndex()) {
    sendDelta(now, connection, session, {});
    return;
  }
  const auto [delta, missing] = deltas.try_emplace(session.sentIndex);
  if (missing) {
    delta->second = state_.history().since(session.sentIndex);
  }
  if (delta->second) {
    sendDelta(now, connection, session, *delta->second);
  } else {
    beginPaging(now, session);
    sendPages(now, connection, session);
  }
}

/// Sends a delta up to the applied index. A router may be ahead of this server; it then ignores the
/// delta, which only shows that the connection works.
void WatchSessions::sendDelta(base::TimePoint now, protocol::ConnectionId connection,
                              Session& session, std::vector<protocol::Change> changes) {
  protocol::WatchDelta delta;
  delta.toIndex = state_.appliedIndex();
  delta.fromIndex = std::min(session.sentIndex, delta.toIndex);
  delta.changes = std::move(changes);
  session.sentIndex = std::max(session.sentIndex, delta.toIndex);
  session.sentAt = now;
  actions_.emplace_back(SendToConnection{connection, std::move(delta)});
}

void WatchSessions::beginPaging(base::TimePoint now, Session& session) {
  const bool shared = capture_ && now < capture_->takenAt + kCaptureLifetime &&
                      capture_->index >= session.sentIndex;
  if (!shared) {
    capture_ =
        std::make_shared<const Capture>(Capture{state_.appliedIndex(), now, state_.wholeState()});
  }
  session.paging = capture_;
  session.nextPage = 0;
}

void WatchSessions::sendPages(base::TimePoint now, protocol::ConnectionId connection,
                              Session& session) {
  const std::vector<protocol::Change>& changes = session.paging->changes;
  for (std::uint32_t sent = 0; sent < kPagesPerPush && session.paging; ++sent) {
    const std::size_t first = session.nextPage * options_.watchPageChanges;
    const std::size_t last = std::min(changes.size(), first + options_.watchPageChanges);
    protocol::WatchSnapshotPage page;
    page.index = session.paging->index;
    page.page = session.nextPage++;
    page.last = last == changes.size();
    page.changes.assign(changes.begin() + static_cast<std::ptrdiff_t>(first),
                        changes.begin() + static_cast<std::ptrdiff_t>(last));
    const bool finished = page.last;
    actions_.emplace_back(SendToConnection{connection, std::move(page)});
    if (finished) {
      session.sentIndex = session.paging->index;
      session.paging.reset();
    }
  }
  session.sentAt = now;
}

}  // namespace walnut::control
