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
  tryNext();
}

void RegistrySession::enter(State state, base::Duration patience) {
  state_ = state;
  timer_->enableAt(scheduler_.now() + patience);
}

void RegistrySession::search() {
  untried_ = options_.servers;
  untried_.insert(untried_.end(), learned_.begin(), learned_.end());
  std::sort(untried_.begin(), untried_.end());
  untried_.erase(std::unique(untried_.begin(), untried_.end()), untried_.end());
  for (std::size_t rest = untried_.size(); rest > 1; --rest) {
    std::swap(untried_[rest - 1], untried_[random_.uniform(0, rest - 1)]);
  }
}

void RegistrySession::tryNext() {
  asksHinted_ = hint_.has_value();
  if (hint_) {
    server_ = *std::exchange(hint_, std::nullopt);
  } else {
    if (untried_.empty()) {
      ++fruitlessRounds_;
      search();
    }
    if (untried_.empty()) {
      enter(State::searching, options_.retryPause);
      return;
    }
    server_ = untried_.back();
    untried_.pop_back();
  }
  enter(State::connecting, options_.connectTimeout);
  link_.open(server_);
}

/// Returns the next backoff with random jitter, so that gateways that lost the leader together
/// don't reconnect together.
base::Duration RegistrySession::drawPause() {
  const std::uint32_t doublings =
      std::min(fruitlessRounds_ > 0 ? fruitlessRounds_ - 1 : 0, kMaxDoublings);
  const base::Duration longest =
      std::min(options_.retryPauseMax, options_.retryPause * (1U << doublings));
  return random_.between(longest / 2, longest);
}

void RegistrySession::leaveServer() {
  if (state_ == State::following) {
    lost_ = true;
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
  const bool atOnce = hint_ && !asksHinted_;
  enter(State::searching, atOnce ? base::Duration::zero() : drawPause());
}

void RegistrySession::onTimer() {
  if (state_ == State::searching) {
    tryNext();
  } else {
    leaveServer();
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
  enter(State::asking, options_.silenceLimit);
  link_.send(connection, subscription_);
}

void RegistrySession::openFailed(const base::Endpoint& server) {
  if (state_ == State::connecting && server == server_) {
    leaveServer();
  }
}

void RegistrySession::closed(protocol::ConnectionId connection) {
  if (connection_ == connection) {
    connection_.reset();
    leaveServer();
  }
}

void RegistrySession::learn(const std::vector<base::Endpoint>& servers) {
  if (!servers.empty()) {
    learned_ = servers;
  }
}

void RegistrySession::notLeading(protocol::ConnectionId connection,
                                 const registry::NotLeading& message) {
  learn(message.servers);
  if (connection_ != connection) {
    return;
  }
  if (message.leader && *message.leader != server_) {
    hint_ = message.leader;
  }
  leaveServer();
}

bool RegistrySession::viewReceived(protocol::ConnectionId connection,
                                   const registry::ViewUpdate& update) {
  if (connection_ != connection) {
    return false;
  }
  learn(update.servers);
  if (std::exchange(lost_, false)) {
    const auto gap =
        std::chrono::duration_cast<std::chrono::milliseconds>(scheduler_.now() - lostAt_);
    log_.write(LogEvent::dependencyRegained, {{"dependency", "registry"},
                                              {"server", runtime::formatEndpoint(server_)},
                                              {"term", update.term},
                                              {"millis", static_cast<std::uint64_t>(gap.count())}});
  }
  fruitlessRounds_ = 0;
  enter(State::following, options_.silenceLimit);
  return true;
}

bool RegistrySession::partReceived(protocol::ConnectionId connection) {
  if (connection_ != connection || state_ != State::following) {
    return false;
  }
  enter(State::following, options_.silenceLimit);
  return true;
}

void RegistrySession::subscribeAgain() {
  if (connection_) {
    leaveServer();
  }
}

void RegistrySession::send(registry::MessageBody message) {
  if (connection_ && state_ == State::following) {
    link_.send(*connection_, std::move(message));
  }
}

}  // namespace walnut::gateway
