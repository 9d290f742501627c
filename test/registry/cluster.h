#pragma once
/// @file
/// Simulated cell of registry servers in virtual time, with network partitions and lost disks.

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "simulator/stored_log.h"
#include "walnut/factories.h"
#include "walnut/registry/feature_level.h"
#include "walnut/registry/registry.h"

namespace walnut::registry::testing {

/// Reads "VERSION CONTENT"; anything else is malformed.
class PlainReader : public DocumentReader {
 public:
  base::Result<catalog::Document> read(const std::string& text) const override {
    catalog::Document document;
    try {
      document.version = std::stoull(text);
    } catch (const std::exception&) {
      return base::Error{base::ErrorCode::malformedInput, "version", text};
    }
    return document;
  }
};

/// Simulated cell of registry servers. Servers are numbered by their port. Messages take one
/// millisecond; connections are numbered by the servers at both ends and never close.
class Cluster {
 public:
  explicit Cluster(std::uint32_t tolerableLosses) : losses_(tolerableLosses) {}

  static base::Endpoint endpoint(std::uint16_t port) { return {"10.0.0.1", port}; }

  /// @param founders ports of the founding servers; empty: the server asks `seeds` to join.
  void start(std::uint16_t port, std::uint64_t identity, const std::vector<std::uint16_t>& founders,
             const std::vector<std::uint16_t>& seeds) {
    Node& node = nodes_[port];
    if (node.disk.state.self == base::ServerId{}) {
      node.disk.state.self = {identity};
    }
    RegistryOptions options;
    options.name = "server-" + std::to_string(port);
    options.tolerableLosses = losses_;
    options.self.peerEndpoint = endpoint(port);
    options.self.resourceEndpoint = endpoint(port);
    for (const std::uint16_t seed : seeds) {
      options.joinEndpoints.push_back(endpoint(seed));
    }
    consensus::Membership membership;
    for (const std::uint16_t founder : founders) {
      membership.members.push_back(
          {{founder}, consensus::MemberRole::voter, endpoint(founder), endpoint(founder), {}});
    }
    options.zones = {{"zone-a"}, {"zone-b"}};
    node.registry = makeRegistry(options, node.disk.state, membership, reader_, log_, port, now_);
    for (const auto& [other, otherNode] : nodes_) {
      if (other != port && otherNode.registry) {
        deliverHello(port, other);
        deliverHello(other, port);
      }
    }
  }
  /// Sets the feature level of the server's build, from its next start on.
  void setFeatureLevel(std::uint16_t port, std::uint32_t level) { levels_[port] = level; }
  void stop(std::uint16_t port) { nodes_.at(port).registry.reset(); }
  void loseDisk(std::uint16_t port) { nodes_.at(port).disk = {}; }
  void partition(std::uint16_t port) { partitioned_.insert(port); }
  /// Suspends the server's machine; messages to it are delayed until `resume`.
  void suspend(std::uint16_t port) { suspended_.insert(port); }
  void resume(std::uint16_t port) { suspended_.erase(port); }
  void reconnect(std::uint16_t port) { partitioned_.erase(port); }

  /// Makes a call to a server and runs until it is answered, or for 5 s.
  ControlAnswer call(std::uint16_t port, ControlCall body) {
    const std::uint64_t number = ++lastCall_;
    nodes_.at(port).registry->step(now_, CallReceived{number, std::move(body)});
    settle(port);
    const base::TimePoint limit = now_ + std::chrono::seconds(5);
    while (answers_.count(number) == 0 && now_ < limit) {
      advance();
    }
    return answers_.count(number) == 0 ? ControlAnswer{} : answers_.at(number);
  }
  /// Repeats a call to a server until it is done or the time has passed.
  bool callUntilDone(std::uint16_t port, const ControlCall& body, base::Duration timeout) {
    const base::TimePoint limit = now_ + timeout;
    while (now_ < limit) {
      if (call(port, body).status == ControlStatus::done) {
        return true;
      }
      advance();  // The leader answers at once, without any time passing.
    }
    return false;
  }

