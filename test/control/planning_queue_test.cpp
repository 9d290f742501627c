#include "control/planning_queue.h"

#include <CppUTest/TestHarness.h>

#include "control/cell_fixture.h"

using namespace walnut;
using control::PlanningQueue;

TEST_GROUP(PlanningQueue) {
  control::TestCell cell;
  control::LedgerIndex ledger;
  PlanningQueue queue;

  void setup() override {
    for (int number = 0; number < 20; ++number) {
      cell.put(control::declare(resource::Kind::model, "m" + std::to_string(number),
                                control::modelSpec("")));
    }
  }
};

TEST(PlanningQueue, givesAMarkedModelOnce) {
  queue.mark("m3");
  queue.mark("m3");
  CHECK_EQUAL(1, queue.takeMarked().size());
  CHECK_TRUE(queue.takeMarked().empty());
}

TEST(PlanningQueue, aPassGivesEachModelOnceInSteps) {
  std::multiset<std::string> seen;
  std::size_t steps = 0;
  for (; seen.size() < 20; ++steps) {
    const auto models = queue.nextStep(cell.state, ledger);
    CHECK_TRUE(models.size() <= 2);
    seen.insert(models.begin(), models.end());
  }
  CHECK_EQUAL(10, steps);  // Each step has at most two models.
  CHECK_EQUAL(20, seen.size());
  CHECK_EQUAL(1, seen.count("m7"));
}

TEST(PlanningQueue, aDeletedModelThatIsHeldIsStillPlanned) {
  cell.declareAll();
  cell.place(control::placementOf({"m", "v1", ""}, "e1"));
  ledger.rebuild(cell.state);
  const control::TestCell empty;
  CHECK_EQUAL(1, queue.nextStep(empty.state, ledger).size());
}

TEST(PlanningQueue, aRestartedPassBeginsWithTheFirstModel) {
  const auto first = queue.nextStep(cell.state, ledger);
  queue.nextStep(cell.state, ledger);
  queue.restartPass();
  CHECK_TRUE(queue.nextStep(cell.state, ledger) == first);
}
