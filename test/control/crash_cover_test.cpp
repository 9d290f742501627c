/// Which requests the likely explanations of crashes do not do without.

#include "control/crash_cover.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut::control;

TEST_GROUP(CrashCoverTest){
    static CrashCover::Crashes at(std::initializer_list<std::size_t> crashes){
        CrashCover::Crashes made;
for (const std::size_t crash : crashes) {
  made.set(crash);
}
return made;
}
}
;

TEST(CrashCoverTest, whatWasAloneAtACrashIsNeeded) {
  CrashCover cover({at({0, 1, 2}), at({0, 1})});
  CHECK_TRUE(cover.isNecessary(at({0, 1, 2})));
  CHECK_FALSE(cover.isNecessary(at({0, 1})));
}

TEST(CrashCoverTest, oneCauseIsLikelierThanTwo) {
  CrashCover cover({at({0, 1, 2}), at({0, 1}), at({1, 2})});
  CHECK_TRUE(cover.isNecessary(at({0, 1, 2})));
  CHECK_FALSE(cover.isNecessary(at({1, 2})));
}

TEST(CrashCoverTest, whatWasBesideSeveralCausesIsNotNeededThoughItHasTheMostCrashes) {
  CrashCover cover({at({0, 1, 2, 3}), at({0, 4}), at({1, 2, 5}), at({3, 6})});
  CHECK_FALSE(cover.isNecessary(at({0, 1, 2, 3})));
  CHECK_TRUE(cover.isNecessary(at({0, 4})));
  CHECK_TRUE(cover.isNecessary(at({1, 2, 5})));
}

TEST(CrashCoverTest, ofTwoExplanationsWithAsManyCausesNeitherIsNeeded) {
  CrashCover cover({at({0, 1, 2}), at({0, 1, 3}), at({2, 3}), at({0, 2, 3})});
  CHECK_FALSE(cover.isNecessary(at({0, 1, 2})));
  CHECK_FALSE(cover.isNecessary(at({0, 2, 3})));
}

TEST(CrashCoverTest, ofTwoWithTheSameCrashesNeitherIsNeeded) {
  CrashCover cover({at({0, 1, 2}), at({0, 1, 2})});
  CHECK_FALSE(cover.isNecessary(at({0, 1, 2})));
}

TEST(CrashCoverTest, crashesElsewhereDoNotMatter) {
  CrashCover cover({at({0, 1, 2}), at({0, 1}), at({1, 2}), at({10, 11}), at({11, 12})});
  CHECK_TRUE(cover.isNecessary(at({0, 1, 2})));
}
