#include "routing/controller_sessions.h"

#include <algorithm>
#include <tuple>

namespace walnut::routing {

namespace {
constexpr base::Duration kReopenMin = std::chrono::milliseconds(50);
constexpr base::Duration kReopenMax = std::chrono::seconds(2);
/// Time for which all members may be unreachable before the configured controllers are tried as
/// well.
constexpr base::Duration kFallbackAfter = std::chrono::seconds(2);
/// Time to wait for a controller of the same zone before another one is watched.
constexpr base::Duration kSameZoneGrace = std::chrono::milliseconds(200);
/// Time for which a controller that lagged behind is the last choice.
constexpr base::Duration kAvoidWatchFor = std::chrono::seconds(10);
constexpr std::uint32_t kMaxBackoffDoublings = 8;
}  // namespace

ControllerSessions::ControllerSessions(const RouterOptions& options, base::RouterId id,
                                       base::Random& random, std::vector<RouterAction>& actions)
    : options_(options), id_(id), random_(random), actions_(actions) {}

void ControllerSessions::start(base::TimePoint now) {
  watchedSince_ = now;
  reconcile();
}

std::set<base::Endpoint> ControllerSessions::wantedEndpoints() const {
  std::set<base::Endpoint> endpoints = members_;
  if (members_.empty() || fallback_) {
    endpoints.insert(options_.controllers.begin(), options_.controllers.end());
  }
  return endpoints;
}

void ControllerSessions::open(const base::Endpoint& endpoint, Session& session) {
  session.state = SessionState::opening;
  session.reopenAt = base::kNever;
  actions_.emplace_back(OpenController{endpoint});
}

void ControllerSessions::reconcile() {
  const std::set<base::Endpoint> endpoints = wantedEndpoints();
  for (auto entry = sessions_.begin(); entry != sessions_.end();) {
    if (endpoints.contains(entry->first)) {
      ++entry;
      continue;
    }
    actions_.emplace_back(CloseController{entry->first});
    if (watched_ == entry->first) {
      watched_.reset();
    }
    entry = sessions_.erase(entry);
  }
  for (const base::Endpoint& endpoint : endpoints) {
    const auto [entry, added] = sessions_.try_emplace(endpoint);
    if (added) {
      open(endpoint, entry->second);
    }
  }
}

bool ControllerSessions::isAcceptable(const protocol::Hello& hello) const {
  return hello.role == protocol::PeerRole::controller && hello.cell == options_.cell &&
         hello.protocolVersion == protocol::kProtocolVersion;
}

void ControllerSessions::handleConnected(base::TimePoint now, const ControllerConnected& event,
                                         consensus::LogIndex viewIndex) {
  const auto found = sessions_.find(event.endpoint);
  if (found == sessions_.end()) {
    return;  // Closed in the meantime.
  }
  Session& session = found->second;
  if (!isAcceptable(event.hello)) {
    actions_.emplace_back(CloseController{event.endpoint});
    backOff(now, session);
    return;
  }
  if (watched_ == event.endpoint) {
    watched_.reset();  // The watch ended with the previous connection.
  }
  session.state = SessionState::connected;
  session.connection = event.connection;
  session.server = base::ServerId{event.hello.id};
  session.zone = event.hello.zone;
  session.failures = 0;
  session.reopenAt = base::kNever;
  if (!watched_.has_value() && chooseWatchAt_ == base::kNever) {
    chooseWatchAt_ = now + kSameZoneGrace;
  }
  if (session.zone == options_.zone && !watched_.has_value()) {
    chooseWatch(now, viewIndex);
  }
  updateFallback(now);
}

void ControllerSessions::backOff(base::TimePoint now, Session& session) {
  const std::uint32_t doublings = std::min(session.failures, kMaxBackoffDoublings);
  const base::Duration ceiling = std::min(kReopenMax, kReopenMin * (1U << doublings));
  ++session.failures;
  session.state = SessionState::backingOff;
  session.connection = protocol::ConnectionId{};
  session.reopenAt = now + random_.between(ceiling / 2, ceiling);
}

std::optional<protocol::ConnectionId> ControllerSessions::handleDisconnected(
    base::TimePoint now, const base::Endpoint& endpoint) {
  const auto found = sessions_.find(endpoint);
  if (found == sessions_.end() || found->second.state == SessionState::backingOff) {
    return std::nullopt;
  }
  Session& session = found->second;
  std::optional<protocol::ConnectionId> gone;
  if (session.state == SessionState::connected) {
    gone = session.connection;
  }
  backOff(now, session);
  if (watched_ == endpoint) {
    watched_.reset();
    chooseWatchAt_ = now;
  }
  updateFallback(now);
  return gone;
}

void ControllerSessions::membershipChanged(base::TimePoint now,
                                           const consensus::Membership& membership) {
  members_.clear();
  for (const consensus::Member& member : membership.members) {
    members_.insert(member.peerEndpoint);
  }
  reconcile();
  if (!watched_.has_value()) {
    chooseWatchAt_ = now;
  }
  updateFallback(now);
}

bool ControllerSessions::memberConnected() const {
  return std::any_of(sessions_.begin(), sessions_.end(), [this](const auto& entry) {
    return entry.second.state == SessionState::connected && members_.contains(entry.first);
  });
}

void ControllerSessions::updateFallback(base::TimePoint now) {
  if (members_.empty()) {
    return;  // The configured controllers are used anyway.
  }
  if (memberConnected()) {
    noMemberSince_ = base::kNever;
    if (fallback_) {
      fallback_ = false;
      reconcile();
    }
    return;
  }
  if (noMemberSince_ == base::kNever) {
    noMemberSince_ = now;
  }
  if (!fallback_ && now >= noMemberSince_ + kFallbackAfter) {
    fallback_ = true;
    reconcile();
  }
}

void ControllerSessions::probeReply(const protocol::ProbeReply& reply) {
  if (reply.term > leaderTerm_) {
    leaderTerm_ = reply.term;
    leader_ = reply.leader;
  } else if (reply.term == leaderTerm_ && reply.leader != base::ServerId{}) {
    leader_ = reply.leader;
  }
}

void ControllerSessions::chooseWatch(base::TimePoint now, consensus::LogIndex viewIndex) {
  using Rank = std::tuple<bool, bool, std::uint64_t>;  // Smallest is best.
  constexpr std::uint64_t kTieRange = 1U << 30U;
  std::optional<Rank> bestRank;
  for (const auto& [endpoint, session] : sessions_) {
    if (session.state != SessionState::connected) {
      continue;
    }
    const Rank rank{session.avoidWatchUntil > now, session.zone != options_.zone,
                    random_.uniform(0, kTieRange)};
    if (!bestRank.has_value() || rank < *bestRank) {
      bestRank = rank;
      watched_ = endpoint;
    }
  }
  chooseWatchAt_ = base::kNever;
  if (bestRank.has_value()) {
    renewWatch(now, viewIndex);
  }
}

void ControllerSessions::renewWatch(base::TimePoint now, consensus::LogIndex viewIndex) {
  if (!watched_.has_value()) {
    return;
  }
  watchedSince_ = now;
  actions_.emplace_back(
      SendToController{sessions_.at(*watched_).connection, protocol::WatchRequest{viewIndex}});
}

void ControllerSessions::replaceLaggingWatch(base::TimePoint now, consensus::LogIndex viewIndex) {
  if (!watched_.has_value()) {
    return;
  }
  const base::Endpoint endpoint = *watched_;
  Session& session = sessions_.at(endpoint);
  session.avoidWatchUntil = now + kAvoidWatchFor;
  chooseWatch(now, viewIndex);
  if (watched_ != endpoint) {
    // No message ends a watch, so the connection is closed and opened again.
    actions_.emplace_back(CloseController{endpoint});
    backOff(now, session);
  }
}

void ControllerSessions::tick(base::TimePoint now, consensus::LogIndex viewIndex) {
  for (auto& [endpoint, session] : sessions_) {
    if (session.state == SessionState::backingOff && session.reopenAt <= now) {
      open(endpoint, session);
    }
  }
  if (chooseWatchAt_ <= now) {
    chooseWatch(now, viewIndex);
  }
  updateFallback(now);
}

base::TimePoint ControllerSessions::nextWakeup() const {
  base::TimePoint wakeup = chooseWatchAt_;
  for (const auto& [endpoint, session] : sessions_) {
    wakeup = std::min(wakeup, session.reopenAt);
  }
  if (noMemberSince_ != base::kNever && !fallback_) {
    wakeup = std::min(wakeup, noMemberSince_ + kFallbackAfter);
  }
  return wakeup;
}

void ControllerSessions::sendToAll(const protocol::Message& message) {
  for (const auto& [endpoint, session] : sessions_) {
    if (session.state == SessionState::connected) {
      actions_.emplace_back(SendToController{session.connection, message});
    }
  }
}

std::optional<LeaderSession> ControllerSessions::leader() const {
  if (leader_ == base::ServerId{}) {
    return std::nullopt;
  }
  for (const auto& [endpoint, session] : sessions_) {
    if (session.state == SessionState::connected && session.server == leader_) {
      return LeaderSession{session.connection, leaderTerm_};
    }
  }
  return std::nullopt;
}

}  // namespace walnut::routing
