#pragma once
/// @file
/// A registry cell and its gateways in virtual time, with document sizes, link rates and shares of
/// a core as machines have them, under faults; and the check that gateways serve by what was
/// acknowledged.

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "simulator/fleet_gateway.h"
#include "simulator/fleet_server.h"
#include "simulator/fleet_workers.h"
#include "simulator/loaded_network.h"

namespace walnut::simulator {

/// Defaults are those of a deployment of 65 gateways (docs/PLATFORM.md).
struct RegistryFleetOptions {
  std::uint64_t seed = 1;
  std::size_t servers = 5;
  std::size_t founders = 3;
  /// Servers that start only when they are told to, at addresses after those of the others.
  std::size_t reserves = 0;
  std::size_t gateways = 65;
  std::size_t workers = 90;
  double serverShare = 0.6;
  double gatewayShare = 0.12;
  double serverBytesPerSecond = 125e6;
  double gatewayBytesPerSecond = 1.25e6;
  /// An acknowledged document is in force everywhere within this, and what was disturbed has come
  /// back to rest after `restAfterFault`.
  base::Duration applyWithin = std::chrono::milliseconds(2500);
  base::Duration restAfterFault = std::chrono::seconds(4);
  /// Each document takes away the key of the one before: no gateway lets that through later.
  base::Duration revokedWithin = std::chrono::seconds(5);
  /// What gateways go by; other than `revokedWithin` only to show that the check sees it.
  base::Duration gatewayRevocation = std::chrono::seconds(5);
  /// Whether connections to a server that is down are refused at once, instead of timing out.
  bool answersWhenDown = true;
};

/// A gateway that served by an older document than it should have, or than before, or by none; or
/// that would let a request through by its keys, or by none.
struct FleetViolation {
  base::Duration at{0};  ///< Since the start of the run.
  std::size_t gateway = 0;
  std::uint64_t served = 0;  ///< 0: it knew no document.
  std::uint64_t acknowledged = 0;
  bool byKeys = false;
};

class RegistryFleet : private FleetServerLinks, private FleetGatewayLinks {
 public:
  explicit RegistryFleet(const RegistryFleetOptions& options);

  /// Starts every process of a new cell.
  void startAll();
  void run(base::Duration duration);

  /// Sends the next document, with so many routes, until it is acknowledged.
  void declare(std::size_t routes);
  /// @return true if the newest document is acknowledged.
  bool acknowledged() const { return acknowledgedVersion_ == declaredVersion_; }
  std::uint64_t declaredVersion() const { return declaredVersion_; }

  /// @name Faults
  /// @{
  void killServer(std::size_t server, bool loseDisk);
  void startServer(std::size_t server);
  /// Ends a server that never comes back. If it is a seed, processes that start later are told its
  /// successor in its place.
  void removeServer(std::size_t server, std::size_t successor);
  void killGateway(std::size_t gateway);
  void startGateway(std::size_t gateway);
  /// Cuts a server off from everything, or joins it again.
  void cutServer(std::size_t server, bool cut);
  /// Cuts a gateway off from all servers, or joins it again.
  void cutGateway(std::size_t gateway, bool cut);
  /// Gives a process a part of its share of a core; 1: the whole.
  void slowServer(std::size_t server, double part);
  void slowGateway(std::size_t gateway, double part);
  /// Syncs of the server's disk take from half of `mean` to one and a half from now on.
  void slowDisk(std::size_t server, base::Duration mean) { servers_[server]->setSyncTime(mean); }
  /// Their machines stand still for that long.
  void suspendServer(std::size_t server, base::Duration duration);
  void suspendGateway(std::size_t gateway, base::Duration duration);
  /// Ends every process at once; all that are not gone start again after `down`, the servers of
  /// `diskLosses` empty.
  void restartAll(base::Duration down, const std::vector<std::size_t>& diskLosses);
  /// @}

  std::size_t serverCount() const { return servers_.size(); }
  std::size_t gatewayCount() const { return gateways_.size(); }
  /// @return a server that takes itself for the leader; none: the count of servers.
  std::size_t leader() const;
  /// @return how many gateways would let requests through.
  std::size_t gatewaysAdmitting() const;
  bool gatewayAdmits(std::size_t gateway) const {
    return gateways_[gateway]->admittingDocumentVersion() != 0;
  }
  /// @return how many gateways serve by the newest acknowledged document.
  std::size_t gatewaysUpToDate() const;
  const std::vector<FleetViolation>& violations() const { return violations_; }
  /// @return how often a gateway would have let a key through that had been taken away.
  std::size_t revokedKeysInForce() const;
  std::string describeViolations() const;
  /// @return how many workers were acknowledged within the last heartbeats.
  std::size_t workersAcknowledged() const { return workers_.acknowledgedCount(); }
  std::uint64_t workerCalls() const { return workers_.callCount(); }
  /// @return how often a server began to lead.
  std::size_t leaderships() const { return leaderships_; }
  /// @return processor time of a whole core that each server was charged since the last call.
  std::vector<base::Duration> takeServerTimes();
  /// The longest that one input held up a server's loop since the last call.
  base::Duration takeLongestServerTurn();
  base::TimePoint now() const { return scheduler_.now(); }
  base::Random& random() { return scheduler_.random(); }
  Scheduler& scheduler() { return scheduler_; }

