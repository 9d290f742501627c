/// Requests that may run once, at workers that send some of their answers once more, late.

#include "simulator/late_answer_campaign.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::simulator;

TEST_GROUP(LateAnswerTest){};

// Guards against a rejection of an earlier attempt that is taken for the answer to the next one, so
// that a request runs twice or is refused though it has run.
TEST(LateAnswerTest, requestsThatMayRunOnceDoNotRunTwice) {
  constexpr std::uint64_t kSeeds = 12;
  std::uint64_t repeated = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const LateAnswerCampaignResult result = runLateAnswerCampaign(seed);
    CHECK_TEXT(result.passed(), result.description.c_str());
    repeated += result.account.repeatedAnswers();
  }
  CHECK_TRUE(repeated > 0);
}
