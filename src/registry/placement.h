#pragma once
/// @file
/// Which model or adapter is to be loaded or unloaded where. Policy only: nothing is ordered here.

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "registry/demand_book.h"
#include "registry/store_rate.h"
#include "walnut/catalog/document.h"

namespace walnut::registry {

enum class OrderOperation : std::uint8_t { load = 0, unload = 1 };

/// A change of what one worker holds.
struct PlacementStep {
  WorkerId worker;
  OrderOperation operation = OrderOperation::load;
  std::string model;
  std::string adapter;     ///< Empty: the model itself.
  bool fromStore = false;  ///< The load takes from the weight store's rate.

  bool operator==(const PlacementStep&) const = default;
};

/// A worker as the policy sees it.
struct PlacementWorker {
  WorkerId id;
  Holdings holdings;          ///< With adapters that are on their way.
  bool mayBeOrdered = false;  ///< It is ready, and no order to it is under way.
  bool mayTakeAdapters = true;
  bool serving = true;                  ///< It is neither leaving nor silent.
  std::optional<std::string> arriving;  ///< A model that it is loading.
  std::optional<std::string> retiring;  ///< A model that it is unloading.
  std::uint32_t running = 0;
  /// By model: adapters that were loaded a short while ago and make no room yet.
  std::set<std::pair<std::string, std::string>> newAdapters;
};

/// Wakes models and adapters that requests wait for, and keeps a second replica of busy models.
/// Kept by the leader for one service. A wake names a worker and holds until the model is there, so
/// that making room and loading are steps of one decision.
class PlacementPolicy {
 public:
  explicit PlacementPolicy(std::string service) : service_(std::move(service)) {}

  /// @return what to order now, one step a worker at most.
  std::vector<PlacementStep> plan(const catalog::EngineSpec& engine,
                                  const std::vector<PlacementWorker>& workers,
                                  const DemandBook& demand, StoreRate& store, base::TimePoint now);

 private:
  struct Wake {
    WorkerId worker;
    base::TimePoint since;
  };
  struct Round;

  void dropEndedWakes(const Round& round);
  bool hasBetterWorker(const Round& round, const std::string& model, const Wake& wake) const;
  void chooseWakes(Round& round);
  void wakeModel(Round& round, const std::string& model);
  void carryOut(Round& round, const std::string& model, const Wake& wake);
  void placeAdapters(Round& round);
  void placeAdapter(Round& round, const catalog::ModelSpec& model, const std::string& adapter);

  const std::string service_;
  std::map<std::string, Wake> wakes_;
  std::vector<std::string> byWorth_;  ///< Models to wake in this run, the most wanted first.
};

}  // namespace walnut::registry
