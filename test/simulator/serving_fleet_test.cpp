/// Which models and adapters are served beside workers that say they are well and fail.

#include "simulator/serving_fleet.h"

#include "simulator/serving_campaign.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::simulator;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kSeeds = 6;
/// Seeds 8 and 13 leave adapters out if what stalls at a full worker never counts.
constexpr std::uint64_t kFewSlotsSeeds = 13;
constexpr base::Duration kCalm = 8s;
constexpr base::Duration kTrouble = 28s;
/// Over which a model is asked for, to be counted.
constexpr base::Duration kSpan = 8s;

std::string describe(const ServingFleet& fleet) {
  std::string text = "never served:";
  for (const std::string& name : fleet.neverServed(kSpan)) {
    text += " " + name;
  }
  return text;
}

}  // namespace

TEST_GROUP(ServingFleetTest) {
  ServingFleetOptions options;

  /// Runs with a third of the workers failing, and checks that nobody is left without an answer.
  void checkEachIsServed(WorkerFault fault, std::uint64_t seeds = kSeeds) {
    for (options.seed = 1; options.seed <= seeds; ++options.seed) {
      ServingFleet fleet(options);
      fleet.run(kCalm);
      fleet.failWorkers(options.workers / 3, fault);
      fleet.countAnew();
      fleet.run(kTrouble);
      STRCMP_EQUAL("never served:", describe(fleet).c_str());
    }
  }
};

TEST(ServingFleetTest, soundWorkersServeEverybody) { checkEachIsServed(WorkerFault::none); }

TEST(ServingFleetTest, besideWorkersThatAnswerWithErrorsEachModelIsServed) {
  checkEachIsServed(WorkerFault::errors);
}

TEST(ServingFleetTest, besideWorkersThatHangEachModelIsServed) {
  checkEachIsServed(WorkerFault::hang);
}

TEST(ServingFleetTest, besideWorkersThatResetEachModelIsServed) {
  checkEachIsServed(WorkerFault::reset);
}

/// Requests that hang take all slots of their worker at once; a full worker is slow, not ill.
TEST(ServingFleetTest, besideHangingWorkersOfFewSlotsEachModelIsServed) {
  options.worker.slots = 2;
  options.requestsPerSecond = 36;
  checkEachIsServed(WorkerFault::hang, kFewSlotsSeeds);
}

/// The store is slower than the demand for cold models: some requests come to nothing, but not all
/// of one model's while others are served again and again.
TEST(ServingFleetTest, aSlowStoreLeavesNoModelOut) {
  options.models = 54;
  options.storeLoadsPerSecond = 1.5;
  options.requestsPerSecond = 16;
  options.popularShare = 0.3;
  checkEachIsServed(WorkerFault::none);
}

/// With a tenth of a load a second, four or five of 54 models can be loaded while they are asked
/// for.
TEST(ServingFleetTest, whatNoOrderOfLoadsCouldServeIsCounted) {
  options.models = 54;
  options.storeLoadsPerSecond = 0.1;
  options.requestsPerSecond = 16;
  ServingFleet fleet(options);
  fleet.run(kCalm);
  fleet.countAnew();
  fleet.run(kTrouble);
  const std::size_t least = fleet.leastNeverServed(kSpan);
  CHECK_TRUE(least > 0);
  CHECK_TRUE(least <= fleet.neverServed(kSpan).size());
}

/// A store of 1.5 loads a second keeps callers waiting; one of 12 does not.
TEST(ServingFleetTest, whatRefusedCallersWereToldIsComparedWithTheLoads) {
  options.models = 54;
  options.requestsPerSecond = 16;
  options.popularShare = 0.3;
  for (const double loadsPerSecond : {1.5, 12.0}) {
    options.storeLoadsPerSecond = loadsPerSecond;
    ServingFleet fleet(options);
    fleet.run(kCalm);
    fleet.countAnew();
    fleet.run(kTrouble);
    CHECK_EQUAL(loadsPerSecond < 2, !fleet.forecasts().errors.empty());
    CHECK_TRUE(fleet.forecasts().inPatience <= fleet.forecasts().errors.size());
    const StoreAccount& account = fleet.storeAccount();
    CHECK_TRUE(account.whileOthersNeededIt <= account.onDiskElsewhere);
    CHECK_TRUE(account.onDiskElsewhere <= account.loads);
  }
}

TEST_GROUP(ServingCampaignTest){};

TEST(ServingCampaignTest, besideWorkersThatFailInOverlappingEpisodesEachModelIsServed) {
  constexpr std::uint64_t kCampaignSeeds = 12;
  for (std::uint64_t seed = 1; seed <= kCampaignSeeds; ++seed) {
    const ServingCampaignResult result = runServingCampaign(seed);
    CHECK_TEXT(result.passed(), result.description.c_str());
  }
}

TEST(ServingCampaignTest, aSeedGivesTheSameRunEachTime) {
  STRCMP_EQUAL(runServingCampaign(2).description.c_str(),
               runServingCampaign(2).description.c_str());
}
