#pragma once
/// @file
/// Accounts of what a simulated serving fleet loaded, told its callers and served.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "walnut/base/time.h"

namespace walnut::simulator {

/// Loads from the weight store.
struct StoreAccount {
  std::uint64_t loads = 0;
  std::uint64_t onDiskElsewhere = 0;  ///< Of models that another live worker's disk had.
  std::uint64_t servedElsewhere = 0;  ///< Of models that another live worker served.
  /// Of models that another live worker's disk had, taken while a model that none had or was
  /// loading had been asked for within the time that a caller stays.
  std::uint64_t whileOthersNeededIt = 0;
};

/// Tries that followed a refusal with a Retry-After, since counting began.
struct ReturnAccount {
  std::uint64_t tries = 0;
  std::uint64_t served = 0;

  double servedShare() const {
    return tries == 0 ? 1 : static_cast<double>(served) / static_cast<double>(tries);
  }
};

/// What callers were told who were refused with a Retry-After while no worker served their model,
/// and when a worker had loaded it, since counting began.
struct ForecastAccount {
  std::vector<base::Duration> errors;  ///< Time until the load's end, less the time told.
  std::uint64_t inPatience = 0;        ///< Loads that ended before the caller would have given up.

  /// @return the median of the errors; zero if there are none.
  base::Duration medianError() const;
};

/// How a gateway that is cut off from all workers finds its connections to them.
enum class WorkerCut : std::uint8_t {
  hang,    ///< Nothing comes back.
  reset,   ///< All connections are reset, and new ones are refused.
  refuse,  ///< What is under way goes on, and new connections are refused.
};

/// First tries of callers while some gateways are cut off from all workers, from
/// ServingFleet::kContact after a cut began until its end.
struct FirstTryAccount {
  struct Count {
    std::uint64_t sent = 0;
    std::uint64_t served = 0;

    double servedShare() const {
      return sent == 0 ? 1 : static_cast<double>(served) / static_cast<double>(sent);
    }
  };
  Count cutOff;  ///< At gateways that are cut off.
  Count others;

  /// @return true if first tries at gateways that are cut off are served less than two thirds as
  /// often as those at the others, and more than 10 and a fiftieth of all fail there.
  bool broken() const;
};

/// Requests that were refused as not run, since counting began.
struct RefusalAccount {
  std::vector<base::Duration> after;  ///< For each, from its arrival at the gateway.
  std::uint64_t withoutRetryAfter = 0;
  std::map<std::string, std::uint64_t> reasons;  ///< As logged.

  /// @return the time that all but a hundredth took at most.
  base::Duration mostlyAfter() const;
};

}  // namespace walnut::simulator
