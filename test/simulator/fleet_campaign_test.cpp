/// Documents reach all gateways under changes and overlapping faults.

#include "simulator/fleet_campaign.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::simulator;
using namespace std::chrono_literals;

TEST_GROUP(FleetCampaignTest){
    static FleetCampaignOptions options(std::uint64_t seed){FleetCampaignOptions made;
made.fleet.seed = seed;
made.duration = 40s;
return made;
}
}
;

TEST(FleetCampaignTest, theNewestDocumentIsInForceUnderChangesAndFaults) {
  constexpr std::uint64_t kSeeds = 12;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const FleetCampaignResult result = runFleetCampaign(options(seed));
    STRCMP_EQUAL("0 violations", result.description.c_str());
    CHECK_TRUE(result.newestEverywhere);
    CHECK_TRUE(result.longestTurn < consensus::RaftOptions().checkQuorumTimeout);
  }
}

TEST(FleetCampaignTest, aSeedGivesTheSameRunEachTime) {
  const FleetCampaignResult first = runFleetCampaign(options(3));
  const FleetCampaignResult second = runFleetCampaign(options(3));
  CHECK_TRUE(first.events == second.events);
  CHECK_TRUE(first.longestTurn == second.longestTurn);
}
