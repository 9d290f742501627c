/// Tests the circuit breaker of an engine through the whole router. A trial that ended without an
/// outcome could leave the breaker half open for ever.

#include <functional>

#include "routing/router_harness.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::routing;
using namespace walnut::routing::testing;
using namespace std::chrono_literals;

namespace {

constexpr base::Duration kLongDeadline = 30s;

/// Fails attempts until the engine's breaker is open.
void openCircuitBreaker(RouterHarness& harness) {
  harness.request("failing-1", 1s);
  harness.request("failing-2", 1s);
  for (std::size_t next = 0; next < harness.starts.size(); ++next) {
    harness.fail(harness.starts[next], base::ErrorCode::connectFailed,
                 engine::GenerateFailed::Started::no);
    if (harness.refusals.size() < 2) {
      harness.advance(200ms);
    }
  }
  harness.starts.clear();
}

}  // namespace

TEST_GROUP(BreakerTest){};

TEST(BreakerTest, engineIsRetriedHoweverTheTrialEnded) {
  struct Case {
    const char* name;
    std::function<void(RouterHarness&)> endTrial;
  };
  const Case cases[] = {
      {"the deadline of its request", [](RouterHarness& harness) { harness.advance(2s); }},
      {"its caller disconnected",
       [](RouterHarness& harness) { harness.deliver(CallerDisconnected{{"trial"}}); }},
      {"the engine is overloaded",
       [](RouterHarness& harness) {
         harness.fail(harness.starts.back(), base::ErrorCode::engineOverloaded,
                      engine::GenerateFailed::Started::no);
       }},
      {"the engine fails",
       [](RouterHarness& harness) {
         harness.fail(harness.starts.back(), base::ErrorCode::connectionLost,
                      engine::GenerateFailed::Started::unknown);
       }},
  };
  for (const Case& test : cases) {
    RouterHarness harness;
    openCircuitBreaker(harness);
    harness.advance(3s);
    harness.request("trial", 1500ms);
    CHECK_EQUAL_TEXT(1U, harness.starts.size(), test.name);
    test.endTrial(harness);
    harness.advance(5s);
    const std::size_t before = harness.starts.size();
    harness.request("after", kLongDeadline);
    harness.advance(5s);
    CHECK_TRUE_TEXT(harness.starts.size() > before, test.name);
  }
}
