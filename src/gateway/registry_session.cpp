#include "gateway/registry_session.h"

#include <algorithm>
#include <utility>

#include "walnut/runtime/settings.h"

namespace walnut::gateway {

using runtime::LogEvent;

namespace {

/// Limit of the doublings of the backoff: more would exceed its upper bound.
constexpr std::uint32_t kMaxDoublings = 8;
/// The same of the leader's timeout, which leaves room within the time to recover for another
/// leader.
constexpr std::uint32_t kMaxSilences = 3;
/// Once a leader has been followed for so long, its next silence counts as the first.
constexpr base::Duration kSteadyLeader = std::chrono::seconds(10);
/// @name Timers of a process that was held up run before it has read what came meanwhile
/// @{
constexpr base::Duration kHeldUp = std::chrono::milliseconds(100);
constexpr base::Duration kReadAfterHoldUp = std::chrono::milliseconds(100);
/// @}

}  // namespace

RegistrySession::RegistrySession(const RegistrySessionOptions& options, event::Scheduler& scheduler,
                                 RegistryLink& link, runtime::EventLog& log, std::uint64_t seed)
    : options_(options),
      scheduler_(scheduler),
      link_(link),
      log_(log),
      random_(seed),
      timer_(scheduler.createTimer([this] { onTimer(); })) {}

void RegistrySession::start() {
  lostAt_ = scheduler_.now();
  heardAt_ = lostAt_;
  connectNext();
}

void RegistrySession::enter(State state, base::Duration timeout) {
  if (state != state_ || state != State::following) {
    stateSince_ = scheduler_.now();
  }
  state_ = state;
  isReadingFirst_ = false;
  timeoutAt_ = scheduler_.now() + timeout;
  timer_->enableAt(timeoutAt_);
}

base::Duration RegistrySession::leaderTimeout() const {
  const std::uint32_t repeated = silences_ == 0 ? 0 : silences_ - 1;
  return options_.leaderTimeout * (1U << std::min(repeated, kMaxSilences));
}

void RegistrySession::search() {
  untriedServers_ = options_.servers;
  untriedServers_.insert(untriedServers_.end(), learnedServers_.begin(), learnedServers_.end());
  std::sort(untriedServers_.begin(), untriedServers_.end());
  untriedServers_.erase(std::unique(untriedServers_.begin(), untriedServers_.end()),
                        untriedServers_.end());
  for (std::size_t rest = untriedServers_.size(); rest > 1; --rest) {
    std::swap(untriedServers_[rest - 1], untriedServers_[random_.uniform(0, rest - 1)]);
  }
}

void RegistrySession::connectNext() {
  isHinted_ = hint_.has_value();
  if (hint_ && isAwaited(*hint_)) {
    hint_.reset();
    enter(State::searching, nextBackoff());
    return;
  }
  if (hint_) {
    server_ = *std::exchange(hint_, std::nullopt);
  } else {
    if (untriedServers_.empty()) {
      ++failedRounds_;
      search();
    }
    if (untriedServers_.empty()) {
      enter(State::searching, options_.retryPause);
      return;
    }
    server_ = untriedServers_.back();
    untriedServers_.pop_back();
  }
  enter(State::connecting, options_.connectTimeout);
  link_.open(server_);
}

/// Returns the next backoff with random jitter, so that gateways that lost the leader together
/// don't reconnect together.
base::Duration RegistrySession::nextBackoff() {
  const std::uint32_t doublings =
      std::min(failedRounds_ > 0 ? failedRounds_ - 1 : 0, kMaxDoublings);
  const base::Duration longest =
      std::min(options_.retryPauseMax, options_.retryPause * (1U << doublings));
  return random_.between(longest / 2, longest);
}

void RegistrySession::disconnect() {
  endFollowing();
  if (connection_) {
    link_.close(*std::exchange(connection_, std::nullopt));
  }
  // A leader named by another server is contacted at once, without backoff, unless that server was
  // itself contacted because another one had named it: during an election two servers may name each
  // other as the leader.
  const bool atOnce = hint_ && !isHinted_ && !isAwaited(*hint_);
  enter(State::searching, atOnce ? base::Duration::zero() : nextBackoff());
}

void RegistrySession::endFollowing() {
  if (state_ == State::following) {
    isLeaderLost_ = true;
    lostAt_ = scheduler_.now();
    log_.write(LogEvent::dependencyLost,
               {{"dependency", "registry"}, {"server", runtime::formatEndpoint(server_)}});
  }
}

/// Searches for a leader while the silent server may still answer.
void RegistrySession::setAsideServer() {
  const bool wasFollowed = following();
  endFollowing();
  keepSilent({server_, *std::exchange(connection_, std::nullopt), featureLevel_, subscribedAt_,
              scheduler_.now(), wasFollowed});
  ++silences_;
  enter(State::searching, nextBackoff());
}

void RegistrySession::keepSilent(SilentServer server) {
  const auto former =
      std::find_if(silent_.begin(), silent_.end(),
                   [&server](const SilentServer& kept) { return kept.server == server.server; });
  if (former != silent_.end()) {
    link_.close(former->connection);
    silent_.erase(former);
  }
  silent_.push_back(std::move(server));
}

std::vector<RegistrySession::SilentServer>::iterator RegistrySession::findSilent(
    protocol::ConnectionId connection) {
  return std::find_if(silent_.begin(), silent_.end(), [connection](const SilentServer& server) {
    return server.connection == connection;
  });
}

void RegistrySession::dropSilentServers() {
  for (const SilentServer& server : std::exchange(silent_, {})) {
    link_.close(server.connection);
  }
}

/// @return true if another connection to the server would only add to its work: it is silent, and
/// has had less time for an answer than connected servers get.
bool RegistrySession::isAwaited(const base::Endpoint& server) const {
  return std::any_of(silent_.begin(), silent_.end(), [&](const SilentServer& silent) {
    return silent.server == server && scheduler_.now() < silent.since + leaderTimeout();
  });
}

void RegistrySession::messageArrived(protocol::ConnectionId connection) {
  const auto found = findSilent(connection);
  if (found == silent_.end() || state_ == State::following) {
    return;
  }
  if (connection_) {
    link_.close(*connection_);
  }
  const SilentServer resumed = std::move(*found);
  silent_.erase(found);
  server_ = resumed.server;
  connection_ = resumed.connection;
  featureLevel_ = resumed.featureLevel;
  subscribedAt_ = resumed.subscribedAt;
  isHinted_ = false;
  hint_.reset();
  enter(resumed.wasFollowed ? State::following : State::subscribing, leaderTimeout());
}

void RegistrySession::onTimer() {
  if (state_ == State::searching) {
    connectNext();
  } else if (scheduler_.now() >= timeoutAt_ + kHeldUp && !std::exchange(isReadingFirst_, true)) {
    timer_->enableAt(scheduler_.now() + kReadAfterHoldUp);
  } else if (state_ == State::connecting) {
    disconnect();
  } else {
    setAsideServer();
  }
}

void RegistrySession::opened(protocol::ConnectionId connection, const base::Endpoint& server,
                             std::uint32_t featureLevel) {
  const bool isExpected = state_ == State::connecting && server == server_;
  const bool isLeaderUnknown =
      state_ == State::connecting ? !isHinted_ : state_ == State::searching && !hint_;
  if (!isExpected && !isLeaderUnknown) {
    if (state_ == State::subscribing && !isHinted_) {
      subscribeAside(connection, server, featureLevel);
    } else {
      link_.close(connection);
    }
    return;
  }
  server_ = server;
  isHinted_ = isExpected && isHinted_;
  connection_ = connection;
  featureLevel_ = featureLevel;
  enter(State::subscribing, leaderTimeout());
  subscribedAt_ = scheduler_.readClock();
  sendSubscription(connection);
}

void RegistrySession::sendSubscription(protocol::ConnectionId connection) {
  link_.send(connection, subscription_);
  if (const auto request = confirmationSource_ ? confirmationSource_() : std::nullopt) {
    link_.send(connection, *request);
  }
}

void RegistrySession::subscribeAside(protocol::ConnectionId connection,
                                     const base::Endpoint& server, std::uint32_t featureLevel) {
  const base::TimePoint subscribedAt = scheduler_.readClock();
  sendSubscription(connection);
  keepSilent({server, connection, featureLevel, subscribedAt, scheduler_.now(), false});
}

void RegistrySession::openFailed(const base::Endpoint& server) {
  if (state_ == State::connecting && server == server_) {
    disconnect();
  }
}

void RegistrySession::closed(protocol::ConnectionId connection) {
  if (const auto found = findSilent(connection); found != silent_.end()) {
    silent_.erase(found);
  }
  if (connection_ == connection) {
    connection_.reset();
    disconnect();
  }
}

void RegistrySession::learnServers(const std::vector<base::Endpoint>& servers) {
  if (!servers.empty()) {
    learnedServers_ = servers;
  }
}

void RegistrySession::notLeading(protocol::ConnectionId connection,
                                 const registry::NotLeading& message) {
  learnServers(message.servers);
  if (const auto found = findSilent(connection); found != silent_.end()) {
    link_.close(connection);
    silent_.erase(found);
  }
  if (connection_ != connection) {
    return;
  }
  if (message.leader && *message.leader != server_) {
    hint_ = message.leader;
  }
  disconnect();
}

bool RegistrySession::viewReceived(protocol::ConnectionId connection,
                                   const registry::ViewUpdate& update) {
  if (connection_ != connection) {
    return false;
  }
  learnServers(update.servers);
  dropSilentServers();
  if (std::exchange(isLeaderLost_, false)) {
    const auto gap =
        std::chrono::duration_cast<std::chrono::milliseconds>(scheduler_.now() - lostAt_);
    log_.write(LogEvent::dependencyRegained, {{"dependency", "registry"},
                                              {"server", runtime::formatEndpoint(server_)},
                                              {"term", update.term},
                                              {"millis", static_cast<std::uint64_t>(gap.count())}});
  }
  failedRounds_ = 0;
  heardAt_ = scheduler_.now();
  if (state_ == State::following && heardAt_ >= stateSince_ + kSteadyLeader) {
    silences_ = 0;
  }
  enter(State::following, leaderTimeout());
  return true;
}

bool RegistrySession::partReceived(protocol::ConnectionId connection) {
  if (connection_ != connection || state_ != State::following) {
    return false;
  }
  heardAt_ = scheduler_.now();
  enter(State::following, leaderTimeout());
  return true;
}

void RegistrySession::subscribeAgain() {
  if (connection_) {
    disconnect();
  }
}

void RegistrySession::send(registry::MessageBody message) {
  if (connection_ && state_ == State::following) {
    link_.send(*connection_, std::move(message));
  }
}

void RegistrySession::sendToCandidates(const registry::MessageBody& message) {
  if (connection_) {
    link_.send(*connection_, message);
  }
  for (const SilentServer& server : silent_) {
    link_.send(server.connection, message);
  }
}

}  // namespace walnut::gateway
