/// Test that requests waiting for a model are sent in the order of their arrival once a worker
/// holds it.

#include "gateway/gateway_harness.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::gateway;
using namespace walnut::gateway::testing;

TEST_GROUP(WakeOrderTest) { GatewayHarness harness; };

TEST(WakeOrderTest, waitingRequestsAreSentInTheOrderOfArrival) {
  harness.declare(1);
  harness.follow();
  constexpr std::size_t kCallers = 40;
  std::vector<std::unique_ptr<Caller>> callers;
  for (std::size_t number = 0; number < kCallers; ++number) {
    callers.push_back(harness.request("stream", "r" + std::to_string(number), "m"));
  }
  registry::ViewUpdate update;
  update.changed = {GatewayHarness::worker(1)};
  update.changed[0].holdingsKnown = true;
  update.changed[0].models = {{"m", 1, {}}};
  harness.gateway.viewReceived(update);
  harness.scheduler.settle();
  CHECK_EQUAL(kCallers, harness.launcher.sent.size());
  for (std::size_t number = 0; number < kCallers; ++number) {
    STRCMP_EQUAL(("r" + std::to_string(number)).c_str(),
                 harness.launcher.sent[number]->request.headers.find("Id")->c_str());
  }
}
