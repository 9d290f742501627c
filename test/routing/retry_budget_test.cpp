/// Tests the retry budget through the whole router.

#include "routing/router_harness.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::routing;
using namespace walnut::routing::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kEngines = 3;
constexpr std::size_t kRequests = 150;
constexpr std::size_t kFloor = 10;  ///< Retries allowed in a window without any first attempt.
constexpr std::size_t kRetriesInWindow = kFloor + kRequests / 5;
constexpr base::Duration kWindow = 10s;

RouterOptions slotsForAll() {
  RouterOptions options;
  options.maxRunningPerReplica = kRequests;
  options.startTimeout = 10min;  // The streams of the other engines get no events in this test.
  return options;
}

/// Three engines with the model, each with open streams.
struct OpenStreams {
  OpenStreams() : router(slotsForAll()) {
    for (std::size_t engine = 1; engine < kEngines; ++engine) {
      router.commitChange(protocol::EngineChanged{engineRecord(engine)});
      router.commitChange(protocol::ReplicaChanged{replicaRecord(engine + 1, "model", engine)});
    }
    for (std::size_t number = 0; number < kRequests; ++number) {
      router.request("stream-" + std::to_string(number), 10min);
    }
    CHECK_EQUAL(kRequests, router.starts.size());
  }

  /// @return the number of streams that break.
  std::size_t failFirstEngine(base::ErrorCode code, engine::GenerateFailed::Started started) {
    const std::vector<StartAttempt> all = std::exchange(router.starts, {});
    std::size_t broken = 0;
    for (const StartAttempt& start : all) {
      if (start.engine == engineRecord(0).id) {
        router.fail(start, code, started);
        ++broken;
      }
    }
    return broken;
  }

  RouterHarness router;
};

}  // namespace

TEST_GROUP(RetryBudgetTest){};

TEST(RetryBudgetTest, streamsBeyondTheBudgetAreResumedLater) {
  OpenStreams open;
  const std::size_t broken = open.failFirstEngine(base::ErrorCode::connectionLost,
                                                  engine::GenerateFailed::Started::unknown);
  CHECK_TRUE(broken > kRetriesInWindow);
  open.router.advance(kWindow / 2);
  CHECK_EQUAL(kRetriesInWindow, open.router.starts.size());
  constexpr std::size_t kArrivals = 15;  // One per second.
  for (std::size_t number = 0; number < kArrivals; ++number) {
    open.router.request("later-" + std::to_string(number), 10min);
    open.router.advance(1s);
  }
  CHECK_EQUAL(broken + kArrivals, open.router.starts.size());
  CHECK_EQUAL(0U, open.router.refusals.size());
}

TEST(RetryBudgetTest, overloadIsRefusedAtOnceBeyondTheBudget) {
  OpenStreams open;
  const std::size_t refused =
      open.failFirstEngine(base::ErrorCode::engineOverloaded, engine::GenerateFailed::Started::no);
  CHECK_EQUAL(refused - kRetriesInWindow, open.router.refusals.size());
  CHECK(open.router.refusals.front().error.code == base::ErrorCode::noCapacity);
}

TEST(RetryBudgetTest, retryThatTheBudgetNeverAllowsEndsInARefusal) {
  OpenStreams open;
  const std::size_t broken = open.failFirstEngine(base::ErrorCode::connectionLost,
                                                  engine::GenerateFailed::Started::unknown);
  std::size_t next = 0;
  constexpr std::size_t kWindows = 6;
  const base::TimePoint end = open.router.now() + kWindows * kWindow;
  while (open.router.now() < end) {
    open.router.advance(50ms);
    for (; next < open.router.starts.size(); ++next) {
      open.router.fail(open.router.starts[next], base::ErrorCode::connectionLost,
                       engine::GenerateFailed::Started::unknown);
    }
  }
  CHECK_TRUE(next <= kRetriesInWindow + kWindows * kFloor);
  CHECK_EQUAL(broken, open.router.refusals.size());
  CHECK(open.router.refusals.back().error.code == base::ErrorCode::engineFailed);
}
