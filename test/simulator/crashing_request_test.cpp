/// Incident: a class of requests was not served for half a minute, and one worker after the other
/// ended (11 and 18 under two requests).
/// How: a request crashed each worker that began to run it. Its caller got an error and sent it
/// again, under a new id, to any gateway.
/// Cause: all that bounds repeats is bound to one id, or to one gateway. What a request did to the
/// workers before was known to nobody, and was charged to the workers.
/// Proof: the same request, found by its caller, path and body, in the logs of all gateways at each
/// crash; and the runs below, in which every send ended a worker.

#include "simulator/crash_campaign.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::simulator;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kSeeds = 6;
constexpr std::uint64_t kMostLateSends = 3;
constexpr base::Duration kCalm = 8s;
constexpr base::Duration kComesAgain = 30s;

}  // namespace

TEST_GROUP(CrashingRequestTest) {
  ServingFleetOptions options;

  /// Runs with requests that crash their workers, and checks that they stop reaching workers.
  void checkIsStopped(std::size_t requests, bool repeatable) {
    for (options.seed = 1; options.seed <= kSeeds; ++options.seed) {
      ServingFleet fleet(options);
      fleet.run(kCalm);
      for (std::size_t number = 0; number < requests; ++number) {
        fleet.addCrashingRequest(number * 500ms, kComesAgain, repeatable);
      }
      fleet.run(kComesAgain);
      const CrashAccount account = fleet.crashAccount();
      // The fault was there; one crash may be of two requests.
      CHECK(account.crashes >= 3);
      CHECK(account.mostLateSends <= kMostLateSends);
      CHECK_EQUAL(0, account.innocentsRefused);
    }
  }
};

TEST(CrashingRequestTest, aRequestThatCrashesItsWorkersStopsReachingThem) {
  checkIsStopped(1, false);
}

// Guards against a request that is held innocent as soon as an event of its answer has come.
TEST(CrashingRequestTest, aRequestThatCrashesItsWorkersAfterAnEventIsStopped) {
  options.worker.crashEvents = 1;
  checkIsStopped(1, true);
  checkIsStopped(2, false);
}

TEST(CrashingRequestTest, besideRequestsThatQueueTheyAreStoppedHoweverFarTheAnswerGoes) {
  constexpr std::uint64_t kCampaignSeeds = 8;
  for (std::uint64_t seed = 1; seed <= kCampaignSeeds; ++seed) {
    const CrashCampaignResult result =
        runCrashCampaign(seed, CrashLoad::busy, CrashMoment::whileAnswering);
    CHECK_TEXT(result.passed(), result.description.c_str());
  }
}

TEST(CrashingRequestTest, severalRequestsThatCrashTheirWorkersAreStopped) {
  checkIsStopped(3, false);
}

TEST(CrashingRequestTest, requestsThatMayBeRepeatedAreStopped) { checkIsStopped(2, true); }

TEST(CrashingRequestTest, besideChangesOfLeaderAndGatewaysThatRestartTheyAreStopped) {
  constexpr std::uint64_t kCampaignSeeds = 12;
  for (std::uint64_t seed = 1; seed <= kCampaignSeeds; ++seed) {
    const CrashCampaignResult result = runCrashCampaign(seed);
    CHECK_TEXT(result.passed(), result.description.c_str());
  }
}

TEST(CrashingRequestTest, besideRequestsThatQueueAtTheirWorkersTheyAreStopped) {
  constexpr std::uint64_t kCampaignSeeds = 8;
  for (std::uint64_t seed = 1; seed <= kCampaignSeeds; ++seed) {
    const CrashCampaignResult result = runCrashCampaign(seed, CrashLoad::busy);
    CHECK_TEXT(result.passed(), result.description.c_str());
  }
}

/// Four requests that crash a worker each second, and callers that try five times: a request that
/// was cut at three workers without a sign of an answer may be none of them.
TEST(CrashingRequestTest, besideManySuchRequestsNoOtherIsRefused) {
  for (const std::uint64_t seed : {11, 27, 88, 100, 153}) {
    const CrashCampaignResult result = runCrashCampaign(seed, CrashLoad::busy);
    CHECK_TEXT(result.passed(), result.description.c_str());
  }
}

TEST(CrashingRequestTest, aSeedGivesTheSameRunEachTime) {
  STRCMP_EQUAL(runCrashCampaign(3).description.c_str(), runCrashCampaign(3).description.c_str());
}
