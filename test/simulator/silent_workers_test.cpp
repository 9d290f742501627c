/// Guards against streams that end without a whole answer since their sound worker was silent for a
/// while.

#include "simulator/silence_campaign.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::simulator;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kSeeds = 6;
constexpr base::Duration kCalm = 8s;
constexpr base::Duration kTrouble = 25s;
constexpr int kDocumentChanges = 25;
constexpr base::Duration kSilence = 1200ms;

}  // namespace

TEST_GROUP(SilentWorkersTest) {
  ServingFleetOptions options;

  void setup() override {
    options.gateways = 6;
    options.workers = 12;
    options.models = 12;
    options.requestsPerSecond = 16;
    options.retryRatio = 0.05;
    options.retrySlack = 40;
    options.targetGap = 220ms;  // With it silent workers are left after less than a second.
    options.worker.events = 10;
    options.worker.strayErrors = 0;
  }
  /// A third of the workers is silent three times, beside changes of the document.
  void addSilences(ServingFleet & fleet) const {
    for (const base::Duration at : {3s, 10s, 17s}) {
      fleet.silenceWorkers(at, kSilence, options.workers / 3);
    }
    for (int change = 0; change < kDocumentChanges; ++change) {
      fleet.later(kTrouble * change / kDocumentChanges,
                  [](ServingFleet& running) { running.changeDocument(); });
    }
  }
  void checkNoStreamIsEnded(const std::function<void(ServingFleet&)>& addFaults) {
    std::uint64_t moved = 0;
    for (options.seed = 1; options.seed <= kSeeds; ++options.seed) {
      ServingFleet fleet(options);
      fleet.traceCallers();
      fleet.run(kCalm);
      fleet.countAnew();
      addSilences(fleet);
      addFaults(fleet);
      fleet.run(kTrouble + kEndings);
      const std::string text = describe(fleet.streams().counts()) + fleet.describeEnded();
      moved += fleet.streams().counts().movedFromSilent;
      CHECK_EQUAL_TEXT(0, fleet.streams().counts().endedByGateway, text.c_str());
      CHECK_EQUAL(0, fleet.unanswered());
      STRCMP_EQUAL("", fleet.streamError().c_str());
    }
    CHECK_TRUE(moved > kSeeds);
  }
};

TEST(SilentWorkersTest, aStreamIsNotEndedBesideSilentWorkers) {
  checkNoStreamIsEnded([](ServingFleet&) {});
}

/// A stream that left its silent worker was ended if the next worker failed it.
TEST(SilentWorkersTest, aStreamIsNotEndedBesideWorkersThatFailSomeRequests) {
  options.worker.strayErrors = 0.05;
  checkNoStreamIsEnded([](ServingFleet&) {});
}

/// A stream that left its silent worker was ended if no retry was left to go on with.
TEST(SilentWorkersTest, aStreamIsNotEndedBesideWorkersThatTakeNoRequests) {
  checkNoStreamIsEnded([this](ServingFleet& fleet) {
    fleet.failWorkers(2s, kTrouble, options.workers / 4, WorkerFault::full);
  });
}

TEST(SilentWorkersTest, aStreamIsNotEndedByASmallRetryBudget) {
  options.worker.strayErrors = 0.05;
  options.retryRatio = 0.02;
  options.retrySlack = 12;
  checkNoStreamIsEnded([](ServingFleet&) {});
}

TEST_GROUP(SilenceCampaignTest){};

TEST(SilenceCampaignTest, noStreamIsEndedBesideOverlappingFaults) {
  constexpr std::uint64_t kCampaignSeeds = 12;
  for (std::uint64_t seed = 1; seed <= kCampaignSeeds; ++seed) {
    const SilenceCampaignResult result = runSilenceCampaign(seed);
    CHECK_TEXT(result.passed(), result.description.c_str());
  }
}
