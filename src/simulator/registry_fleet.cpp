#include "simulator/registry_fleet.h"

#include <algorithm>
#include <utility>

#include "walnut/registry/feature_level.h"

namespace walnut::simulator {

namespace {

constexpr std::uint16_t kPeerPort = 7000;
constexpr std::size_t kHandshakeBytes = 120;
/// With its HTTP head; some copies in memory and on disk are named.
constexpr std::size_t kHeartbeatBytes = 900;
/// Of the operator, as on the platform.
constexpr base::Duration kDeclareAgain = std::chrono::seconds(1);
/// After which a server gives up a connection whose gateway is silent (TransportOptions).
constexpr base::Duration kIdleClose = std::chrono::seconds(10);
/// A machine's processes start within this of each other.
constexpr base::Duration kStartSpread = std::chrono::milliseconds(100);

std::string serverAddress(std::size_t server) { return "10.0.0." + std::to_string(server + 1); }

std::size_t serverOf(const base::Endpoint& endpoint) {
  return static_cast<std::size_t>(
             std::stoul(endpoint.address.substr(endpoint.address.rfind('.') + 1))) -
         1;
}

}  // namespace

RegistryFleet::RegistryFleet(const RegistryFleetOptions& options)
    : options_(options),
      scheduler_(options.seed),
      network_(scheduler_),
      startedAt_(scheduler_.now()),
      workers_(options.workers, options.servers, scheduler_,
               [this](const std::optional<base::Endpoint>& home,
                      const registry::ReportAlive& call) { return callAsWorker(home, call); }),
      lastLeader_(options.servers),
      cellRestsAt_(scheduler_.now()),
      gatewayRestsAt_(options.gateways),
      served_(options.gateways) {
  FleetServerLinks& serverLinks = *this;
  FleetGatewayLinks& gatewayLinks = *this;
  for (std::size_t index = 0; index < options.founders; ++index) {
    seeds_.push_back(index);
  }
  const std::size_t servers = options.servers + options.reserves;
  for (std::size_t index = 0; index < servers; ++index) {
    if (index >= options.servers) {
      absentServers_.insert(index);
    }
    registry::RegistryOptions server;
    server.name = "server-" + std::to_string(index);
    server.self.peerEndpoint = {serverAddress(index), kPeerPort};
    server.self.resourceEndpoint = server.self.peerEndpoint;
    server.self.zone = {"zone-" + std::to_string(index)};
    server.joinEndpoints = seeds();
    server.ordersFenced = true;
    servers_.push_back(
        std::make_unique<FleetServer>(index, server, scheduler_, serverLinks, options.serverShare));
    servers_.back()->host = network_.addHost(server.name, "zone-" + std::to_string(index),
                                             options.serverBytesPerSecond);
  }
  for (std::size_t index = 0; index < options.gateways; ++index) {
    gateways_.push_back(std::make_unique<FleetGateway>(
        index, scheduler_, gatewayLinks, options.gatewayShare, options.gatewayRevocation));
    gateways_.back()->host = network_.addHost("gateway-" + std::to_string(index),
                                              "zone-" + std::to_string(index % options.servers),
                                              options.gatewayBytesPerSecond);
  }
}

std::vector<base::Endpoint> RegistryFleet::seeds() const {
  std::vector<base::Endpoint> endpoints;
  for (const std::size_t seed : seeds_) {
    endpoints.push_back({serverAddress(seed), kPeerPort});
  }
  return endpoints;
}

consensus::Membership RegistryFleet::foundingMembership() const {
  consensus::Membership membership;
  for (std::size_t index = 0; index < options_.founders; ++index) {
    const base::Endpoint endpoint = {serverAddress(index), kPeerPort};
    membership.members.push_back(
        {{index + 1}, consensus::MemberRole::voter, endpoint, endpoint, {}});
  }
  return membership;
}

void RegistryFleet::startAll() {
  const consensus::Membership founders = foundingMembership();
  for (std::size_t index = 0; index < options_.servers; ++index) {
    servers_[index]->start(index < options_.founders ? founders : consensus::Membership{});
  }
  for (std::size_t index = 0; index < options_.servers; ++index) {
    greetServers(index);
  }
  founded_ = true;
  for (const auto& gateway : gateways_) {
    gateway->start(seeds());
  }
  workers_.start();
  noteDisturbance(options_.restAfterFault);
  check();
}

void RegistryFleet::run(base::Duration duration) { scheduler_.runUntil(now() + duration); }

// The operator and the workers

std::size_t RegistryFleet::drawRunningServer() {
  std::vector<std::size_t> running;
  for (std::size_t index = 0; index < servers_.size(); ++index) {
    if (servers_[index]->running()) {
      running.push_back(index);
    }
  }
  return running.empty() ? servers_.size() : running[random().uniform(0, running.size() - 1)];
}

void RegistryFleet::declare(std::size_t routes) {
  ++declaredVersion_;
  declaredRoutes_ = routes;
  sendDeclaration();
}

void RegistryFleet::sendDeclaration() {
  if (acknowledged()) {
    return;
  }
  const std::size_t server = drawRunningServer();
  if (server < servers_.size()) {
    const std::string text = fleetDocumentText(declaredVersion_, declaredRoutes_);
    declarations_[++lastCall_] = declaredVersion_;
    servers_[server]->post(registry::CallReceived{lastCall_, registry::ReplaceDocument{text}},
                           text.size());
  }
  scheduler_.after(kDeclareAgain, [this, version = declaredVersion_] {
    if (version == declaredVersion_) {
      sendDeclaration();
    }
  });
}

void RegistryFleet::callAnswered(std::uint64_t call, const registry::ControlAnswer& answer) {
  const auto found = declarations_.find(call);
  if (workers_.answered(call, answer) || found == declarations_.end()) {
    return;
  }
  const std::uint64_t version = found->second;
  declarations_.erase(found);
  if (answer.status == registry::ControlStatus::done && version > acknowledgedVersion_) {
    acknowledgedVersion_ = version;
    acknowledgedAt_[version] = now();
  }
}

std::uint64_t RegistryFleet::callAsWorker(const std::optional<base::Endpoint>& home,
                                          const registry::ReportAlive& call) {
  const std::size_t server = home ? serverOf(*home) : drawRunningServer();
  ++lastCall_;
  if (server < servers_.size()) {
    servers_[server]->post(registry::CallReceived{lastCall_, call}, kHeartbeatBytes,
                           kHeartbeatBytes);
  }
  return lastCall_;
}

void RegistryFleet::greetServers(std::size_t started) {
  for (std::size_t other = 0; other < servers_.size(); ++other) {
    if (other != started && servers_[other]->running()) {
      greet(started, other);
      greet(other, started);
    }
  }
}

void RegistryFleet::greet(std::size_t from, std::size_t to) {
  protocol::Hello hello;
  hello.role = protocol::PeerRole::controller;
  hello.id = servers_[from]->identity().value;
  hello.zone = servers_[from]->options().self.zone;
  hello.featureLevel = registry::kFeatureLevel;
  servers_[to]->post(registry::LinkOpened{protocol::ConnectionId{from + 1}, hello},
                     kHandshakeBytes);
}

std::vector<base::Duration> RegistryFleet::takeServerTimes() {
  std::vector<base::Duration> times;
  for (const auto& server : servers_) {
    times.push_back(server->processor().takeUsedTime());
  }
  return times;
}

// Links

void RegistryFleet::sendToMember(std::size_t from, base::ServerId member,
                                 std::shared_ptr<const protocol::Message> message,
                                 std::size_t bytes) {
  for (std::size_t index = 0; index < servers_.size(); ++index) {
    if (servers_[index]->running() && servers_[index]->identity() == member) {
      sendToServer(from, index, std::move(message), bytes);
      return;
    }
  }
}

void RegistryFleet::sendToEndpoint(std::size_t from, const base::Endpoint& endpoint,
                                   std::shared_ptr<const protocol::Message> message,
                                   std::size_t bytes) {
  sendToServer(from, serverOf(endpoint), std::move(message), bytes);
}

void RegistryFleet::sendToServer(std::size_t from, std::size_t to,
                                 std::shared_ptr<const protocol::Message> message,
                                 std::size_t bytes) {
  // A server answers over a connection that is numbered by the server at its other end.
  const protocol::ConnectionId connection{from + 1};
  network_.transfer(servers_[from]->host, servers_[to]->host, bytes,
                    [this, to, connection, message = std::move(message), bytes] {
                      servers_[to]->post(registry::LinkReceived{connection, *message}, bytes);
                    });
}

void RegistryFleet::sendToConnection(std::size_t from, protocol::ConnectionId connection,
                                     std::shared_ptr<const protocol::Message> message,
                                     std::size_t bytes) {
  if (connection.value <= servers_.size()) {
    sendToServer(from, connection.value - 1, std::move(message), bytes);
    return;
  }
  const auto found = connections_.find(connection);
  if (found == connections_.end()) {
    return;
  }
  const std::size_t gateway = found->second.gateway;
  network_.transfer(servers_[from]->host, gateways_[gateway]->host, bytes,
                    [this, connection, message = std::move(message), bytes] {
                      const auto target = connections_.find(connection);
                      if (target != connections_.end()) {
                        gateways_[target->second.gateway]->received(connection, message, bytes);
                      }
                    });
}

void RegistryFleet::open(std::size_t gateway, const base::Endpoint& endpoint) {
  const std::size_t server = serverOf(endpoint);
  network_.transfer(gateways_[gateway]->host, servers_[server]->host, kHandshakeBytes,
                    [this, gateway, server, life = gateways_[gateway]->life()] {
                      answerOpen(gateway, life, server);
                    });
}

void RegistryFleet::answerOpen(std::size_t gateway, std::uint64_t life, std::size_t server) {
  const bool accepted = servers_[server]->running();
  if (!accepted && !options_.answersWhenDown) {
    return;
  }
  const base::Endpoint endpoint = servers_[server]->options().self.peerEndpoint;
  const protocol::ConnectionId connection{servers_.size() + ++lastConnection_};
  if (accepted) {
    connections_[connection] = {gateway, life, server, servers_[server]->life()};
    protocol::Hello hello;
    hello.zone = {"zone-" + std::to_string(gateway % servers_.size())};
    hello.featureLevel = registry::kFeatureLevel;
    servers_[server]->post(registry::LinkOpened{connection, hello}, kHandshakeBytes);
  }
  network_.transfer(servers_[server]->host, gateways_[gateway]->host, kHandshakeBytes,
                    [this, gateway, life, accepted, endpoint, connection] {
                      if (gateways_[gateway]->life() != life) {
                        endConnection(connection);
                      } else if (accepted) {
                        gateways_[gateway]->opened(connection, endpoint);
                      } else {
                        gateways_[gateway]->openFailed(endpoint);
                      }
                    });
}

void RegistryFleet::close(std::size_t gateway, protocol::ConnectionId connection) {
  const auto found = connections_.find(connection);
  if (found == connections_.end()) {
    return;
  }
  network_.transfer(gateways_[gateway]->host, servers_[found->second.server]->host, 0,
                    [this, connection] { endConnection(connection); });
  scheduler_.after(kIdleClose, [this, connection] { endConnection(connection); });
}

/// Tells the server that a connection has ended.
void RegistryFleet::endConnection(protocol::ConnectionId connection) {
  const auto found = connections_.find(connection);
  if (found == connections_.end()) {
    return;
  }
  const Connection ended = found->second;
  connections_.erase(found);
  if (servers_[ended.server]->life() == ended.serverLife) {
    servers_[ended.server]->post(registry::LinkClosed{connection}, 0);
  }
}

void RegistryFleet::send(std::size_t gateway, protocol::ConnectionId connection,
                         std::shared_ptr<const protocol::Message> message, std::size_t bytes) {
  const auto found = connections_.find(connection);
  if (found == connections_.end()) {
    return;
  }
  network_.transfer(gateways_[gateway]->host, servers_[found->second.server]->host, bytes,
                    [this, connection, message = std::move(message), bytes] {
                      const auto target = connections_.find(connection);
                      if (target != connections_.end()) {
                        servers_[target->second.server]->post(
                            registry::LinkReceived{connection, *message}, bytes);
                      }
                    });
}

// Faults

void RegistryFleet::noteDisturbance(base::Duration rest) {
  cellRestsAt_ = std::max(cellRestsAt_, now() + rest);
}

void RegistryFleet::killServer(std::size_t server, bool loseDisk) {
  noteDisturbance(options_.restAfterFault);
  endConnectionsOf(server);
  servers_[server]->kill();
  if (loseDisk) {
    servers_[server]->loseDisk();
  }
}

void RegistryFleet::removeServer(std::size_t server, std::size_t successor) {
  killServer(server, true);
  std::replace(seeds_.begin(), seeds_.end(), server, successor);
  absentServers_.insert(server);
}

/// A process that ends closes its connections.
void RegistryFleet::endConnectionsOf(std::size_t server) {
  std::vector<protocol::ConnectionId> ended;
  for (const auto& [id, connection] : connections_) {
    if (connection.server == server) {
      ended.push_back(id);
    }
  }
  for (const protocol::ConnectionId id : ended) {
    const Connection connection = connections_.at(id);
    connections_.erase(id);
    network_.transfer(servers_[server]->host, gateways_[connection.gateway]->host, 0,
                      [this, id, connection] {
                        if (gateways_[connection.gateway]->life() == connection.gatewayLife) {
                          gateways_[connection.gateway]->closed(id);
                        }
                      });
  }
}

void RegistryFleet::startServer(std::size_t server) {
  if (servers_[server]->running()) {
    return;  // Overlapping faults may start it twice.
  }
  noteDisturbance(options_.restAfterFault);
  absentServers_.erase(server);
  servers_[server]->setSeeds(seeds());
  servers_[server]->start({});
  greetServers(server);
}

void RegistryFleet::killGateway(std::size_t gateway) {
  gatewayRestsAt_[gateway] = base::kNever;
  for (const auto& [id, connection] : connections_) {
    if (connection.gateway == gateway) {
      close(gateway, id);
    }
  }
  gateways_[gateway]->kill();
}

void RegistryFleet::startGateway(std::size_t gateway) {
  if (gateways_[gateway]->running()) {
    return;
  }
  gatewayRestsAt_[gateway] = now() + options_.restAfterFault;
  gateways_[gateway]->start(seeds());
}

void RegistryFleet::cutServer(std::size_t server, bool cut) {
  noteDisturbance(options_.restAfterFault);
  if (cut) {
    cutServers_.insert(server);
  } else {
    cutServers_.erase(server);
  }
  Network& network = network_.network();
  const HostIndex host = servers_[server]->host;
  for (HostIndex other = 0; other < network.hostCount(); ++other) {
    if (cut) {
      network.cut(host, other);
      network.cut(other, host);
    } else {
      network.heal(host, other);
      network.heal(other, host);
    }
  }
}

void RegistryFleet::cutGateway(std::size_t gateway, bool cut) {
  gatewayRestsAt_[gateway] = cut ? base::kNever : now() + options_.restAfterFault;
  Network& network = network_.network();
  for (const auto& server : servers_) {
    if (cut) {
      network.cut(gateways_[gateway]->host, server->host);
      network.cut(server->host, gateways_[gateway]->host);
    } else {
      network.heal(gateways_[gateway]->host, server->host);
      network.heal(server->host, gateways_[gateway]->host);
    }
  }
}

void RegistryFleet::slowServer(std::size_t server, double part) {
  noteDisturbance(options_.restAfterFault);
  if (part < 1) {
    slowServers_.insert(server);
  } else {
    slowServers_.erase(server);
  }
  servers_[server]->processor().setShare(options_.serverShare * part);
}

void RegistryFleet::slowGateway(std::size_t gateway, double part) {
  gatewayRestsAt_[gateway] = part < 1 ? base::kNever : now() + options_.restAfterFault;
  gateways_[gateway]->processor().setShare(options_.gatewayShare * part);
}

void RegistryFleet::suspendServer(std::size_t server, base::Duration duration) {
  noteDisturbance(duration + options_.restAfterFault);
  servers_[server]->processor().suspend(duration);
}

void RegistryFleet::suspendGateway(std::size_t gateway, base::Duration duration) {
  gatewayRestsAt_[gateway] =
      std::max(gatewayRestsAt_[gateway], now() + duration + options_.restAfterFault);
  gateways_[gateway]->processor().suspend(duration);
}

void RegistryFleet::restartAll(base::Duration down, const std::vector<std::size_t>& diskLosses) {
  for (std::size_t index = 0; index < servers_.size(); ++index) {
    const bool lost = std::count(diskLosses.begin(), diskLosses.end(), index) != 0;
    killServer(index, lost);
  }
  for (std::size_t index = 0; index < gateways_.size(); ++index) {
    killGateway(index);
  }
  // Most of the cell was lost: it is given twice the time.
  noteDisturbance(down + 2 * options_.restAfterFault);
  for (std::size_t index = 0; index < servers_.size(); ++index) {
    if (absentServers_.count(index) != 0) {
      continue;
    }
    scheduler_.after(down + random().between(base::Duration::zero(), kStartSpread),
                     [this, index] { startServer(index); });
  }
  for (std::size_t index = 0; index < gateways_.size(); ++index) {
    scheduler_.after(down + random().between(base::Duration::zero(), kStartSpread),
                     [this, index] { startGateway(index); });
  }
}

}  // namespace walnut::simulator
