#include "simulator/store_campaign.h"

#include <sstream>

namespace walnut::simulator {

namespace {

constexpr base::Duration kCalm = std::chrono::seconds(8);
constexpr base::Duration kTrouble = std::chrono::seconds(28);
/// Over which a model is asked for, to be counted.
constexpr base::Duration kSpan = std::chrono::seconds(8);

void play(ServingFleet& fleet) {
  fleet.run(kCalm);
  fleet.countAnew();
  fleet.run(kTrouble);
}

/// @return the account of forecasts in words; errors are in seconds, above 0 if models came late.
std::string describe(const ForecastAccount& forecasts) {
  std::ostringstream text;
  text << " forecasts=" << forecasts.errors.size() << " loaded-in-patience=" << forecasts.inPatience
       << " median-error=" << std::chrono::duration<double>(forecasts.medianError()).count();
  return text.str();
}

}  // namespace

ServingFleetOptions slowStoreFleet(std::uint64_t seed) {
  ServingFleetOptions options;
  options.seed = seed;
  options.models = 54;
  options.storeLoadsPerSecond = 1.5;
  options.requestsPerSecond = 16;
  options.popularShare = 0.3;
  return options;
}

StoreCampaignResult runStoreCampaign(std::uint64_t seed) {
  ServingFleet fleet(slowStoreFleet(seed));
  play(fleet);
  StoreCampaignResult result;
  result.neverServed = fleet.neverServed(kSpan);
  result.served = fleet.servedShare();
  result.account = fleet.storeAccount();
  result.forecasts = fleet.forecasts();
  result.leastNeverServed = fleet.leastNeverServed(kSpan);
  std::ostringstream text;
  text << "never-served=" << result.neverServed.size() << " served=" << result.served
       << " store-loads=" << result.account.loads
       << " of-what-a-disk-has=" << result.account.onDiskElsewhere
       << " while-others-needed-it=" << result.account.whileOthersNeededIt
       << " of-what-is-served=" << result.account.servedElsewhere
       << " unavoidable=" << result.leastNeverServed << describe(result.forecasts);
  for (const std::string& name : result.neverServed) {
    text << "\n  " << name << " " << fleet.describeLoads(name);
  }
  result.description = text.str();
  return result;
}

HeedingCallersResult runHeedingCallersCampaign(std::uint64_t seed) {
  ServingFleetOptions options = slowStoreFleet(seed);
  options.callersHeedRetryAfter = true;
  ServingFleet fleet(options);
  play(fleet);
  HeedingCallersResult result;
  result.neverServed = fleet.neverServed(kSpan);
  result.served = fleet.servedShare();
  result.returns = fleet.returns();
  result.forecasts = fleet.forecasts();
  std::ostringstream text;
  text << "heeding Retry-After: never-served=" << result.neverServed.size()
       << " served=" << result.served << " returns=" << result.returns.tries
       << " served-on-return=" << result.returns.servedShare() << describe(result.forecasts);
  result.description = text.str();
  return result;
}

}  // namespace walnut::simulator
