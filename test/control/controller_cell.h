#pragma once
/// @file
/// Several controllers connected by an in-memory network under virtual time, with engines that
/// follow the fencing rules. Disks never fail here; the simulator covers disk failures.

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "control/cell_fixture.h"
#include "walnut/factories.h"

// Must be included after all other headers: it redefines `new`.
#include <CppUTest/TestHarness.h>

namespace walnut::control {

/// An engine that loads in a fixed time and counts the orders it receives.
struct FakeEngine {
  static constexpr base::Duration kLoadTime = std::chrono::seconds(1);

  base::Incarnation incarnation{kFirstIncarnation};
  engine::FencingToken greatestToken;
  /// Held servables and the time when each is ready.
  std::map<resource::Servable, base::TimePoint> held;
  std::size_t loadsStarted = 0;
  std::size_t staleOrders = 0;
  bool isUnreachable = false;

  void restart() {
    ++incarnation.value;
    greatestToken = {};
    held.clear();
  }

  engine::CallResult call(base::TimePoint now, const engine::Call& call) {
    if (isUnreachable) {
      return base::Error{base::ErrorCode::connectFailed, "", ""};
    }
    if (const auto* request = std::get_if<engine::ReportRequest>(&call)) {
      return report(now, *request);
    }
    const auto& order = std::get<engine::Order>(call);
    if (order.incarnation != incarnation) {
      return base::Error{base::ErrorCode::wrongIncarnation, "", ""};
    }
    if (order.token <= greatestToken) {
      ++staleOrders;
      return base::Error{base::ErrorCode::staleOrder, "", ""};
    }
    greatestToken = order.token;
    if (order.action == engine::OrderAction::unload) {
      held.erase(order.servable);
    } else if (held.try_emplace(order.servable, now + kLoadTime).second) {
      ++loadsStarted;
    }
    return engine::CallResult(engine::OrderAccepted{greatestToken});
  }

 private:
  engine::CallResult report(base::TimePoint now, const engine::ReportRequest& request) {
    if (request.token.term < greatestToken.term) {
      return base::Error{base::ErrorCode::staleOrder, "", ""};
    }
    greatestToken = std::max(greatestToken, request.token);
    engine::Report report;
    report.incarnation = incarnation;
    report.greatestToken = greatestToken;
    report.acceleratorBytes.assign(kAccelerators, kMemory);
    for (const auto& [servable, readyAt] : held) {
      const auto state = now < readyAt ? engine::HeldState::loading : engine::HeldState::ready;
      report.held.push_back({servable, {0}, kModelBytes, state, 0});
    }
    return engine::CallResult(report);
  }
};

/// A cell of controllers. Servers are numbered from 0; server n has the id n + 1.
class ControllerCell {
 public:
  static constexpr base::Duration kLatency = std::chrono::milliseconds(1);

  /// @param voters number of servers in the first membership.
  /// @param spare number of further servers that can be added later.
  explicit ControllerCell(std::size_t voters, std::size_t spare = 0, ControllerOptions options = {})
      : options_(options) {
    consensus::Membership membership;
    for (std::size_t number = 0; number < voters; ++number) {
      membership.members.push_back(member(number));
      membership.members.back().role = consensus::MemberRole::voter;
    }
    servers_.resize(voters + spare);
    for (std::size_t number = 0; number < servers_.size(); ++number) {
      consensus::RecoveredState recovered;
      recovered.self = base::ServerId{number + 1};
      servers_[number].controller =
          makeController(options_, kCell, std::move(recovered),
                         number < voters ? membership : consensus::Membership{}, number + 1, now);
    }
    for (std::size_t number = 0; number < servers_.size(); ++number) {
      for (std::size_t other = 0; other < servers_.size(); ++other) {
        if (other != number) {
          input(number, PeerOpened{serverConnection(other),
                                   hello(protocol::PeerRole::controller, other + 1)});
        }
      }
    }
  }

  consensus::Member member(std::size_t number) const {
    const auto port = static_cast<std::uint16_t>(7000 + number);
    return {base::ServerId{number + 1}, consensus::MemberRole::learner, {"10.0.0.1", port}, {}, {}};
  }

  void run(base::Duration duration) {
    runUntil([end = now + duration, this] { return now >= end; }, duration);
  }
  /// Runs until the condition is true; fails the test if that takes longer than the limit.
  void runUntil(const std::function<bool()>& done, base::Duration limit) {
    const base::TimePoint end = now + limit;
    while (!done()) {
      const base::TimePoint next = std::min(nextEvent(), end);
      now = std::max(now, next);
      if (now >= end) {
        break;
      }
      runDue();
    }
    CHECK_TRUE(done());
  }

