#pragma once
/// @file
/// A gateway in a simulated fleet: the same logic as in walnut-router, without requests, on a share
/// of a core.

#include <functional>
#include <memory>
#include <vector>

#include "gateway/registry_follower.h"
#include "simulator/fleet_server.h"

namespace walnut::simulator {

/// What a fleet does for its gateways.
class FleetGatewayLinks {
 public:
  virtual ~FleetGatewayLinks() = default;
  virtual void open(std::size_t gateway, const base::Endpoint& server) = 0;
  virtual void close(std::size_t gateway, protocol::ConnectionId connection) = 0;
  virtual void send(std::size_t gateway, protocol::ConnectionId connection,
                    std::shared_ptr<const protocol::Message> message, std::size_t bytes) = 0;
};

class FleetGateway {
 public:
  FleetGateway(std::size_t index, Scheduler& scheduler, FleetGatewayLinks& links, double share,
               base::Duration revocation);
  ~FleetGateway();

  void start(const std::vector<base::Endpoint>& servers);
  void kill();

  /// @name Events of its connections
  /// @{
  void opened(protocol::ConnectionId connection, const base::Endpoint& server);
  void openFailed(const base::Endpoint& server);
  void closed(protocol::ConnectionId connection);
  void received(protocol::ConnectionId connection, std::shared_ptr<const protocol::Message> message,
                std::size_t bytes);
  /// @}

  bool running() const { return process_ != nullptr; }
  std::uint64_t life() const { return life_; }
  /// @return the version of the document that it serves by; 0: it serves nothing.
  std::uint64_t documentVersion() const;
  /// @return the version by whose keys it would let a request through; 0: it would refuse all.
  std::uint64_t admittingDocumentVersion() const;
  Processor& processor() { return processor_; }
  HostIndex host = 0;

 private:
  struct GatewayProcess;

  void post(std::function<void()> input, std::size_t bytes);
  void settle();
  void scheduleWakeup();

  const std::size_t index_;
  Scheduler& scheduler_;
  FleetGatewayLinks& links_;
  const base::Duration revocation_;
  Processor processor_;
  std::unique_ptr<GatewayProcess> process_;
  std::uint64_t life_ = 0;
  base::TimePoint wakeupAt_ = base::kNever;
};

}  // namespace walnut::simulator
