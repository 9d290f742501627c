#pragma once
/// @file
/// What gateways report of the demand for models and of the load on workers.

#include <compare>
#include <map>
#include <set>
#include <string>

#include "walnut/protocol/messages.h"
#include "walnut/registry/messages.h"

namespace walnut::registry {

/// A model of a service, or an adapter over it.
struct ModelKey {
  std::string service;
  std::string model;
  std::string adapter;  ///< Empty: the model itself.
  auto operator<=>(const ModelKey&) const = default;

  ModelKey withoutAdapter() const { return {service, model, {}}; }
};

/// Demand for a model and its adapters adds up in the model's own figures.
struct DemandFigures {
  std::uint32_t waiting = 0;
  double rate = 0;              ///< Arrivals a second, a decaying mean.
  base::TimePoint lastArrival;  ///< Zero if there was none.
};

/// Kept by the leader; empty at the start of its leadership.
class DemandBook {
 public:
  void update(protocol::ConnectionId gateway, const DemandUpdate& update, base::TimePoint now);
  void forget(protocol::ConnectionId gateway);

  DemandFigures figures(const ModelKey& key, base::TimePoint now) const;
  /// @return arrivals a second for adapters of a model, all together.
  double adapterRate(const std::string& service, const std::string& model,
                     base::TimePoint now) const;
  /// @return the requests of all gateways on that worker.
  std::uint32_t running(const WorkerId& worker) const;
  /// @return those of one model.
  std::uint32_t running(const WorkerId& worker, const std::string& model) const;
  /// @return true if some gateway can't reach the worker.
  bool unreachable(const WorkerId& worker) const;
  /// @return the running requests of all workers that have any.
  std::vector<WorkerLoad> loads() const;
  /// @return all models and adapters for which requests wait.
  std::map<ModelKey, std::uint32_t> waiting() const;
  /// @return all models with demand in the recent past.
  std::vector<ModelKey> recentModels() const;

 private:
  struct Gateway {
    std::map<ModelKey, std::uint32_t> waiting;
    std::set<WorkerId> unreachable;
    std::map<WorkerId, std::map<std::string, std::uint32_t>> running;  ///< By model.
  };
  struct History {
    double weight = 0;
    base::TimePoint updatedAt;
    base::TimePoint lastArrival;
  };

  void count(const ModelKey& key, std::uint32_t arrivals, base::TimePoint now);

  std::map<protocol::ConnectionId, Gateway> gateways_;
  std::map<ModelKey, History> history_;
};

}  // namespace walnut::registry