  /// @return the leader with the greatest term; empty if there is none.
  std::optional<std::size_t> leader() const {
    std::optional<std::size_t> found;
    consensus::Term term = 0;
    for (std::size_t number = 0; number < servers_.size(); ++number) {
      const consensus::RaftStatus status = servers_[number].controller->raftStatus();
      if (status.role == consensus::Role::leader && status.term > term && !servers_[number].down) {
        found = number;
        term = status.term;
      }
    }
    return found;
  }
  std::size_t awaitLeader() {
    runUntil([this] { return leader().has_value(); }, std::chrono::seconds(10));
    return *leader();
  }
  consensus::RaftStatus status(std::size_t server) const {
    return servers_[server].controller->raftStatus();
  }

  /// Stops or restarts a server. A stopped server handles nothing; its inputs wait until it is
  /// restarted.
  void setDown(std::size_t server, bool down) {
    servers_[server].down = down;
    for (ControllerInput& waiting :
         down ? std::vector<ControllerInput>{} : std::exchange(servers_[server].waiting, {})) {
      input(server, std::move(waiting));
    }
  }
  /// Sets whether messages between this server and the others are lost.
  void setPartitioned(std::size_t server, bool partitioned) {
    servers_[server].partitioned = partitioned;
  }

  void stop(std::size_t server) { input(server, PlannedShutdown{}); }

  std::uint64_t beginCall(std::size_t server, protocol::ApiRequest request) {
    input(server, ApiCall{++calls_, std::move(request)});
    return calls_;
  }
  protocol::ApiReply awaitReply(std::uint64_t call) {
    runUntil([&] { return replies.contains(call); }, std::chrono::seconds(20));
    return replies.at(call);
  }
  protocol::ApiReply call(std::size_t server, protocol::ApiRequest request) {
    return awaitReply(beginCall(server, std::move(request)));
  }
  protocol::ApiReply put(std::size_t server, resource::Resource declared) {
    return call(server,
                PutResource{"put-" + std::to_string(++puts_), std::nullopt, std::move(declared)});
  }
  /// Declares model `m` with version `v1` and this replica limit.
  void declareModel(std::size_t server, std::uint32_t maxReplicas) {
    put(server, declare(resource::Kind::model, "m", modelSpec("")));
    put(server, declare(resource::Kind::modelVersion, "v1", versionSpec("m")));
    put(server, declare(resource::Kind::model, "m", modelSpec("v1", maxReplicas)));
  }

  /// Connects a router to the server.
  /// @return the connection.
  protocol::ConnectionId connectRouter(std::size_t server, std::uint64_t router) {
    const protocol::ConnectionId connection{kFirstRouter + router};
    input(server, PeerOpened{connection, hello(protocol::PeerRole::router, router)});
    return connection;
  }
  void send(std::size_t server, protocol::ConnectionId connection, protocol::Message message) {
    input(server, PeerMessage{connection, std::move(message)});
  }
  /// Reports a router's demand for model `m` to the current leader.
  void demand(std::uint64_t router, std::uint32_t waiting) {
    const std::size_t server = awaitLeader();
    protocol::DemandReport report{base::RouterId{router}, ++reports_, true, {}, {}};
    protocol::Demand entry;
    entry.model = "m";
    entry.waitingInteractive = waiting;
    entry.lastArrival = now;
    report.entries.push_back(entry);
    send(server, connectRouter(server, router), report);
  }

  /// Reports the outcomes of a router's attempts at an engine to the current leader.
  void outcomes(std::uint64_t router, const std::string& engine, std::uint32_t answered,
                std::uint32_t failed) {
    const std::size_t server = awaitLeader();
    protocol::DemandReport report{base::RouterId{router}, ++reports_, false, {}, {}};
    report.outcomes.push_back({base::EngineId{engine}, answered, failed});
    send(server, connectRouter(server, router), report);
  }

  FakeEngine& addEngine(const std::string& name) {
    engine::PlatformMachine machine;
    machine.engine.value = name;
    machine.endpoint = {"10.0.1.1", static_cast<std::uint16_t>(9000 + engines_.size())};
    machine.zone.value = "zone-a";
    machine.machineClass = "standard";
    machines.push_back(machine);
    return engines_[machine.endpoint];
  }
  /// @return the status as seen by this server.
  protocol::CellStatus cellStatus(std::size_t server) {
    return *call(server, protocol::GetStatus{}).status;
  }

