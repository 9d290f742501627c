/// Tests of the leader's count of loads from the weight store: which orders use up its rate.

#include "registry/leader_duties_fixture.h"

using namespace walnut;
using namespace walnut::registry;
using namespace walnut::registry::testing;

struct LeaderStoreFixture : LeaderDutiesFixture {
  /// Runs a leader, whose store allows a load per second, until it has sent the first one.
  SendOrder firstLoad() {
    lead();
    demandModel("a");
    while (count<SendOrder>() == 0) {
      runAnswering(50ms);
    }
    for (const RegistryAction& action : actions) {
      if (const auto* order = std::get_if<SendOrder>(&action)) {
        return *order;
      }
    }
    return {};
  }
};

TEST_GROUP_BASE(LeaderStoreTest, LeaderStoreFixture){};

/// Guards against losing the store's rate to loads that never start.
TEST(LeaderStoreTest, aRefusedLoadDoesNotUseTheStoreRate) {
  const SendOrder order = firstLoad();
  duties->orderFinished({order.order, OrderOutcome::refused}, now);
  runAnswering(400ms);
  CHECK_EQUAL(2, count<SendOrder>());
}

/// A load that was accepted or whose outcome is unclear may have started.
TEST(LeaderStoreTest, aLoadThatMayHaveStartedUsesTheStoreRate) {
  const SendOrder order = firstLoad();
  duties->orderFinished({order.order, OrderOutcome::unclear}, now);
  runAnswering(400ms);
  CHECK_EQUAL(1, count<SendOrder>());
}

/// Guards against returning the token of a load that its worker may have started before its loss.
TEST(LeaderStoreTest, aLoadOfALostWorkerUsesTheStoreRate) {
  const SendOrder order = firstLoad();
  state.apply(ForgetWorker{order.worker.id});
  duties->stateChanged(now);
  demandModel("b");
  runAnswering(400ms);
  CHECK_EQUAL(1, count<SendOrder>());
  runAnswering(3s);
  CHECK_EQUAL(2, count<SendOrder>());
}

/// Guards against losing the store's rate to orders that were recorded too late to be sent.
TEST(LeaderStoreTest, aCancelledLoadDoesNotUseTheStoreRate) {
  options.ordersFenced = false;
  leaseValid = false;
  lead();
  demandModel("a");
  runAnswering(1500ms);
  CHECK_EQUAL(0, count<SendOrder>());
  leaseValid = true;
  runAnswering(100ms);
  CHECK_EQUAL(1, count<SendOrder>());
}

/// Guards against loads that stay in progress for good, since the worker of their cancelled order
/// is no longer registered.
TEST(LeaderStoreTest, aCancelledLoadOfALostWorkerDoesNotUseTheStoreRate) {
  options.ordersFenced = false;
  recordsOrders = false;
  lead();
  demandModel("a");
  runAnswering(100ms);
  const WorkerId lost = state.lastOrderedBy({"w1"}) == kSelf ? WorkerId{"w1"} : WorkerId{"w2"};
  CHECK_TRUE(state.lastOrderedBy(lost) == kSelf);
  state.apply(ForgetWorker{lost});
  duties->stateChanged(now);
  recordsOrders = true;
  runAnswering(500ms);
  CHECK_EQUAL(1, count<SendOrder>());
}
