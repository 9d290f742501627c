/// Tests that a router which cannot confirm its configuration sends nothing to engines.

#include "routing/router_harness.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::routing;
using namespace walnut::routing::testing;
using namespace std::chrono_literals;

TEST_GROUP(UnconfirmedTest){};

TEST(UnconfirmedTest, waitingRequestsAreDispatchedOnlyOnceItIsConfirmedAgain) {
  RouterHarness harness({}, false);
  harness.request("waiting", 60s);
  harness.cellAnswers = false;
  harness.advance(5s);
  harness.commitChange(protocol::ReplicaChanged{replicaRecord(5, "model", 0)});
  harness.advance(5s);
  CHECK_EQUAL(0U, harness.starts.size());
  harness.cellAnswers = true;
  harness.advance(2s);
  CHECK_EQUAL(1U, harness.starts.size());
}

TEST(UnconfirmedTest, failedAttemptIsNotRetriedUntilItIsConfirmedAgain) {
  RouterHarness harness;
  harness.request("retried", 60s);
  CHECK_EQUAL(1U, harness.starts.size());
  harness.cellAnswers = false;
  harness.advance(5s);
  harness.fail(harness.starts[0], base::ErrorCode::connectionLost,
               engine::GenerateFailed::Started::unknown);
  harness.advance(5s);
  CHECK_EQUAL(1U, harness.starts.size());
  harness.cellAnswers = true;
  harness.advance(2s);
  CHECK_EQUAL(2U, harness.starts.size());
}

TEST(UnconfirmedTest, servePolicyDispatchesWhileUnconfirmed) {
  RouterOptions options;
  options.unconfirmedPolicy = UnconfirmedPolicy::serve;
  RouterHarness harness(options, false);
  harness.request("waiting", 60s);
  harness.cellAnswers = false;
  harness.advance(5s);
  harness.commitChange(protocol::ReplicaChanged{replicaRecord(5, "model", 0)});
  CHECK_EQUAL(1U, harness.starts.size());
}
