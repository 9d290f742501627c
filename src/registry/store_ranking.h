#pragma once
/// @file
/// The order in which models get the weight store's next load, where replicas are slow to add.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "walnut/base/time.h"

namespace walnut::registry {

/// The load of a model that needs the weight store, and the demand that it would serve.
struct StoreLoadDemand {
  std::string model;
  double expectedRate = 0;     ///< Arrivals per second expected from the end of the load on.
  std::uint32_t priority = 0;  ///< 0 is the highest.
  /// Time for which a caller waits for a stream to begin.
  base::Duration callerTimeout{0};
  base::Duration startsIn{0};  ///< Time until the load can begin.
  base::Duration loadTime{0};
  base::Duration wantedFor{0};  ///< Time since the load was first wanted.
  /// True if a model was already unloaded for this load.
  bool holdsPlace = false;

  /// @name Requests that wait at gateways
  /// @{
  std::uint32_t waiting = 0;
  base::Duration waitersStayFor{0};  ///< Time until they have left.
  /// @}

  /// @name Existing replicas
  /// @{
  std::uint32_t replicas = 0;             ///< Replicas that serve.
  std::uint32_t replicasBeingLoaded = 0;  ///< Replicas that don't serve yet.
  double servedRate = 0;  ///< Requests per second that the serving replicas begin to answer.
  double usedShare = 0;   ///< Running requests as a share of the slots of the serving replicas.
  /// @}
};

/// The reason for a load's position in the order, the most urgent first.
enum class StorePlaceReason : std::uint8_t {
  holdsPlace,  ///< A model was already unloaded for it.
  waitedLong,  ///< It has been wanted for longer than `kLongestWaitInLoads` load times.
  value,       ///< By the callers that it would serve.
};

std::string_view storePlaceReasonName(StorePlaceReason reason);

/// A position in the order.
struct RankedStoreLoad {
  std::string model;
  StorePlaceReason reason = StorePlaceReason::value;
  double value = 0;  ///< See `storeLoadValue`.
};

/// Load times after which a load that would serve somebody goes first, so that no model starves.
inline constexpr int kLongestWaitInLoads = 2;

/// @return the number of callers that the load would serve until one load time after its end,
/// weighted by their priority.
///
/// A model without a replica is served by this load alone: it gets all requests that arrive after
/// the end, those that arrive shortly before and still wait, and those that wait now and stay until
/// then. A model with replicas gets what these can't serve of that, at most what a replica of it is
/// measured to serve.
double storeLoadValue(const StoreLoadDemand& demand);

/// @return the loads, the one that gets the store's next place first.
/// @param longWaitFirst whether loads that were wanted for long come before more valuable ones, the
/// longest wanted first. If demand exceeds the store's rate for long, all loads have waited long;
/// the caller then lets every second place go by value.
std::vector<RankedStoreLoad> rankStoreLoads(const std::vector<StoreLoadDemand>& demands,
                                            bool longWaitFirst);

}  // namespace walnut::registry