  base::TimePoint now = atSecond(1000);
  std::map<std::uint64_t, protocol::ApiReply> replies;
  /// Messages sent to routers, in order.
  std::vector<std::pair<protocol::ConnectionId, protocol::Message>> toRouters;
  std::vector<engine::PlatformMachine> machines;
  std::set<std::size_t> stopped;
  /// Extra delay of every order sent from now on.
  base::Duration orderDelay{0};

 private:
  static constexpr base::CellId kCell{1, 1};
  static constexpr std::uint64_t kFirstRouter = 1000;

  struct Server {
    std::unique_ptr<Controller> controller;
    bool down = false;
    bool partitioned = false;
    std::vector<ControllerInput> waiting;
  };

  static protocol::ConnectionId serverConnection(std::size_t number) {
    return protocol::ConnectionId{number + 1};
  }
  static protocol::Hello hello(protocol::PeerRole role, std::uint64_t id) {
    protocol::Hello hello;
    hello.role = role;
    hello.cell = kCell;
    hello.id = id;
    return hello;
  }

  base::TimePoint nextEvent() const {
    base::TimePoint next = events_.empty() ? base::kNever : events_.begin()->first;
    for (const Server& server : servers_) {
      next = server.down ? next : std::min(next, server.controller->nextWakeup());
    }
    return next;
  }
  void runDue() {
    while (!events_.empty() && events_.begin()->first <= now) {
      const std::function<void()> event = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      event();
    }
    for (std::size_t number = 0; number < servers_.size(); ++number) {
      if (!servers_[number].down && servers_[number].controller->nextWakeup() <= now) {
        input(number, Tick{});
      }
    }
  }
  void after(base::Duration delay, std::function<void()> event) {
    events_.emplace(now + delay, std::move(event));
  }

  void input(std::size_t number, ControllerInput value) {
    Server& server = servers_[number];
    if (server.down) {
      server.waiting.push_back(std::move(value));
      return;
    }
    server.controller->step(now, value);
    for (;;) {
      const ControllerOutputs outputs = server.controller->takeOutputs();
      for (const ControllerAction& action : outputs.actions) {
        std::visit([&](const auto& body) { perform(number, body); }, action);
      }
      if (!outputs.persist.empty()) {
        server.controller->step(now, Persisted{});
      } else if (outputs.actions.empty()) {
        return;
      }
    }
  }
  void deliver(std::size_t from, std::size_t to, const protocol::Message& message) {
    if (servers_[from].partitioned || servers_[to].partitioned) {
      return;
    }
    after(kLatency, [this, from, to, message] {
      input(to, PeerMessage{serverConnection(from), message});
    });
  }

  void perform(std::size_t from, const SendToServer& send) {
    deliver(from, send.server.value - 1, send.message);
  }
  void perform(std::size_t from, const SendToConnection& send) {
    if (send.connection.value < kFirstRouter) {
      deliver(from, send.connection.value - 1, send.message);
    } else {
      toRouters.emplace_back(send.connection, send.message);
    }
  }
  void perform(std::size_t, const ApiAnswer& answer) { replies[answer.call] = answer.reply; }
  void perform(std::size_t, const ApiWatchEvents&) {}
  void perform(std::size_t from, const EngineCall& call) {
    const bool isOrder = std::holds_alternative<engine::Order>(call.request);
    after(kLatency + (isOrder ? orderDelay : base::Duration{0}), [this, from, call] {
      const auto result = engines_.at(call.endpoint).call(now, call.request);
      input(from, EngineCallFinished{call.call, result});
    });
  }
  void perform(std::size_t from, const ReadPlatformList&) {
    after(kLatency, [this, from] {
      input(from, PlatformListRead{engine::PlatformList{now, machines}});
    });
  }
  void perform(std::size_t from, const ControllerStopped&) { stopped.insert(from); }

  ControllerOptions options_;
  std::vector<Server> servers_;
  std::map<base::Endpoint, FakeEngine> engines_;
  std::multimap<base::TimePoint, std::function<void()>> events_;
  std::uint64_t calls_ = 0;
  std::uint64_t puts_ = 0;
  std::uint64_t reports_ = 0;
};

}  // namespace walnut::control