  void run(base::Duration duration) {
    const base::TimePoint limit = now_ + duration;
    while (now_ < limit) {
      advance();
    }
  }

  std::optional<std::uint16_t> leader() const {
    for (const auto& [port, node] : nodes_) {
      if (node.registry && partitioned_.count(port) == 0 &&
          node.registry->raftStatus().role == consensus::Role::leader) {
        return port;
      }
    }
    return std::nullopt;
  }
  std::size_t voterCount(std::uint16_t port) const {
    std::size_t count = 0;
    for (const auto& member : nodes_.at(port).registry->raftStatus().membership.members) {
      count += member.role == consensus::MemberRole::voter ? 1 : 0;
    }
    return count;
  }
  bool runs(std::uint16_t port) const { return nodes_.at(port).registry != nullptr; }
  base::TimePoint now() const { return now_; }
  const std::vector<SendOrder>& orders() const { return orders_; }
  const std::vector<std::pair<base::TimePoint, std::uint64_t>>& orderFences() const {
    return fences_;
  }

  /// Sends a message of a gateway to a server. @return the messages sent back within that time.
  std::vector<MessageBody> sendAsGateway(std::uint16_t port, MessageBody body,
                                         base::Duration timeout = std::chrono::seconds(1)) {
    toGateway_.clear();
    nodes_.at(port).registry->step(
        now_, LinkReceived{connection(port, kGatewayPort),
                           protocol::Message(RegistryMessage{std::move(body)})});
    settle(port);
    run(timeout);
    return toGateway_;
  }
  /// @return the messages sent to the gateway since it last sent one.
  const std::vector<MessageBody>& sentToGateway() const { return toGateway_; }
  /// Connects the gateway to a server, as a build of that feature level.
  void connectGateway(std::uint16_t port, std::uint32_t level) {
    protocol::Hello hello;
    hello.role = protocol::PeerRole::router;
    hello.featureLevel = level;
    nodes_.at(port).registry->step(now_, LinkOpened{connection(port, kGatewayPort), hello});
  }
  /// @return what the server's disk holds.
  const consensus::RecoveredState& disk(std::uint16_t port) const {
    return nodes_.at(port).disk.state;
  }
  std::vector<MessageBody> subscribe(std::uint16_t port,
                                     base::Duration timeout = std::chrono::seconds(1)) {
    return sendAsGateway(port, Subscribe{}, timeout);
  }
  /// @return a heartbeat of a worker that holds `models`.
  static ReportAlive alive(const char* id, std::uint64_t sequence, bool leaving,
                           std::initializer_list<const char*> models) {
    Heartbeat heartbeat;
    heartbeat.worker = {{id}, "svc", {"10.0.1.1", 80}, {}, 4, leaving};
    heartbeat.sequence = sequence;
    heartbeat.holdingsKnown = true;
    for (const char* model : models) {
      heartbeat.holdings.models.push_back({model, 1, {}});
    }
    return {heartbeat};
  }

 private:
  static constexpr std::uint16_t kGatewayPort = 900;

  struct Node {
    simulator::StoredLog disk;
    std::unique_ptr<Registry> registry;
  };
  struct InFlight {
    base::TimePoint arrival;
    std::uint16_t from = 0;
    std::uint16_t to = 0;
    protocol::Message message;
  };

  /// Delivers the Hello of `from` to `to`.
  void deliverHello(std::uint16_t from, std::uint16_t to) {
    protocol::Hello hello;
    hello.role = protocol::PeerRole::controller;
    hello.id = nodes_.at(from).registry->raftStatus().self.value;
    const auto level = levels_.find(from);
    hello.featureLevel = level == levels_.end() ? kFeatureLevel : level->second;
    nodes_.at(to).registry->step(now_, LinkOpened{connection(to, from), hello});
  }

