/// Tests which requests are part of every smallest explanation of a set of crashes.

#include "control/crash_cover.h"

// Must be included last: it redefines `new`.
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

TEST(CrashCoverTest, theOnlyCandidateForACrashIsNecessary) {
  CrashCover cover({at({0, 1, 2}), at({0, 1})});
  CHECK_TRUE(cover.isNecessary(at({0, 1, 2})));
  CHECK_FALSE(cover.isNecessary(at({0, 1})));
}

TEST(CrashCoverTest, anExplanationWithOneCauseIsPreferredToTwo) {
  CrashCover cover({at({0, 1, 2}), at({0, 1}), at({1, 2})});
  CHECK_TRUE(cover.isNecessary(at({0, 1, 2})));
  CHECK_FALSE(cover.isNecessary(at({1, 2})));
}

TEST(CrashCoverTest, aBystanderOfSeveralCausesIsNotNecessaryDespiteTheMostCrashes) {
  CrashCover cover({at({0, 1, 2, 3}), at({0, 4}), at({1, 2, 5}), at({3, 6})});
  CHECK_FALSE(cover.isNecessary(at({0, 1, 2, 3})));
  CHECK_TRUE(cover.isNecessary(at({0, 4})));
  CHECK_TRUE(cover.isNecessary(at({1, 2, 5})));
}

TEST(CrashCoverTest, noCandidateIsNecessaryBetweenExplanationsOfEqualSize) {
  CrashCover cover({at({0, 1, 2}), at({0, 1, 3}), at({2, 3}), at({0, 2, 3})});
  CHECK_FALSE(cover.isNecessary(at({0, 1, 2})));
  CHECK_FALSE(cover.isNecessary(at({0, 2, 3})));
}

TEST(CrashCoverTest, candidatesWithTheSameCrashesAreNotNecessary) {
  CrashCover cover({at({0, 1, 2}), at({0, 1, 2})});
  CHECK_FALSE(cover.isNecessary(at({0, 1, 2})));
}

TEST(CrashCoverTest, unrelatedCrashesDoNotMatter) {
  CrashCover cover({at({0, 1, 2}), at({0, 1}), at({1, 2}), at({10, 11}), at({11, 12})});
  CHECK_TRUE(cover.isNecessary(at({0, 1, 2})));
}