 private:
  struct Connection {
    std::size_t gateway = 0;
    std::uint64_t gatewayLife = 0;
    std::size_t server = 0;
    std::uint64_t serverLife = 0;
  };

  // FleetServerLinks
  void sendToMember(std::size_t from, base::ServerId member,
                    std::shared_ptr<const protocol::Message> message, std::size_t bytes) override;
  void sendToEndpoint(std::size_t from, const base::Endpoint& endpoint,
                      std::shared_ptr<const protocol::Message> message, std::size_t bytes) override;
  void sendToConnection(std::size_t from, protocol::ConnectionId connection,
                        std::shared_ptr<const protocol::Message> message,
                        std::size_t bytes) override;
  void callAnswered(std::uint64_t call, const registry::ControlAnswer& answer) override;
  // FleetGatewayLinks
  void open(std::size_t gateway, const base::Endpoint& server) override;
  void close(std::size_t gateway, protocol::ConnectionId connection) override;
  void send(std::size_t gateway, protocol::ConnectionId connection,
            std::shared_ptr<const protocol::Message> message, std::size_t bytes) override;

  void sendToServer(std::size_t from, std::size_t to,
                    std::shared_ptr<const protocol::Message> message, std::size_t bytes);
  void answerOpen(std::size_t gateway, std::uint64_t life, std::size_t server);
  void endConnection(protocol::ConnectionId connection);
  void endConnectionsOf(std::size_t server);
  void sendDeclaration();
  std::uint64_t callAsWorker(const std::optional<base::Endpoint>& home,
                             const registry::ReportAlive& call);
  /// A server that starts and those that run hear each other's greeting.
  void greetServers(std::size_t started);
  void greet(std::size_t from, std::size_t to);
  void check();
  void checkRegression(std::size_t gateway);
  void checkKeys(std::size_t gateway);
  void noteDisturbance(base::Duration rest);
  /// @return true if nothing has disturbed the servers lately, none is slow, and most of them run
  /// and reach each other.
  bool cellAtRest() const;
  std::uint64_t dueVersion(base::Duration within) const;
  std::vector<base::Endpoint> seeds() const;
  consensus::Membership foundingMembership() const;
  /// @return a server that runs, drawn; the count of servers if none does.
  std::size_t drawRunningServer();

  const RegistryFleetOptions options_;
  Scheduler scheduler_;
  LoadedNetwork network_;
  base::TimePoint startedAt_;
  std::vector<std::unique_ptr<FleetServer>> servers_;
  std::vector<std::unique_ptr<FleetGateway>> gateways_;
  std::map<protocol::ConnectionId, Connection> connections_;
  std::uint64_t lastConnection_ = 0;
  std::uint64_t lastCall_ = 0;
  bool founded_ = false;

  std::uint64_t declaredVersion_ = 0;
  std::size_t declaredRoutes_ = 0;
  std::uint64_t acknowledgedVersion_ = 0;
  std::map<std::uint64_t, base::TimePoint> acknowledgedAt_;  ///< By version.
  std::map<std::uint64_t, std::uint64_t> declarations_;      ///< Version by call.
  FleetWorkers workers_;
  std::size_t lastLeader_ = 0;
  std::size_t leaderships_ = 0;

  std::vector<std::size_t> seeds_;       ///< Servers that processes are told of when they start.
  std::set<std::size_t> absentServers_;  ///< Gone for good, or reserves that have not started.
  std::set<std::size_t> cutServers_;
  std::set<std::size_t> slowServers_;
  base::TimePoint cellRestsAt_;
  std::vector<base::TimePoint> gatewayRestsAt_;
  /// What a gateway served by when it was last looked at, in that life of its process.
  struct Served {
    std::uint64_t life = 0;
    std::uint64_t version = 0;
  };
  std::vector<Served> served_;
  std::vector<FleetViolation> violations_;
};

}  // namespace walnut::simulator
