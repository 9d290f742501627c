/// Tests that the age of a view counts from when the leader knew what it says.

#include "gateway/gateway_harness.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::gateway;
using namespace walnut::gateway::testing;
using namespace std::chrono_literals;

TEST_GROUP(ViewMarksTest) {
  GatewayHarness harness;

  /// Follows a leader that repeats marks, with two workers of one software version.
  void setup() override {
    harness.featureLevel = registry::feature::kViewMarks;
    harness.follow();
    harness.declare(0);
    registry::ViewUpdate update;
    for (std::size_t number = 1; number <= 2; ++number) {
      update.changed.push_back(GatewayHarness::worker(number));
      update.changed.back().record.softwareVersion = "v1";
    }
    update.mark = lastMark();
    harness.gateway.viewReceived(update);
  }
  /// @return the last mark that the gateway sent; 0: none.
  std::uint64_t lastMark() {
    return harness.link.marks.empty() ? 0 : harness.link.marks.back().mark;
  }
  void receiveMark(std::uint64_t mark) {
    registry::ViewUpdate update;
    update.mark = mark;
    harness.gateway.viewReceived(update);
  }
  std::size_t sentCount() { return harness.launcher.sent.size(); }
  std::unique_ptr<Caller> beginStream() {
    auto caller = harness.request("stream", "s1");
    harness.head(*harness.launcher.sent.back(), 200, "s1", true);
    harness.launcher.sent.back()->callbacks->onResponseBody("id: 1\n\n");
    return caller;
  }
  void loseStream() {
    harness.launcher.hasLostConnections = true;
    harness.lose(*harness.launcher.sent.back());
  }
};

TEST(ViewMarksTest, marksAreSentAgainAndAgain) {
  const std::uint64_t first = lastMark();
  CHECK_TRUE(first != 0);
  harness.scheduler.advance(450ms);
  CHECK_EQUAL(first + 2, lastMark());
}

/// Guards against streams of two software versions: a gateway that stood still reads views that
/// were sent long before, and a worker may have restarted with another version since.
TEST(ViewMarksTest, aViewThatWasReadLateIsNotCurrent) {
  const auto caller = beginStream();
  const std::uint64_t old = lastMark();
  harness.scheduler.advance(600ms);
  receiveMark(old);
  loseStream();
  harness.scheduler.advance(150ms);
  CHECK_EQUAL_TEXT(1, sentCount(), "the version of the other worker is not certain");
  receiveMark(lastMark());
  harness.scheduler.advance(100ms);
  CHECK_EQUAL(2, sentCount());
}

/// A leader that lost its quorum repeats no marks.
TEST(ViewMarksTest, aViewWithoutAMarkIsNotCurrent) {
  const auto caller = beginStream();
  harness.scheduler.advance(600ms);
  receiveMark(0);
  loseStream();
  harness.scheduler.advance(100ms);
  CHECK_EQUAL(1, sentCount());
}

TEST(ViewMarksTest, aViewOfALeaderThatKnowsNoMarksIsCurrentWhenItComes) {
  GatewayHarness earlier;
  earlier.featureLevel = registry::feature::kViewMarks - 1;
  earlier.follow();
  earlier.declare(2);
  const auto caller = earlier.request("stream", "s1");
  earlier.head(*earlier.launcher.sent.back(), 200, "s1", true);
  earlier.launcher.sent.back()->callbacks->onResponseBody("id: 1\n\n");
  earlier.scheduler.advance(600ms);
  earlier.gateway.viewReceived({});
  earlier.launcher.hasLostConnections = true;
  earlier.lose(*earlier.launcher.sent.back());
  CHECK_EQUAL(2, earlier.launcher.sent.size());
}
