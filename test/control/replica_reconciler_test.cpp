#include "control/replica_reconciler.h"

#include <CppUTest/TestHarness.h>

#include "control/cell_fixture.h"

using namespace walnut;
using control::atSecond;
using control::CommandBody;
using engine::HeldState;

namespace {
constexpr consensus::Term kTerm = 5;
const base::EngineId kEngine{"a"};
const resource::Servable kModel{"m", "m-v1", ""};
const resource::Servable kOther{"x", "x-v1", ""};
}  // namespace

/// Fixture with the leader's view of one engine whose reports the test sets step by step.
TEST_GROUP(ReplicaReconciler) {
  control::TestCell cell;
  std::uint64_t nextCall = 1;
  std::vector<control::ControllerAction> actions;
  control::ControllerOptions options;
  control::LedgerIndex ledger;
  control::EngineMonitor monitor{options, kTerm, nextCall, actions};
  control::ReplicaReconciler reconciler{options, cell.state, ledger, monitor};
  engine::Report report;
  std::int64_t second = 10;

  void setup() override {
    cell.put(control::declare(resource::Kind::model, "m", control::modelSpec("")));
    cell.put(control::declare(resource::Kind::modelVersion, "m-v1", control::versionSpec("m")));
    cell.put(control::declare(resource::Kind::model, "m", control::modelSpec("m-v1")));
    cell.apply(control::RegisterEngine{control::engineOf("a")});
    report.incarnation.value = control::kFirstIncarnation;
    monitor.track(atSecond(second), kEngine, {"127.0.0.1", 9000});
  }

  base::ReplicaId place() {
    const base::ReplicaId id = cell.place(control::placementOf(kModel, "a"));
    changed();
    return id;
  }
  void changed() {
    ledger.rebuild(cell.state);
    reconciler.ledgerChanged(atSecond(second), kEngine);
  }
  void apply(CommandBody body) {
    cell.apply(std::move(body));
    changed();
  }
  void hold(const resource::Servable& servable, HeldState state) {
    report.held = {{servable, {0}, control::kModelBytes, state, 0}};
  }
  const engine::Order* lastOrder() {
    const auto* call =
        actions.empty() ? nullptr : std::get_if<control::EngineCall>(&actions.back());
    return call == nullptr ? nullptr : std::get_if<engine::Order>(&call->request);
  }
  /// Makes the engine send `report`, with the token of all calls so far.
  void engineReports() {
    monitor.tick(atSecond(++second), true);
    const auto& call = std::get<control::EngineCall>(actions.back());
    report.greatestToken = std::get<engine::ReportRequest>(call.request).token;
    monitor.callFinished(atSecond(second), {call.call, engine::CallResult(report)});
  }
  void orderAnswered(engine::CallResult result) {
    const auto& call = std::get<control::EngineCall>(actions.back());
    const auto finished = monitor.callFinished(atSecond(second), {call.call, std::move(result)});
    reconciler.orderFinished(*finished);
  }
  std::size_t ordersAfterReview() {
    const std::size_t before = actions.size();
    reconciler.sendNextOrder(atSecond(second), kEngine);
    return actions.size() - before;
  }
  control::EngineReview review() { return reconciler.review(kEngine, {}); }
};

TEST(ReplicaReconciler, loadsAReservedReplicaOnceUntilAReportShowsThatItIsLost) {
  engineReports();
  place();
  CHECK_EQUAL(1, ordersAfterReview());
  CHECK_TRUE(lastOrder()->action == engine::OrderAction::load);
  STRCMP_EQUAL("weights", lastOrder()->checkpoint.c_str());
  const engine::FencingToken first = lastOrder()->token;
  orderAnswered(engine::CallResult(base::Error{base::ErrorCode::connectionLost, "", ""}));
  CHECK_EQUAL(0, ordersAfterReview());  // The order may have arrived.
  hold(kModel, HeldState::loading);
  engineReports();
  CHECK_EQUAL(0, ordersAfterReview());
  report.held.clear();
  engineReports();
  CHECK_EQUAL(1, ordersAfterReview());
  CHECK_TRUE(lastOrder()->token > first);
}

