/// @file
/// Runs the whole router against a fake cell and fake engines with random faults, over many seeds.

#include "routing/scenario_world.h"

using namespace walnut;
using namespace walnut::routing::testing;

TEST_GROUP(Scenario){};

TEST(Scenario, everyRequestGetsOneCorrectAnswerUnderFaults) {
  constexpr std::uint64_t kSeeds = 200;
  std::uint64_t answered = 0;
  std::uint64_t moved = 0;
  std::uint64_t resumed = 0;
  std::map<base::ErrorCode, std::uint64_t> refusals;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    ScenarioWorld world(seed);
    world.run();
    answered += world.oracle().answered;
    moved += world.oracle().moved;
    resumed += world.oracle().resumed;
    for (const auto& [code, count] : world.oracle().refusals) {
      refusals[code] += count;
    }
  }
  // Ensures that the faults are not so frequent that no request succeeds, nor so rare that none
  // occurs.
  CHECK_TRUE(answered > 2000);
  CHECK_TRUE(moved > 30);
  CHECK_TRUE(resumed > 100);
  CHECK_TRUE(refusals[base::ErrorCode::configurationUnconfirmed] > 0);
  CHECK_TRUE(refusals[base::ErrorCode::streamBroken] > 0);
  CHECK_TRUE(refusals[base::ErrorCode::duplicateRequest] > 0);
  CHECK_TRUE(refusals[base::ErrorCode::deadlineUnreachable] > 0);
  CHECK_TRUE(refusals[base::ErrorCode::queueFull] > 0);
}
