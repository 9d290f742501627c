/// Tests that late models are announced to gateways on changes and periodically, but not too often.

#include "registry/late_model_announcer.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::registry;
using namespace std::chrono_literals;

TEST_GROUP(LateModelAnnouncerTest) {
  LateModelAnnouncer announcer;
  base::TimePoint now = base::TimePoint(100s);

  static LateModels late(base::Duration availableIn, const char* service = "svc") {
    return {{{service, "m", availableIn}}};
  }
};

TEST(LateModelAnnouncerTest, nothingIsAnnouncedWhileNoModelIsLate) {
  CHECK_FALSE(announcer.due({}, now));
  CHECK_FALSE(announcer.due({}, now + 60s));
}

TEST(LateModelAnnouncerTest, aTimeThatPassesAsExpectedIsNoChange) {
  CHECK_TRUE(announcer.due(late(18s), now));
  CHECK_FALSE(announcer.due(late(17s), now + 1s));
}

TEST(LateModelAnnouncerTest, aChangedExpectedTimeIsAnnounced) {
  CHECK_TRUE(announcer.due(late(18s), now));
  CHECK_TRUE(announcer.due(late(21s), now + 1s));
}

TEST(LateModelAnnouncerTest, theSameModelOfAnotherServiceIsAnother) {
  CHECK_TRUE(announcer.due(late(18s), now));
  CHECK_TRUE(announcer.due(late(17s, "other"), now + 1s));
}

TEST(LateModelAnnouncerTest, itIsAnnouncedAgainBeforeGatewaysDropIt) {
  CHECK_TRUE(announcer.due(late(18s), now));
  now += kLateModelsLifetime / 2;
  CHECK_TRUE(announcer.due(late(18s - kLateModelsLifetime / 2), now));
}

TEST(LateModelAnnouncerTest, theEndIsAnnouncedOnce) {
  CHECK_TRUE(announcer.due(late(18s), now));
  CHECK_TRUE(announcer.due({}, now + 1s));
  CHECK_FALSE(announcer.due({}, now + 10s));
}

TEST(LateModelAnnouncerTest, changesInQuickSuccessionWait) {
  CHECK_TRUE(announcer.due(late(18s), now));
  CHECK_FALSE(announcer.due(late(30s), now + 100ms));
  CHECK_TRUE(announcer.due(late(30s), now + 300ms));
}
