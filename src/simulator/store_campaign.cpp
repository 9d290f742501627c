#include "simulator/store_campaign.h"

#include <sstream>

namespace walnut::simulator {

namespace {

constexpr base::Duration kCalm = std::chrono::seconds(8);
constexpr base::Duration kTrouble = std::chrono::seconds(28);
/// Over which a model is asked for, to be counted.
constexpr base::Duration kSpan = std::chrono::seconds(8);

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
  fleet.run(kCalm);
  fleet.countAnew();
  fleet.run(kTrouble);
  StoreCampaignResult result;
  result.neverServed = fleet.neverServed(kSpan);
  result.served = fleet.servedShare();
  result.account = fleet.storeAccount();
  std::ostringstream text;
  text << "never-served=" << result.neverServed.size() << " served=" << result.served
       << " store-loads=" << result.account.loads
       << " of-what-a-disk-has=" << result.account.onDiskElsewhere
       << " of-what-is-served=" << result.account.servedElsewhere;
  for (const std::string& name : result.neverServed) {
    text << "\n  " << name << " " << fleet.describeLoads(name);
  }
  result.description = text.str();
  return result;
}

}  // namespace walnut::simulator
