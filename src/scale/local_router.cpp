#include "scale/local_router.h"

#include <algorithm>
#include <string>
#include <utility>

#include "scale/process_usage.h"
#include "transport/frame.h"

namespace walnut::scale {

namespace {

constexpr std::uint16_t kFirstPort = 7000;
constexpr base::TimePoint kStart = base::fromMicros(1'764'660'000'000'000);
/// Longer than the grace for a controller of the router's zone plus a probe.
constexpr base::Duration kStartLimit = std::chrono::seconds(3);

std::vector<base::Endpoint> endpointsOf(std::size_t controllers) {
  std::vector<base::Endpoint> endpoints;
  for (std::size_t number = 0; number < controllers; ++number) {
    endpoints.push_back({"127.0.0.1", static_cast<std::uint16_t>(kFirstPort + number)});
  }
  return endpoints;
}

}  // namespace

LocalRouter::LocalRouter(const LocalRouterOptions& options)
    : options_(options), controllers_(endpointsOf(options.size.controllers)), now_(kStart) {
  options_.router.cell = kScaleCell;
  options_.router.zone = zoneName(0);
  options_.router.controllers = controllers_;
  router_ = routing::makeRouter(options_.router, base::RouterId{1}, options_.seed, now_);
}

bool LocalRouter::start() {
  handleActions();
  advanceTo(now_ + kStartLimit);
  return router_->status(now_).ready;
}

void LocalRouter::step(const routing::RouterInput& input) {
  stepRouter(input);
  handleActions();
}

void LocalRouter::advanceTo(base::TimePoint time) {
  while (now_ < time) {
    now_ = std::clamp(std::min(router_->nextWakeup(), heartbeatAt_), now_, time);
    if (heartbeatAt_ <= now_ && watcher_.has_value()) {
      heartbeatAt_ = now_ + options_.watchHeartbeat;
      deliver(*watcher_, protocol::WatchDelta{index_, index_, {}});
    }
    step(routing::Tick{});
  }
}

void LocalRouter::commit(const protocol::Change& change) {
  ++index_;
  if (watcher_.has_value()) {
    deliver(*watcher_, protocol::WatchDelta{index_ - 1, index_, {change}});
    handleActions();
  }
}

std::vector<routing::RouterAction> LocalRouter::takeActions() {
  return std::exchange(actions_, {});
}

void LocalRouter::stepRouter(const routing::RouterInput& input) {
  const double before = clock();
  router_->step(now_, input);
  times_.logic += clock() - before;
}

std::vector<routing::RouterAction> LocalRouter::takeRouterActions() {
  const double before = clock();
  std::vector<routing::RouterAction> actions = router_->takeActions();
  times_.logic += clock() - before;
  return actions;
}

void LocalRouter::handleActions() {
  std::vector<routing::RouterAction> actions = takeRouterActions();
  while (!actions.empty() || !pending_.empty()) {
    for (const routing::RouterAction& action : actions) {
      std::visit([this](const auto& body) { carryOut(body); }, action);
    }
    for (const routing::RouterInput& input : std::exchange(pending_, {})) {
      stepRouter(input);
    }
    actions = takeRouterActions();
  }
}

std::size_t LocalRouter::controllerAt(const base::Endpoint& endpoint) const {
  const auto found = std::find(controllers_.begin(), controllers_.end(), endpoint);
  return static_cast<std::size_t>(found - controllers_.begin());
}

void LocalRouter::carryOut(const routing::OpenController& action) {
  const std::size_t number = controllerAt(action.endpoint);
  const protocol::Hello hello{protocol::kProtocolVersion, protocol::PeerRole::controller,
                              kScaleCell, number + 1, zoneName(number)};
  pending_.emplace_back(
      routing::ControllerConnected{protocol::ConnectionId{number}, action.endpoint, hello});
}

void LocalRouter::carryOut(const routing::SendToController& action) {
  countSent(action.message);
  std::visit([&](const auto& body) { answer(action.connection, body); }, action.message);
}

void LocalRouter::answer(protocol::ConnectionId connection, const protocol::ProbeRequest& request) {
  protocol::ProbeReply reply;
  reply.sequence = request.sequence;
  reply.server = {connection.value + 1};
  reply.term = 1;
  reply.lastLogIndex = index_;
  reply.appliedIndex = index_;
  reply.membershipIndex = 1;
  reply.leader = {1};
  deliver(connection, reply);
}

void LocalRouter::answer(protocol::ConnectionId connection, const protocol::WatchRequest& request) {
  watcher_ = connection;
  heartbeatAt_ = now_ + options_.watchHeartbeat;
  if (request.fromIndex > 0) {
    deliver(connection, protocol::WatchDelta{request.fromIndex, index_, {}});
    return;
  }
  const std::vector<protocol::Change> state = wholeState(options_.size, membershipOf(controllers_));
  for (const auto& page : pagesOf(state, index_, options_.changesPerPage)) {
    deliver(connection, page);
  }
}

void LocalRouter::answer(protocol::ConnectionId connection, const protocol::ClaimRequest& request) {
  deliver(connection, protocol::ClaimReply{request.sequence, control::ClaimOutcome::granted});
}

void LocalRouter::deliver(protocol::ConnectionId connection, const protocol::Message& message) {
  countReceived(message);
  pending_.emplace_back(routing::ControllerMessage{connection, message});
}

double LocalRouter::clock() const { return options_.countTimes ? threadProcessorSeconds() : 0; }

void LocalRouter::countSent(const protocol::Message& message) {
  if (!options_.countTraffic) {
    return;
  }
  const double before = clock();
  const std::uint64_t bytes = frameBytes(message);
  times_.codec += clock() - before;
  Traffic& kind = sent_[message.index()];
  ++kind.messages;
  kind.bytes += bytes;
}

void LocalRouter::countReceived(const protocol::Message& message) {
  if (!options_.countTraffic) {
    return;
  }
  const std::string frame = transport::encodeFrame(message).value();
  const double before = clock();
  transport::FrameReader reader;
  reader.feed(frame);
  static_cast<void>(reader.next());
  times_.codec += clock() - before;
  Traffic& kind = received_[message.index()];
  ++kind.messages;
  kind.bytes += frame.size();
}

}  // namespace walnut::scale
