#include "control/engine_monitor.h"

#include <CppUTest/TestHarness.h>

#include "control/cell_fixture.h"

using namespace walnut;
using control::atSecond;
using control::EngineCall;
using control::EngineMonitor;

namespace {
constexpr consensus::Term kTerm = 5;
const base::EngineId kEngine{"a"};
const base::Endpoint kEndpoint{"127.0.0.1", 9000};
}  // namespace

TEST_GROUP(EngineMonitor) {
  control::ControllerOptions options;
  std::uint64_t nextCall = 1;
  std::vector<control::ControllerAction> actions;
  EngineMonitor monitor{options, kTerm, nextCall, actions};

  void setup() override { monitor.track(atSecond(1), kEngine, kEndpoint); }

  const EngineCall& lastCall() { return std::get<EngineCall>(actions.back()); }
  engine::FencingToken lastToken() {
    return std::visit([](const auto& body) { return body.token; }, lastCall().request);
  }
  std::optional<control::FinishedCall> finish(std::int64_t second, engine::CallResult result) {
    return monitor.callFinished(atSecond(second), {lastCall().call, std::move(result)});
  }
  void report(std::int64_t second) {
    monitor.tick(atSecond(second), true);
    finish(second, engine::CallResult(engine::Report{}));
  }
};

TEST(EngineMonitor, pollsOnlyUnderAValidLease) {
  monitor.tick(atSecond(1), false);
  CHECK_TRUE(actions.empty());
  CHECK_TRUE(monitor.nextWakeup() == base::kNever);
  monitor.tick(atSecond(1), true);
  CHECK_EQUAL(1, actions.size());
  CHECK_EQUAL(kTerm, lastToken().term);
}

TEST(EngineMonitor, ordersOnlyAfterAReportOfThisTerm) {
  CHECK_FALSE(monitor.canSendOrder(kEngine));
  monitor.tick(atSecond(1), true);
  CHECK_FALSE(monitor.canSendOrder(kEngine));
  finish(1, engine::CallResult(engine::Report{}));
  CHECK_TRUE(monitor.canSendOrder(kEngine));
}

TEST(EngineMonitor, oneCallAtATimeUnderGrowingTokens) {
  report(1);
  const engine::FencingToken polled = lastToken();
  const engine::FencingToken ordered = monitor.sendOrder(atSecond(2), kEngine, engine::Order{});
  CHECK_TRUE(ordered > polled);
  CHECK_FALSE(monitor.canSendOrder(kEngine));
  monitor.tick(atSecond(9), true);
  CHECK_EQUAL(2, actions.size());
  finish(9, engine::CallResult(base::Error{base::ErrorCode::timedOut, "", ""}));
  monitor.tick(atSecond(10), true);
  CHECK_TRUE(lastToken() > ordered);
}

TEST(EngineMonitor, noOrderAfterAStaleToken) {
  report(1);
  monitor.sendOrder(atSecond(2), kEngine, engine::Order{});
  finish(2, engine::CallResult(base::Error{base::ErrorCode::staleOrder, "", ""}));
  CHECK_FALSE(monitor.canSendOrder(kEngine));
  report(3);
  CHECK_FALSE(monitor.canSendOrder(kEngine));
}

TEST(EngineMonitor, ignoresTheAnswerOfAPreviousEndpoint) {
  monitor.tick(atSecond(1), true);
  const EngineCall previous = lastCall();
  monitor.track(atSecond(2), kEngine, {"127.0.0.1", 9001});
  CHECK_FALSE(
      monitor.callFinished(atSecond(2), {previous.call, engine::CallResult(engine::Report{})})
          .has_value());
  CHECK_TRUE(monitor.report(kEngine) == nullptr);
}

TEST(EngineMonitor, pollsABusyEngineMoreOften) {
  monitor.tick(atSecond(1), true);
  engine::Report holding;
  holding.held.resize(1);
  finish(1, engine::CallResult(holding));
  CHECK_TRUE(monitor.nextWakeup() == atSecond(1) + options.reportInterval);
  monitor.setBusy(atSecond(1), kEngine, true);
  CHECK_TRUE(monitor.nextWakeup() < atSecond(1) + options.reportInterval);
}

TEST(EngineMonitor, noOrderToAnotherEndpointBeforeItsReport) {
  report(1);
  monitor.track(atSecond(2), kEngine, {"127.0.0.1", 9001});
  CHECK_FALSE(monitor.canSendOrder(kEngine));
}

TEST(EngineMonitor, pollsAnEmptyEngineLessOften) {
  report(1);
  CHECK_TRUE(monitor.nextWakeup() > atSecond(1) + options.reportInterval);
}

TEST(EngineMonitor, anEngineIsResponsiveForAWhile) {
  CHECK_FALSE(monitor.isResponsive(atSecond(1), kEngine));
  report(1);
  CHECK_TRUE(monitor.isResponsive(atSecond(3), kEngine));
  CHECK_FALSE(monitor.isResponsive(atSecond(4), kEngine));
}

TEST(EngineMonitor, returnsTheNearestCacheTier) {
  monitor.tick(atSecond(1), true);
  engine::Report cached;
  cached.cached = {{"w", engine::CacheTier::localDisk}, {"w", engine::CacheTier::hostMemory}};
  finish(1, engine::CallResult(cached));
  CHECK_TRUE(monitor.nearestCacheTier(kEngine, "w") == engine::CacheTier::hostMemory);
  CHECK_FALSE(monitor.nearestCacheTier(kEngine, "other").has_value());
}
