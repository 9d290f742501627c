#pragma once
/// @file
/// Selects the workers that each gateway of a large fleet is sent updates of.

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "registry/demand_book.h"
#include "walnut/protocol/messages.h"
#include "walnut/registry/messages.h"

namespace walnut::registry {

/// Subscriptions of gateways to subsets of the workers. Each gateway follows some workers of each
/// plain service, and some of those that serve a model or adapter requested from it; more of them
/// while these are busy or its requests wait. Workers of its own zone come first. Gateways of one
/// group follow the same workers where possible, so that prompts already processed there are
/// reused; groups follow different workers, so that no worker gets the requests of all gateways.
///
/// Work grows with the number of changes and their followers, never with workers x gateways.
class ViewInterest {
 public:
  using GatewayId = protocol::ConnectionId;

  /// @name Initial number of workers that a gateway follows per model and per plain service
  /// @{
  static constexpr std::size_t kModelWorkers = 4;
  static constexpr std::size_t kPlainWorkers = 16;
  /// @}
  /// Number of groups; gateways whose ids are equal modulo it follow the same workers.
  static constexpr std::uint64_t kGroups = 8;
  /// Share of busy slots of the followed workers above which a gateway follows more workers.
  static constexpr double kBusyShare = 0.25;
  /// Number of followed workers above which a gateway drops those that it no longer needs.
  static constexpr std::size_t kMaxFollowed = 512;
  /// A gateway no longer needs a model that was not requested from it for this time.
  static constexpr base::Duration kInterestPeriod = std::chrono::minutes(1);

  void addGateway(GatewayId gateway, const base::ZoneId& zone);
  void removeGateway(GatewayId gateway);
  /// Records that a gateway already was sent a worker by other means.
  void markFollowed(GatewayId gateway, const WorkerId& worker);

  /// @param plain true if the worker belongs to a plain service, all of whose workers are equal.
  void setWorker(const WorkerView& view, bool plain);
  void removeWorker(const WorkerId& worker);
  void setRunning(const WorkerId& worker, std::uint32_t running);

  /// Records that a model or adapter was requested from the gateway.
  /// @param waiting true if requests for it wait there: the followed workers are not enough.
  void recordRequest(GatewayId gateway, const ModelKey& key, bool waiting, base::TimePoint now);

  const std::set<GatewayId>& followersOf(const WorkerId& worker) const;
  const std::set<WorkerId>& followedBy(GatewayId gateway) const;

  /// A gateway begins or ceases to follow a worker.
  struct Change {
    GatewayId gateway;
    WorkerId worker;
    bool follows = true;
  };
  /// @return the changes since the last call, in order.
  std::vector<Change> takeChanges() { return std::exchange(changes_, {}); }

 private:
  struct Need {
    std::size_t workers = 0;  ///< Number of workers to follow.
    base::TimePoint requestedAt;
  };
  struct Gateway {
    base::ZoneId zone;
    std::map<ModelKey, Need> needs;
    std::set<WorkerId> follows;
  };
  struct Worker {
    base::ZoneId zone;
    std::uint64_t hash = 0;  ///< Hash of the id, which is the position in rings.
    std::uint32_t slots = 0;
    std::uint32_t running = 0;
    std::set<ModelKey> serves;  ///< Empty while no new requests may be sent to the worker.
    std::set<GatewayId> followers;
  };

  /// Workers of one zone in a fixed order, in which each group has a different start.
  using Ring = std::set<std::pair<std::uint64_t, WorkerId>>;
  using Rings = std::map<base::ZoneId, Ring>;

  static std::set<ModelKey> servedBy(const WorkerView& view, bool plain);
  void requireWorkers(GatewayId id, Gateway& gateway, const ModelKey& key, std::size_t workers,
                      base::TimePoint now);
  void followEnough(GatewayId id, Gateway& gateway, const ModelKey& key);
  void followMore(GatewayId id, Gateway& gateway, const ModelKey& key, std::size_t most);
  std::vector<WorkerId> unfollowed(GatewayId id, const Gateway& gateway, const Rings& rings,
                                   std::size_t most) const;
  std::vector<WorkerId> followedFor(const Gateway& gateway, const ModelKey& key) const;
  std::size_t servingCount(const ModelKey& key) const;
  bool isBusy(const Gateway& gateway, const ModelKey& key) const;
  void follow(GatewayId id, Gateway& gateway, const WorkerId& workerId);
  void dropUnneeded(GatewayId id, Gateway& gateway, base::TimePoint now);
  void startedServing(const WorkerId& id, const Worker& worker, const ModelKey& key);
  void stoppedServing(const WorkerId& id, const Worker& worker, const ModelKey& key);

  std::map<GatewayId, Gateway> gateways_;
  std::map<WorkerId, Worker> workers_;
  std::map<ModelKey, Rings> serving_;              ///< Workers that serve each key.
  std::set<ModelKey> plain_;                       ///< Keys of plain services.
  std::map<ModelKey, std::set<GatewayId>> unmet_;  ///< Gateways that follow too few workers.
  std::vector<Change> changes_;
};

}  // namespace walnut::registry
