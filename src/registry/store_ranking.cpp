#include "registry/store_ranking.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace walnut::registry {

namespace {

/// Weight of a priority level relative to the next higher one, as in the cost of unloading.
constexpr double kPriorityFactor = 0.7;
/// Least used share of the slots from which the capacity of a replica is derived. Below it, the
/// rate of a few requests would be multiplied by a large factor.
constexpr double kMinUsedShare = 0.1;

double seconds(base::Duration duration) { return std::chrono::duration<double>(duration).count(); }

/// @return the requests per second that a replica of the model serves when its slots are in use; 0
/// if its replicas have answered nothing yet.
double ratePerReplica(const StoreLoadDemand& demand) {
  if (demand.replicas == 0) {
    return 0;
  }
  return demand.servedRate / demand.replicas / std::clamp(demand.usedShare, kMinUsedShare, 1.0);
}

/// @return the time before the load's end in which callers arrive that still wait then.
base::Duration waitBeforeEnd(const StoreLoadDemand& demand) {
  return std::min(demand.callerTimeout, demand.startsIn + demand.loadTime);
}

double callersServed(const StoreLoadDemand& demand) {
  const double window = seconds(waitBeforeEnd(demand) + demand.loadTime);
  if (demand.replicas + demand.replicasBeingLoaded == 0) {
    const bool stay = demand.waitersStayFor >= demand.startsIn + demand.loadTime;
    return demand.expectedRate * window + (stay ? demand.waiting : 0);
  }
  const double perReplica = ratePerReplica(demand);
  const double present = demand.replicas + demand.replicasBeingLoaded;
  const double excess = std::max(0.0, demand.expectedRate - perReplica * present);
  return std::min(excess * window, perReplica * seconds(demand.loadTime));
}

}  // namespace

std::string_view storePlaceReasonName(StorePlaceReason reason) {
  switch (reason) {
    case StorePlaceReason::holdsPlace:
      return "room-made";
    case StorePlaceReason::waitedLong:
      return "waited-long";
    case StorePlaceReason::value:
      return "most-callers";
  }
  return "unknown";
}

double storeLoadValue(const StoreLoadDemand& demand) {
  return callersServed(demand) * std::pow(kPriorityFactor, demand.priority);
}

std::vector<RankedStoreLoad> rankStoreLoads(const std::vector<StoreLoadDemand>& demands,
                                            bool longWaitFirst) {
  struct Entry {
    RankedStoreLoad load;
    base::Duration wantedFor{0};
  };
  std::vector<Entry> entries;
  entries.reserve(demands.size());
  for (const StoreLoadDemand& demand : demands) {
    const double value = storeLoadValue(demand);
    const bool waitedLong = value > 0 && demand.wantedFor > kLongestWaitInLoads * demand.loadTime;
    StorePlaceReason reason = StorePlaceReason::value;
    if (demand.holdsPlace) {
      reason = StorePlaceReason::holdsPlace;
    } else if (longWaitFirst && waitedLong) {
      reason = StorePlaceReason::waitedLong;
    }
    entries.push_back({{demand.model, reason, value}, demand.wantedFor});
  }
  std::sort(entries.begin(), entries.end(), [](const Entry& left, const Entry& right) {
    if (left.load.reason != right.load.reason) {
      return left.load.reason < right.load.reason;
    }
    return left.load.reason == StorePlaceReason::value
               ? std::tie(left.load.value, left.wantedFor, right.load.model) >
                     std::tie(right.load.value, right.wantedFor, left.load.model)
               : std::tie(left.wantedFor, left.load.value, right.load.model) >
                     std::tie(right.wantedFor, right.load.value, left.load.model);
  });
  std::vector<RankedStoreLoad> order;
  order.reserve(entries.size());
  for (Entry& entry : entries) {
    order.push_back(std::move(entry.load));
  }
  return order;
}

}  // namespace walnut::registry