  static protocol::ConnectionId connection(std::uint16_t from, std::uint16_t to) {
    return {(std::uint64_t{from} << 16U) | to};
  }

  void advance() {
    now_ += std::chrono::milliseconds(1);
    std::vector<InFlight> due;
    std::vector<InFlight> later;
    for (InFlight& message : std::exchange(network_, {})) {
      (message.arrival <= now_ ? due : later).push_back(std::move(message));
    }
    network_ = std::move(later);
    for (InFlight& message : due) {
      const bool lost =
          partitioned_.count(message.from) != 0 || partitioned_.count(message.to) != 0;
      const auto found = nodes_.find(message.to);
      if (suspended_.count(message.to) != 0) {
        network_.push_back(std::move(message));
        continue;
      }
      if (lost || found == nodes_.end() || !found->second.registry) {
        continue;
      }
      // The connection has the number under which the receiver would answer.
      found->second.registry->step(
          now_, LinkReceived{connection(message.to, message.from), std::move(message.message)});
      settle(message.to);
    }
    for (auto& [port, node] : nodes_) {
      if (node.registry && suspended_.count(port) == 0 && node.registry->nextWakeup() <= now_) {
        node.registry->step(now_, Tick{});
        settle(port);
      }
    }
  }

  void settle(std::uint16_t port) {
    Node& node = nodes_.at(port);
    for (int round = 0; round < 16; ++round) {
      RegistryOutputs outputs = node.registry->takeOutputs();
      const bool persisted = !outputs.persist.empty();
      node.disk.persist(outputs.persist);
      for (RegistryAction& action : outputs.actions) {
        perform(port, action);
      }
      if (persisted) {
        node.registry->step(now_, Persisted{});
      }
      if (!persisted && outputs.actions.empty()) {
        return;
      }
    }
  }

  void perform(std::uint16_t from, RegistryAction& action) {
    if (auto* server = std::get_if<control::SendToServer>(&action)) {
      for (const auto& [port, node] : nodes_) {
        if (node.registry && node.registry->raftStatus().self == server->server) {
          send(from, port, std::move(server->message));
          return;
        }
      }
    } else if (auto* back = std::get_if<control::SendToConnection>(&action)) {
      send(from, static_cast<std::uint16_t>(back->connection.value & 0xffffU),
           std::move(back->message));
    } else if (auto* endpoint = std::get_if<SendToEndpoint>(&action)) {
      send(from, endpoint->endpoint.port, std::move(endpoint->message));
    } else if (auto* answered = std::get_if<CallAnswered>(&action)) {
      answers_[answered->call] = answered->answer;
    } else if (auto* order = std::get_if<SendOrder>(&action)) {
      orders_.push_back(*order);
      fences_.emplace_back(now_, order->fence);
    }
  }

  void send(std::uint16_t from, std::uint16_t to, protocol::Message message) {
    if (to == kGatewayPort) {
      toGateway_.push_back(std::get<RegistryMessage>(message).body);
      return;
    }
    network_.push_back({now_ + std::chrono::milliseconds(1), from, to, std::move(message)});
  }

  const std::uint32_t losses_;
  PlainReader reader_;
  runtime::NullEventLog log_;
  base::TimePoint now_ = base::TimePoint(std::chrono::seconds(1000));
  std::map<std::uint16_t, Node> nodes_;
  std::map<std::uint16_t, std::uint32_t> levels_;  ///< Feature levels that differ from this build.
  std::set<std::uint16_t> partitioned_;
  std::set<std::uint16_t> suspended_;
  std::vector<InFlight> network_;
  std::uint64_t lastCall_ = 0;
  std::map<std::uint64_t, ControlAnswer> answers_;
  std::vector<MessageBody> toGateway_;
  std::vector<SendOrder> orders_;
  std::vector<std::pair<base::TimePoint, std::uint64_t>> fences_;
};

}  // namespace walnut::registry::testing
