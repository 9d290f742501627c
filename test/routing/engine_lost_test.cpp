/// Tests requests whose engine is gone while the cell still lists its replica.

#include <algorithm>
#include <functional>

#include "routing/router_harness.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::routing;
using namespace walnut::routing::testing;
using namespace std::chrono_literals;

namespace {

constexpr base::Duration kDeadline = 30s;
/// Time from the loss of the engine until the cell has another replica.
constexpr base::Duration kOutage = 12s;

struct Answer {
  base::ErrorCode code;
  engine::GenerateFailed::Started started;
};

/// Engine that fails all attempts in the same way, until another one has the model.
class LostEngine {
 public:
  explicit LostEngine(RouterHarness& harness) : harness_(harness) {}

  /// Advances the time and fails all attempts that are started meanwhile.
  void failAttemptsFor(base::Duration duration, const Answer& answer) {
    const base::TimePoint end = harness_.now() + duration;
    failNewAttempts(answer);
    while (harness_.now() < end) {
      harness_.advance(5ms);
      failNewAttempts(answer);
    }
  }
  std::size_t attempts() const { return next_; }

 private:
  void failNewAttempts(const Answer& answer) {
    for (; next_ < harness_.starts.size(); ++next_) {
      harness_.fail(harness_.starts[next_], answer.code, answer.started);
    }
  }

  RouterHarness& harness_;
  std::size_t next_ = 0;
};

void loadElsewhere(RouterHarness& harness) {
  harness.commitChange(protocol::EngineChanged{engineRecord(1)});
  harness.commitChange(protocol::ReplicaChanged{replicaRecord(2, "model", 1)});
}

}  // namespace

TEST_GROUP(EngineLostTest){};

TEST(EngineLostTest, aBrokenStreamWaitsForAnotherReplica) {
  RouterHarness harness;
  harness.request("stream", kDeadline);
  const StartAttempt first = harness.starts.front();
  harness.deliver(EngineEvent{
      engine::GenerateToken{first.generate.request, first.generate.attempt, 0, "token"}});
  harness.fail(first, base::ErrorCode::connectionLost, engine::GenerateFailed::Started::unknown);
  LostEngine lost(harness);
  harness.starts.clear();
  lost.failAttemptsFor(kOutage,
                       {base::ErrorCode::connectFailed, engine::GenerateFailed::Started::no});
  CHECK_EQUAL(0U, harness.refusals.size());
  const std::size_t before = harness.starts.size();
  loadElsewhere(harness);
  harness.advance(2s);
  CHECK_EQUAL(before + 1, harness.starts.size());
  CHECK(harness.starts.back().engine == engineRecord(1).id);
  CHECK_EQUAL(1U, harness.starts.back().generate.offset);
}

TEST(EngineLostTest, attemptsWithoutAReplicaAreNotCounted) {
  struct Case {
    const char* name;
    base::ErrorCode code;
    bool repeatable;
  };
  const Case cases[] = {
      {"connection refused", base::ErrorCode::connectFailed, true},
      {"connection refused, not repeatable", base::ErrorCode::connectFailed, false},
      {"restarted without the model", base::ErrorCode::modelNotLoaded, true},
  };
  for (const Case& test : cases) {
    RouterHarness harness;
    if (test.repeatable) {
      harness.request("waiting", kDeadline);
    } else {
      harness.requestNonRepeatable("waiting", kDeadline, 4);
    }
    LostEngine lost(harness);
    lost.failAttemptsFor(kOutage, {test.code, engine::GenerateFailed::Started::no});
    CHECK_EQUAL_TEXT(0U, harness.refusals.size(), test.name);
    const std::size_t before = harness.starts.size();
    loadElsewhere(harness);
    harness.advance(2s);
    CHECK_EQUAL_TEXT(before + 1, harness.starts.size(), test.name);
  }
}

TEST(EngineLostTest, lostEngineGetsFewAttemptsFromManyRequests) {
  RouterHarness harness;
  constexpr int kRequests = 40;
  for (int number = 0; number < kRequests; ++number) {
    harness.request("request-" + std::to_string(number), kDeadline);
  }
  LostEngine lost(harness);
  lost.failAttemptsFor(kOutage,
                       {base::ErrorCode::connectFailed, engine::GenerateFailed::Started::no});
  CHECK_EQUAL(0U, harness.refusals.size());
  // The limit is the sum of the attempts in progress when the engine was lost, those that took
  // slots before the breaker opened, and one trial each time the breaker allows it, at the earliest
  // after half of the configured time.
  const RouterOptions options;
  const auto trials = static_cast<std::size_t>(kOutage / (options.breakerOpenFor / 2));
  CHECK_TRUE(lost.attempts() <= options.maxRunningPerReplica + options.breakerFailures + trials);
}

TEST(EngineLostTest, attemptsThatMayHaveRunAreCounted) {
  RouterHarness harness;
  harness.request("breaking", kDeadline);
  LostEngine lost(harness);
  lost.failAttemptsFor(kOutage,
                       {base::ErrorCode::connectionLost, engine::GenerateFailed::Started::unknown});
  CHECK_EQUAL(RouterOptions{}.maxAttempts, lost.attempts());
  CHECK_EQUAL(1U, harness.refusals.size());
  CHECK(harness.refusals.front().error.code == base::ErrorCode::engineFailed);
}

TEST(EngineLostTest, requestIsRefusedAtItsDeadlineIfNoReplicaBecomesReady) {
  RouterHarness harness;
  harness.request("waiting", 5s);
  LostEngine lost(harness);
  lost.failAttemptsFor(6s, {base::ErrorCode::connectFailed, engine::GenerateFailed::Started::no});
  CHECK_EQUAL(1U, harness.refusals.size());
  CHECK(harness.refusals.front().error.code == base::ErrorCode::deadlineExceeded);
  CHECK(harness.refusals.front().executed == Executed::no);
  CHECK_TRUE(harness.refusals.front().retryable);
}
