/// Requests that share one part of their prompts, under which each worker crashes, and of which no
/// two are alike; and sound requests that share their other parts.

#include "simulator/part_campaign.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::simulator;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kSeeds = 6;
constexpr base::Duration kCalm = 12s;
constexpr base::Duration kLasts = 20s;
constexpr base::Duration kLongestQueueTime = 320ms;

}  // namespace

TEST_GROUP(CrashingPartTest) {
  ServingFleetOptions options;
  CrashingPartOptions part;

  void setup() override {
    options.promptParts = true;
    options.workers = 9;
    options.worker.crashQueueTime = kLongestQueueTime;
    part.lasts = kLasts;
  }
  void checkIsStopped() {
    for (options.seed = 1; options.seed <= kSeeds; ++options.seed) {
      ServingFleet fleet(options);
      fleet.run(kCalm);
      fleet.beginDisruption();
      fleet.addCrashingPart(part);
      fleet.run(part.soundFor + part.lasts);
      const PartAccount account = fleet.partAccounts().front();
      CHECK_TEXT(account.crashes() >= 3, account.description().c_str());
      CHECK_FALSE_TEXT(account.keepsReachingWorkers(), account.description().c_str());
      CHECK_FALSE_TEXT(account.keepsSoundOnesOut(), account.description().c_str());
    }
  }
};

// Guards against requests that crash workers by a part of their prompts and never come twice: each
// of them was cut once or twice, so none was refused.
TEST(CrashingPartTest, requestsWithAPartThatCrashesWorkersStopReachingThem) { checkIsStopped(); }

TEST(CrashingPartTest, theyStopIfTheHeadOfAnAnswerComesBeforeTheCrash) {
  options.crashingShowsHead = true;
  checkIsStopped();
}

// Guards against a part that is held sound as soon as an event of any answer has come.
TEST(CrashingPartTest, theyStopIfEventsOfAnAnswerComeBeforeTheCrash) {
  options.worker.crashEvents = 2;
  checkIsStopped();
}

TEST(CrashingPartTest, theyStopIfTheCrashComesSomeTimeAfterTheFirstEvent) {
  options.worker.crashEvents = 1;
  options.worker.crashTime = 300ms;
  checkIsStopped();
}

TEST(CrashingPartTest, theyStopIfTheFirstPartIsTheOneThatCrashes) {
  part.place = 0;
  checkIsStopped();
}

// A part that was answered is found once it crashes workers, as after a change of their software.
TEST(CrashingPartTest, theyStopIfThePartWasSoundBefore) {
  part.soundFor = 5s;
  checkIsStopped();
}

TEST(CrashingPartTest, besideOtherFaultsTheyStopAndSoundOnesGoOn) {
  constexpr std::uint64_t kCampaignSeeds = 10;
  for (std::uint64_t seed = 1; seed <= kCampaignSeeds; ++seed) {
    const PartCampaignResult result = runPartCampaign(seed);
    CHECK_TEXT(result.passed(), result.description.c_str());
  }
}

TEST(CrashingPartTest, besideOtherFaultsTheyStopHoweverFarTheAnswerGoes) {
  constexpr std::uint64_t kCampaignSeeds = 10;
  for (std::uint64_t seed = 1; seed <= kCampaignSeeds; ++seed) {
    const PartCampaignResult result = runPartCampaign(seed, CrashMoment::whileAnswering);
    CHECK_TEXT(result.passed(), result.description.c_str());
  }
}
