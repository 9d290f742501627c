#include "control/usage_tracker.h"

#include <CppUTest/TestHarness.h>

using namespace walnut;

namespace {

base::TimePoint atSecond(double value) {
  return base::TimePoint(base::Duration(static_cast<std::int64_t>(value * 1e6)));
}

}  // namespace

TEST_GROUP(IdleGaps){};

TEST(IdleGaps, AreRecordedBetweenUsesOfATargetOrItsAdapters) {
  control::UsageTracker usage(atSecond(0));
  usage.recordUse(atSecond(100), {"m", ""});
  POINTERS_EQUAL(nullptr, usage.gapsOf({"m", ""}));  // No earlier use is known.
  usage.recordUse(atSecond(160), {"m", "a"});
  usage.recordUse(atSecond(160), {"m", ""});
  usage.recordUse(atSecond(150), {"m", ""});  // A late report of an earlier use.
  DOUBLES_EQUAL(1, usage.gapsOf({"m", ""})->total(), 0);
  POINTERS_EQUAL(nullptr, usage.gapsOf({"m", "a"}));
  DOUBLES_EQUAL(1, usage.allGaps().total(), 0);
}

TEST(IdleGaps, AreRemovedWithADeletedModelOrAdapter) {
  control::UsageTracker usage(atSecond(0));
  for (const double at : {100.0, 200.0}) {
    usage.recordUse(atSecond(at), {"m", "a"});
    usage.recordUse(atSecond(at), {"n", ""});
  }
  usage.forgetGaps({resource::Kind::adapter, "a"});
  POINTERS_EQUAL(nullptr, usage.gapsOf({"m", "a"}));
  CHECK_TRUE(usage.gapsOf({"m", ""}) != nullptr);
  usage.forgetGaps({resource::Kind::model, "m"});
  POINTERS_EQUAL(nullptr, usage.gapsOf({"m", ""}));
  CHECK_TRUE(usage.gapsOf({"n", ""}) != nullptr);
}