TEST(ReplicaReconciler, aNewLeaderTakesOverALoadInProgress) {
  place();  // Placed by a previous leader: no order was sent in this term.
  CHECK_EQUAL(0, ordersAfterReview());
  hold(kModel, HeldState::loading);
  engineReports();
  CHECK_EQUAL(0, ordersAfterReview());
  CHECK_TRUE(review().proposals.empty());
  hold(kModel, HeldState::ready);
  engineReports();
  CHECK_TRUE(std::holds_alternative<control::MarkReplicaReady>(review().proposals.at(0)));
}

TEST(ReplicaReconciler, unloadsAfterTheGracePeriodAndReleasesOnceAbsent) {
  const base::ReplicaId id = place();
  apply(control::MarkReplicaReady{id});
  apply(control::BeginUnload{id});
  hold(kModel, HeldState::ready);
  const std::int64_t decidedAt = second;
  monitor.tick(atSecond(second), true);
  const auto& poll = std::get<control::EngineCall>(actions.back());
  report.greatestToken = std::get<engine::ReportRequest>(poll.request).token;
  monitor.callFinished(atSecond(second), {poll.call, engine::CallResult(report)});
  CHECK_EQUAL(0, ordersAfterReview());
  CHECK_TRUE(reconciler.nextWakeup() == atSecond(decidedAt) + options.unloadGrace);
  second += 1;
  CHECK_TRUE(reconciler.takeDue(atSecond(second)).contains(kEngine));
  CHECK_EQUAL(1, ordersAfterReview());
  CHECK_TRUE(lastOrder()->action == engine::OrderAction::unload);
  orderAnswered(engine::CallResult(engine::OrderAccepted{}));
  CHECK_TRUE(review().proposals.empty());  // The last report was made before the order.
  report.held.clear();
  engineReports();
  CHECK_TRUE(std::holds_alternative<control::ReleaseReplica>(review().proposals.at(0)));
}

TEST(ReplicaReconciler, aReportMadeBeforeTheLastOrderReleasesNothing) {
  engineReports();
  const base::ReplicaId id = place();
  CHECK_EQUAL(1, ordersAfterReview());
  orderAnswered(engine::CallResult(base::Error{base::ErrorCode::timedOut, "", ""}));
  apply(control::BeginUnload{id});
  CHECK_TRUE(review().proposals.empty());  // The load order may still arrive.
  engineReports();
  CHECK_TRUE(std::holds_alternative<control::ReleaseReplica>(review().proposals.at(0)));
}

TEST(ReplicaReconciler, givesUpAFailedOrRefusedLoad) {
  engineReports();
  place();
  CHECK_EQUAL(1, ordersAfterReview());
  orderAnswered(engine::CallResult(base::Error{base::ErrorCode::insufficientMemory, "", ""}));
  engineReports();
  CHECK_EQUAL(0, ordersAfterReview());
  control::EngineReview refused = review();
  CHECK_TRUE(std::holds_alternative<control::BeginUnload>(refused.proposals.at(0)));
  CHECK_EQUAL(1, refused.failedLoads.size());
  hold(kModel, HeldState::failed);
  engineReports();
  CHECK_EQUAL(1, review().failedLoads.size());
}

TEST(ReplicaReconciler, aReadyReplicaThatTheEngineLostIsUnloaded) {
  apply(control::MarkReplicaReady{place()});
  engineReports();
  CHECK_TRUE(std::holds_alternative<control::BeginUnload>(review().proposals.at(0)));
}

TEST(ReplicaReconciler, unloadsUnledgeredServablesAndBlocksTheAccelerator) {
  hold(kOther, HeldState::ready);
  engineReports();
  review();
  CHECK_TRUE(reconciler.unledgered().contains({kEngine, {0}}));
  CHECK_EQUAL(1, ordersAfterReview());
  CHECK_TRUE(lastOrder()->action == engine::OrderAction::unload);
  orderAnswered(engine::CallResult(engine::OrderAccepted{}));
  report.held.clear();
  engineReports();
  review();
  CHECK_TRUE(reconciler.unledgered().empty());
}

TEST(ReplicaReconciler, ignoresAReportOfAnotherIncarnation) {
  place();
  report.incarnation.value = control::kFirstIncarnation + 1;
  hold(kModel, HeldState::ready);
  engineReports();
  CHECK_TRUE(review().proposals.empty());
  CHECK_EQUAL(0, ordersAfterReview());
}
