/// Guards against streams that hold events of two software versions of the workers, and against
/// taken-up streams that do not go on though their version is served.

#include <sstream>

#include "simulator/version_campaign.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::simulator;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kSeeds = 6;
constexpr base::Duration kCalm = 8s;
constexpr base::Duration kTrouble = 28s;
constexpr base::Duration kReleasePause = 400ms;

}  // namespace

TEST_GROUP(StreamVersionsTest) {
  ServingFleetOptions options;

  void setup() override {
    options.gateways = 6;
    options.workers = 12;
    options.models = 12;
    options.requestsPerSecond = 12;
    options.retries = 3;
    options.retrySlack = 50;
    options.targetGap = 220ms;  // With it silent workers are left after less than a second.
    options.callersTakeUp = true;
    options.worker.events = 12;
    options.worker.strayErrors = 0;
  }
  /// Runs two releases, each of half of the workers, beside the faults.
  std::unique_ptr<ServingFleet> run(const std::function<void(ServingFleet&)>& addFaults) {
    auto fleet = std::make_unique<ServingFleet>(options);
    fleet->run(kCalm);
    fleet->countAnew();
    fleet->releaseVersion(3s, kReleasePause, "v1.1");
    fleet->releaseVersion(14s, kReleasePause, "v1.2");
    addFaults(*fleet);
    fleet->run(kTrouble);
    return fleet;
  }
  void checkNoneIsMixed(const std::function<void(ServingFleet&)>& addFaults) {
    for (options.seed = 1; options.seed <= kSeeds; ++options.seed) {
      const auto fleet = run(addFaults);
      std::ostringstream text;
      text << "seed " << options.seed << ": " << fleet->versions().description();
      CHECK_EQUAL_TEXT(0, fleet->versions().mixedStreams(), text.str().c_str());
      STRCMP_EQUAL("", fleet->streamError().c_str());
    }
  }
  void checkTakenUp(const std::function<void(ServingFleet&)>& addFaults) {
    // With it gateways end most streams that break, and leave them to their callers.
    options.retryRatio = 0.02;
    options.retrySlack = 4;
    std::uint64_t seedsThatCount = 0;
    for (options.seed = 1; options.seed <= kSeeds; ++options.seed) {
      const VersionAccount account = run(addFaults)->versions();
      std::ostringstream text;
      text << "seed " << options.seed << ": " << account.description();
      CHECK_TEXT(!account.takesUpTooFew(), text.str().c_str());
      seedsThatCount += account.takeUps().sent >= VersionAccount::kLeastTakeUps ? 1 : 0;
    }
    CHECK_TRUE(seedsThatCount > kSeeds / 2);
  }
  /// Half of the gateways, at once.
  void killGateways(ServingFleet & fleet, base::Duration at) const {
    for (std::size_t gateway = 0; gateway < options.gateways / 2; ++gateway) {
      fleet.later(at, [gateway](ServingFleet& running) { running.restartGateway(gateway); });
    }
  }
  void addCrashes(ServingFleet & fleet) const {
    fleet.crashWorkers(5s, options.workers / 3);
    fleet.crashWorkers(9s, options.workers / 3);
  }
  static void addResets(ServingFleet & fleet) {
    fleet.resetConnections(12s, 0.7);
    fleet.resetConnections(22s, 0.7);
  }
};

TEST(StreamVersionsTest, besideReleasesAloneAStreamKeepsToItsVersion) {
  checkNoneIsMixed([](ServingFleet&) {});
}

TEST(StreamVersionsTest, besideCrashesAStreamKeepsToItsVersion) {
  checkNoneIsMixed([this](ServingFleet& fleet) { addCrashes(fleet); });
}

TEST(StreamVersionsTest, besideResetConnectionsAStreamKeepsToItsVersion) {
  checkNoneIsMixed([](ServingFleet& fleet) { addResets(fleet); });
}

TEST(StreamVersionsTest, besideKilledGatewaysAStreamKeepsToItsVersion) {
  checkNoneIsMixed([this](ServingFleet& fleet) { killGateways(fleet, 16s); });
}

/// The gateway does not learn of the release, nor others of the streams that it began.
TEST(StreamVersionsTest, atAGatewayCutOffThroughAReleaseAStreamKeepsToItsVersion) {
  checkNoneIsMixed([](ServingFleet& fleet) {
    addResets(fleet);
    fleet.later(2s, [](ServingFleet& running) { running.cutGateway(0, 11s); });
    fleet.later(13s, [](ServingFleet& running) { running.cutGateway(1, 10s); });
  });
}

TEST(StreamVersionsTest, besideChangesOfTheLeaderAStreamKeepsToItsVersion) {
  checkNoneIsMixed([](ServingFleet& fleet) {
    addResets(fleet);
    for (const base::Duration at : {4s, 15s}) {
      fleet.later(at, [](ServingFleet& running) { running.changeLeader(1500ms); });
    }
  });
}

TEST(StreamVersionsTest, aSilentWorkerIsNotLeftForOneOfAnotherVersion) {
  checkNoneIsMixed([this](ServingFleet& fleet) {
    for (const base::Duration at : {6s, 12s, 20s}) {
      fleet.silenceWorkers(at, 1300ms, options.workers / 3);
    }
  });
}

TEST(StreamVersionsTest, besideCrashesAndResetsTakenUpStreamsGoOn) {
  checkTakenUp([this](ServingFleet& fleet) {
    addCrashes(fleet);
    addResets(fleet);
  });
}

TEST(StreamVersionsTest, besideKilledGatewaysTakenUpStreamsGoOn) {
  checkTakenUp([this](ServingFleet& fleet) {
    killGateways(fleet, 8s);
    killGateways(fleet, 16s);
  });
}

TEST_GROUP(VersionCampaignTest){};

TEST(VersionCampaignTest, streamsKeepToTheirVersionsBesideOverlappingFaults) {
  constexpr std::uint64_t kCampaignSeeds = 12;
  for (std::uint64_t seed = 1; seed <= kCampaignSeeds; ++seed) {
    const VersionCampaignResult result = runVersionCampaign(seed);
    CHECK_TEXT(result.passed(), result.description.c_str());
  }
}

// Guards against a gateway that is cut off from the leader and sends a stream on to a worker which
// has restarted in place with another version.
TEST(StreamVersionsTest, workersThatRestartInPlaceWhileGatewaysAreKilledMixNothing) {
  for (const std::uint64_t seed : {1, 2, 101, 168, 440}) {
    const VersionCampaignResult result = runRejoinedCampaign(seed);
    CHECK_EQUAL_TEXT(0, result.account.mixedStreams(), result.description.c_str());
    CHECK_TRUE_TEXT(result.streamError.empty(), result.description.c_str());
  }
}
