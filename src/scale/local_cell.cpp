#include "scale/local_cell.h"

#include <algorithm>
#include <utility>

#include "scale/cell_builder.h"
#include "scale/process_usage.h"
#include "walnut/engine/json_codec.h"

namespace walnut::scale {

namespace {

constexpr std::uint16_t kFirstPort = 7000;
constexpr base::TimePoint kStart = base::fromMicros(1'764'660'000'000'000);
constexpr std::size_t kZones = 7;
constexpr std::uint32_t kActiveRequests = 8;  ///< Of each held servable, in the reports.
/// While the cell warms up.
constexpr double kManyLoadsPerSecond = 1000;
/// Before the count begins: what was ordered before is loaded by then.
constexpr base::Duration kLoadsSettle = std::chrono::seconds(4);

std::vector<base::Endpoint> endpointsOf(std::size_t controllers) {
  std::vector<base::Endpoint> endpoints;
  for (std::size_t number = 0; number < controllers; ++number) {
    endpoints.push_back({"127.0.0.1", static_cast<std::uint16_t>(kFirstPort + number)});
  }
  return endpoints;
}

std::string callName(const engine::Call& call) {
  return std::holds_alternative<engine::Order>(call) ? "order" : "report request";
}

std::uint64_t callBytes(const engine::Call& call) {
  if (const auto* order = std::get_if<engine::Order>(&call)) {
    return engine::encodeOrder(*order).size();
  }
  return engine::encodeReportRequest(std::get<engine::ReportRequest>(call)).size();
}

std::uint64_t resultBytes(const engine::CallResult& result) {
  if (const auto* report = std::get_if<engine::Report>(&result.value())) {
    return engine::encodeReport(*report).size();
  }
  return engine::encodeOrderAccepted(std::get<engine::OrderAccepted>(result.value())).size();
}

}  // namespace

struct LocalCell::ControllerNode {
  std::size_t number = 0;
  std::unique_ptr<control::Controller> controller;
  std::vector<control::ControllerInput> inbox;
  bool stepDue = false;
  base::TimePoint wakeup = base::kNever;
};

struct LocalCell::RouterNode {
  std::size_t number = 0;
  std::unique_ptr<routing::Router> router;
  base::TimePoint wakeup = base::kNever;
};

/// Opened by `router`, or by the controller `from` if that is not a router's.
struct LocalCell::Connection {
  std::optional<std::size_t> router;
  std::size_t from = 0;
  std::size_t to = 0;  ///< A controller.
};

bool LocalCell::Later::operator()(const Scheduled& one, const Scheduled& other) const {
  return std::tie(one.at, one.order) > std::tie(other.at, other.order);
}

LocalCell::LocalCell(const LocalCellOptions& options)
    : options_(options),
      now_(kStart),
      random_(options.seed),
      targets_(options.size.models + options.size.adapters),
      engines_(options.size, kActiveRequests) {}

LocalCell::~LocalCell() = default;

void LocalCell::after(base::Duration delay, Event event) {
  events_.push({now_ + delay, ++scheduled_, std::move(event)});
}

void LocalCell::runUntil(base::TimePoint end) {
  while (!events_.empty() && events_.top().at <= end) {
    now_ = events_.top().at;
    const Event event = events_.top().event;
    events_.pop();
    event();
  }
  now_ = end;
}

base::Result<CellTraffic> LocalCell::run() {
  BOOST_OUTCOME_TRYV(startControllers());
  startRouters();
  runUntil(now_ + options_.settle);
  const std::optional<std::size_t> first = leader();
  if (!first) {
    return base::Error{base::ErrorCode::noQuorum, "controllers", "no leader"};
  }
  allowLoads(kManyLoadsPerSecond);
  boundModels();
  prepareTurnover();
  scheduleTurnover();
  for (std::size_t router = 0; router < routers_.size(); ++router) {
    scheduleArrival(router);
  }
  scheduleChange();
  runUntil(now_ + options_.warmUp - kLoadsSettle);
  allowLoads(options_.loadsPerSecond);
  runUntil(now_ + kLoadsSettle);
  const consensus::LogIndex before = controllers_[*first]->controller->raftStatus().lastIndex;
  traffic_.routerBytes.assign(routers_.size(), 0);
  counting_ = true;
  runUntil(now_ + options_.length);
  counting_ = false;
  if (leader() != first) {
    return base::Error{base::ErrorCode::noQuorum, "controllers", "the leader changed"};
  }
  if (refusal_) {
    return *refusal_;
  }
  traffic_.indexes = controllers_[*first]->controller->raftStatus().lastIndex - before;
  for (const auto& node : routers_) {
    traffic_.routersReady += node->router->status(now_).ready ? 1U : 0U;
  }
  return std::move(traffic_);
}

base::Result<void> LocalCell::startControllers() {
  const control::ControllerOptions control;
  const std::vector<base::Endpoint> endpoints = endpointsOf(options_.size.controllers);
  const consensus::Membership membership = membershipOf(endpoints);
  BOOST_OUTCOME_TRY(snapshot,
                    buildSnapshot(control, options_.size, membership,
                                  EngineEndpoints(options_.size.engines, base::Endpoint{})));
  for (std::size_t number = 0; number < endpoints.size(); ++number) {
    consensus::RecoveredState recovered;
    recovered.self = membership.members[number].id;
    recovered.hardState.term = snapshot.lastTerm;
    recovered.snapshot = snapshot;
    auto node = std::make_unique<ControllerNode>();
    node->number = number;
    node->controller = control::makeController(control, kScaleCell, std::move(recovered),
                                               membership, options_.seed + number, now_);
    controllers_.push_back(std::move(node));
    schedule(*controllers_.back());
  }
  return base::success();
}

void LocalCell::startRouters() {
  for (std::size_t number = 0; number < options_.routers; ++number) {
    routing::RouterOptions router;
    router.cell = kScaleCell;
    router.zone = zoneName(number % kZones);
    router.controllers = endpointsOf(options_.size.controllers);
    router.tokenTimeout = 2 * options_.answer;
    auto node = std::make_unique<RouterNode>();
    node->number = number;
    node->router =
        routing::makeRouter(router, base::RouterId{number + 1}, options_.seed + number, now_);
    routers_.push_back(std::move(node));
    stepRouter(number, routing::Tick{});
  }
}

std::optional<std::size_t> LocalCell::leader() const {
  for (const auto& node : controllers_) {
    if (node->controller->raftStatus().role == consensus::Role::leader) {
      return node->number;
    }
  }
  return std::nullopt;
}

Peer LocalCell::roleOf(const ControllerNode& node) const {
  const bool leads = node.controller->raftStatus().role == consensus::Role::leader;
  return leads ? Peer::leader : Peer::follower;
}

void LocalCell::count(Peer from, Peer to, const std::string& kind, std::uint64_t bytes) {
  Traffic& traffic = traffic_.ways[{from, to, kind}];
  ++traffic.messages;
  traffic.bytes += bytes;
}

void LocalCell::count(Peer from, Peer to, const protocol::Message& message, RouterNode* router) {
  if (!counting_) {
    return;
  }
  const std::uint64_t bytes = frameBytes(message);
  count(from, to, messageKindName(message.index()), bytes);
  if (router != nullptr) {
    traffic_.routerBytes[router->number] += bytes;
  }
}

void LocalCell::deliver(std::size_t controller, control::ControllerInput input) {
  ControllerNode& node = *controllers_[controller];
  node.inbox.push_back(std::move(input));
  if (!node.stepDue) {
    node.stepDue = true;
    after(base::Duration(0), [this, &node] { stepController(node); });
  }
}

void LocalCell::stepController(ControllerNode& node) {
  node.stepDue = false;
  const double before = threadProcessorSeconds();
  for (const control::ControllerInput& input : std::exchange(node.inbox, {})) {
    node.controller->step(now_, input);
  }
  const double spent = threadProcessorSeconds() - before + takeOutputs(node);
  schedule(node);
  if (counting_ && roleOf(node) == Peer::leader) {
    traffic_.leaderSeconds += spent;
    traffic_.longestLeaderStep = std::max(traffic_.longestLeaderStep, spent);
  }
}

double LocalCell::takeOutputs(ControllerNode& node) {
  double spent = 0;
  for (bool more = true; more;) {
    const double before = threadProcessorSeconds();
    control::ControllerOutputs outputs = node.controller->takeOutputs();
    spent += threadProcessorSeconds() - before;
    for (control::ControllerAction& action : outputs.actions) {
      std::visit([&](auto& body) { carryOut(node, body); }, action);
    }
    more = !outputs.persist.empty();
    if (more) {
      node.controller->step(now_, control::Persisted{});
    }
  }
  return spent;
}

void LocalCell::schedule(ControllerNode& node) {
  const base::TimePoint at = std::max(node.controller->nextWakeup(), now_);
  if (at == node.wakeup || at == base::kNever) {
    return;
  }
  node.wakeup = at;
  after(at - now_, [this, &node, at] {
    if (node.wakeup == at) {
      node.wakeup = base::kNever;
      deliver(node.number, control::Tick{});
    }
  });
}

std::uint64_t LocalCell::connectionTo(std::size_t from, std::size_t to) {
  std::uint64_t& connection = betweenControllers_[{from, to}];
  if (connection == 0) {
    connection = nextConnection_++;
    connections_[connection] = {std::nullopt, from, to};
    const auto hello = [](std::size_t number) {
      return protocol::Hello{protocol::kProtocolVersion, protocol::PeerRole::controller, kScaleCell,
                             number + 1, zoneName(number)};
    };
    deliver(from, control::PeerOpened{{connection}, hello(to)});
    deliver(to, control::PeerOpened{{connection}, hello(from)});
  }
  return connection;
}

void LocalCell::carryOut(ControllerNode& node, control::SendToServer& action) {
  const std::size_t to = action.server.value - 1;
  count(roleOf(node), roleOf(*controllers_[to]), action.message);
  const protocol::ConnectionId connection{connectionTo(node.number, to)};
  auto message = std::make_shared<protocol::Message>(std::move(action.message));
  after(options_.delay, [this, to, connection, message] {
    deliver(to, control::PeerMessage{connection, std::move(*message)});
  });
}

void LocalCell::carryOut(ControllerNode& node, control::SendToConnection& action) {
  const Connection& connection = connections_.at(action.connection.value);
  auto message = std::make_shared<protocol::Message>(std::move(action.message));
  if (!connection.router) {
    const std::size_t to = connection.from == node.number ? connection.to : connection.from;
    count(roleOf(node), roleOf(*controllers_[to]), *message);
    after(options_.delay, [this, to, id = action.connection, message] {
      deliver(to, control::PeerMessage{id, std::move(*message)});
    });
    return;
  }
  const std::size_t router = *connection.router;
  count(roleOf(node), Peer::router, *message, routers_[router].get());
  after(options_.delay, [this, router, id = action.connection, message] {
    stepRouter(router, routing::ControllerMessage{id, std::move(*message)});
  });
}

void LocalCell::carryOut(ControllerNode& node, control::EngineCall& action) {
  auto finished = std::make_shared<control::EngineCallFinished>(engines_.answer(action));
  if (counting_) {
    const std::string name = callName(action.request);
    count(roleOf(node), Peer::engine, name, callBytes(action.request));
    count(Peer::engine, roleOf(node), "answer to " + name, resultBytes(finished->result));
    if (const auto* order = std::get_if<engine::Order>(&action.request)) {
      ++(order->action == engine::OrderAction::load ? traffic_.loads : traffic_.unloads);
    }
  }
  after(2 * options_.delay,
        [this, number = node.number, finished] { deliver(number, std::move(*finished)); });
}

void LocalCell::carryOut(ControllerNode& node, control::ReadPlatformList&) {
  after(2 * options_.delay, [this, number = node.number] {
    deliver(number, control::PlatformListRead{engines_.list(now_)});
  });
}

void LocalCell::carryOut(ControllerNode&, control::ApiAnswer& action) {
  if (action.reply.error) {
    refusal_ = action.reply.error;
  }
}

void LocalCell::stepRouter(std::size_t number, const routing::RouterInput& input) {
  RouterNode& node = *routers_[number];
  node.router->step(now_, input);
  for (routing::RouterAction& action : node.router->takeActions()) {
    std::visit([&](auto& body) { carryOut(node, body); }, action);
  }
  schedule(node);
}

void LocalCell::schedule(RouterNode& node) {
  const base::TimePoint at = std::max(node.router->nextWakeup(), now_);
  if (at == node.wakeup || at == base::kNever) {
    return;
  }
  node.wakeup = at;
  after(at - now_, [this, &node, at] {
    if (node.wakeup == at) {
      node.wakeup = base::kNever;
      stepRouter(node.number, routing::Tick{});
    }
  });
}

void LocalCell::carryOut(RouterNode& node, routing::OpenController& action) {
  const std::uint64_t id = nextConnection_++;
  const std::size_t to = action.endpoint.port - kFirstPort;
  connections_[id] = {node.number, 0, to};
  after(options_.delay, [this, id, to, number = node.number, endpoint = action.endpoint] {
    const protocol::Hello router{protocol::kProtocolVersion, protocol::PeerRole::router, kScaleCell,
                                 number + 1, zoneName(number % kZones)};
    deliver(to, control::PeerOpened{{id}, router});
    const protocol::Hello hello{protocol::kProtocolVersion, protocol::PeerRole::controller,
                                kScaleCell, to + 1, zoneName(to)};
    stepRouter(number, routing::ControllerConnected{{id}, endpoint, hello});
  });
}

void LocalCell::carryOut(RouterNode& node, routing::SendToController& action) {
  const std::size_t to = connections_.at(action.connection.value).to;
  count(Peer::router, roleOf(*controllers_[to]), action.message, &node);
  auto message = std::make_shared<protocol::Message>(std::move(action.message));
  after(options_.delay, [this, to, id = action.connection, message] {
    deliver(to, control::PeerMessage{id, std::move(*message)});
  });
}

void LocalCell::carryOut(RouterNode& node, routing::StartAttempt& action) {
  const base::RequestId request = action.generate.request;
  const base::AttemptId attempt = action.generate.attempt;
  const std::size_t number = node.number;
  after(options_.firstToken, [this, number, request, attempt] {
    stepRouter(number, routing::EngineEvent{engine::GenerateStarted{request, attempt, {1}, {}}});
    stepRouter(number, routing::EngineEvent{engine::GenerateToken{request, attempt, 0, " word"}});
  });
  after(options_.answer, [this, number, request, attempt] {
    stepRouter(number, routing::EngineEvent{engine::GenerateEnded{
                           request, attempt, 1, engine::FinishReason::length, {}}});
  });
}

}  // namespace walnut::scale
