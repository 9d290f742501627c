#pragma once
/// @file
/// Which workers a gateway of a large fleet is told of.

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

/// Each gateway follows some of the workers of each plain service, and some of those that serve a
/// model or an adapter that it has been asked for: more of them while these are busy or its
/// requests wait. Those of its own zone come first. Gateways of one group follow the same workers
/// as far as can be, so that the prompts that these have read are used again; groups differ, so
/// that no worker is everybody's.
///
/// Work grows with what changes and who follows it, never with workers x gateways.
class ViewInterest {
 public:
  using GatewayId = protocol::ConnectionId;

  /// @name Workers of one kind that a gateway follows to begin with
  /// @{
  static constexpr std::size_t kModelWorkers = 4;
  static constexpr std::size_t kPlainWorkers = 16;
  /// @}
  /// Gateways whose ids are alike by this follow the same workers.
  static constexpr std::uint64_t kGroups = 8;
  /// Of the slots of the followed workers that serve a model: from then on more are followed.
  static constexpr double kBusyShare = 0.25;
  /// From which on what a gateway has no use for any more is dropped.
  static constexpr std::size_t kMostFollowed = 512;
  /// A model that nobody asked a gateway for in this time is of no use to it.
  static constexpr base::Duration kInterestLasts = std::chrono::minutes(1);

  void addGateway(GatewayId gateway, const base::ZoneId& zone);
  void removeGateway(GatewayId gateway);
  /// A gateway has been told of a worker by other means.
  void followed(GatewayId gateway, const WorkerId& worker);

  /// @param plain it serves a plain service: all its workers serve the same.
  void setWorker(const WorkerView& view, bool plain);
  void removeWorker(const WorkerId& worker);
  void setRunning(const WorkerId& worker, std::uint32_t running);

  /// The gateway was asked for a model or adapter.
  /// @param waiting requests for it wait there: the workers that it follows do not do.
  void asked(GatewayId gateway, const ModelKey& key, bool waiting, base::TimePoint now);

  const std::set<GatewayId>& followersOf(const WorkerId& worker) const;
  const std::set<WorkerId>& followedBy(GatewayId gateway) const;

  /// A gateway follows a worker, or no longer does.
  struct Change {
    GatewayId gateway;
    WorkerId worker;
    bool follows = true;
  };
  /// @return changes since the last call, in their order.
  std::vector<Change> takeChanges() { return std::exchange(changes_, {}); }

 private:
  struct Need {
    std::size_t workers = 0;  ///< That are to be followed for it.
    base::TimePoint askedAt;
  };
  struct Gateway {
    base::ZoneId zone;
    std::map<ModelKey, Need> needs;
    std::set<WorkerId> follows;
  };
  struct Worker {
    base::ZoneId zone;
    std::uint64_t hash = 0;  ///< Of the id: its place in rings.
    std::uint32_t slots = 0;
    std::uint32_t running = 0;
    std::set<ModelKey> serves;  ///< Empty while nothing new is to be sent to it.
    std::set<GatewayId> followers;
  };

  /// Workers of one zone in a fixed order, by which each group begins elsewhere.
  using Ring = std::set<std::pair<std::uint64_t, WorkerId>>;
  using Rings = std::map<base::ZoneId, Ring>;

  static std::set<ModelKey> servedBy(const WorkerView& view, bool plain);
  void require(GatewayId id, Gateway& gateway, const ModelKey& key, std::size_t workers,
               base::TimePoint now);
  void fill(GatewayId id, Gateway& gateway, const ModelKey& key);
  void followMore(GatewayId id, Gateway& gateway, const ModelKey& key, std::size_t most);
  std::vector<WorkerId> unfollowed(GatewayId id, const Gateway& gateway, const Rings& rings,
                                   std::size_t most) const;
  std::vector<WorkerId> followedFor(const Gateway& gateway, const ModelKey& key) const;
  std::size_t servingCount(const ModelKey& key) const;
  bool busy(const Gateway& gateway, const ModelKey& key) const;
  void follow(GatewayId id, Gateway& gateway, const WorkerId& workerId);
  void dropUseless(GatewayId id, Gateway& gateway, base::TimePoint now);
  void startedServing(const WorkerId& id, const Worker& worker, const ModelKey& key);
  void stoppedServing(const WorkerId& id, const Worker& worker, const ModelKey& key);

  std::map<GatewayId, Gateway> gateways_;
  std::map<WorkerId, Worker> workers_;
  std::map<ModelKey, Rings> serving_;              ///< Who serves it.
  std::set<ModelKey> plain_;                       ///< Keys of plain services.
  std::map<ModelKey, std::set<GatewayId>> unmet_;  ///< Who follows fewer than it needs.
  std::vector<Change> changes_;
};

}  // namespace walnut::registry
