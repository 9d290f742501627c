#include "gateway/registry_session.h"

#include <algorithm>
#include <utility>

#include "walnut/runtime/settings.h"

namespace walnut::gateway {

using runtime::LogEvent;

namespace {

/// Limit of the doublings of the backoff: more would exceed its upper bound.
constexpr std::uint32_t kMaxDoublings = 8;

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
  state_ = state;
  timer_->enableAt(scheduler_.now() + timeout);
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
  if (state_ == State::following) {
    isLeaderLost_ = true;
    lostAt_ = scheduler_.now();
    log_.write(LogEvent::dependencyLost,
               {{"dependency", "registry"}, {"server", runtime::formatEndpoint(server_)}});
  }
  if (connection_) {
    link_.close(*std::exchange(connection_, std::nullopt));
  }
  // A leader named by another server is contacted at once, without backoff, unless that server was
  // itself contacted because another one had named it: during an election two servers may name each
  // other as the leader.
  const bool atOnce = hint_ && !isHinted_;
  enter(State::searching, atOnce ? base::Duration::zero() : nextBackoff());
}

void RegistrySession::onTimer() {
  if (state_ == State::searching) {
    connectNext();
  } else {
    disconnect();
  }
}

void RegistrySession::opened(protocol::ConnectionId connection, const base::Endpoint& server,
                             std::uint32_t featureLevel) {
  if (state_ != State::connecting || server != server_) {
    link_.close(connection);
    return;
  }
  connection_ = connection;
  featureLevel_ = featureLevel;
  enter(State::subscribing, options_.leaderTimeout);
  subscribedAt_ = scheduler_.readClock();
  link_.send(connection, subscription_);
}

void RegistrySession::openFailed(const base::Endpoint& server) {
  if (state_ == State::connecting && server == server_) {
    disconnect();
  }
}

void RegistrySession::closed(protocol::ConnectionId connection) {
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
  enter(State::following, options_.leaderTimeout);
  return true;
}

bool RegistrySession::partReceived(protocol::ConnectionId connection) {
  if (connection_ != connection || state_ != State::following) {
    return false;
  }
  heardAt_ = scheduler_.now();
  enter(State::following, options_.leaderTimeout);
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

}  // namespace walnut::gateway
