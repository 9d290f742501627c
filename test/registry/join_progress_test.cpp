/// Tests of JoinProgress.

#include "registry/join_progress.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut::registry;

TEST_GROUP(JoinProgressTest) { JoinProgress progress; };

TEST(JoinProgressTest, aServerThatIsAMemberAtItsStartTakesNoSteps) {
  progress.reached(JoinStep::leaderHeard);
  progress.reached(JoinStep::voter);
  CHECK_TRUE(progress.takeSteps().empty());
}

TEST(JoinProgressTest, eachStepIsToldOnceAndInOrder) {
  for (const JoinStep step : {JoinStep::requested, JoinStep::requested, JoinStep::admitted,
                              JoinStep::leaderHeard, JoinStep::voter, JoinStep::incoming}) {
    progress.reached(step);
  }
  const std::vector<JoinStep> expected = {JoinStep::requested, JoinStep::admitted, JoinStep::voter};
  CHECK_TRUE(progress.takeSteps() == expected);
  CHECK_TRUE(progress.takeSteps().empty());
}
