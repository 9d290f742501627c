/// Tests which services count as ones whose replicas are slow to add.

#include "walnut/catalog/slow_replicas.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::catalog;
using namespace std::chrono_literals;

namespace {

/// A service whose callers abandon a stream after 2.4 s.
Document documentWith(base::Duration storeLoadTime) {
  Document document;
  Service service;
  service.name = "svc";
  service.engine.emplace();
  ModelSpec quick;
  quick.name = "quick";
  quick.storeLoadTime = 1s;
  ModelSpec slow;
  slow.name = "slow";
  slow.storeLoadTime = storeLoadTime;
  service.engine->models = {quick, slow};
  document.services.push_back(service);
  Route route;
  route.kind = RouteKind::streaming;
  route.targetLatency = 400ms;
  route.targetGap = 300ms;
  route.services.push_back({"svc", 1});
  document.routes.push_back(route);
  return document;
}

}  // namespace

TEST_GROUP(SlowReplicasTest){};

/// Guards against new behaviour in services whose replicas are added while callers still return.
TEST(SlowReplicasTest, aLoadOfUpToFourCallerTimeoutsIsNotSlow) {
  CHECK_FALSE(replicasAreSlowToAdd(documentWith(9600ms), "svc"));
  CHECK_TRUE(replicasAreSlowToAdd(documentWith(9601ms), "svc"));
}

/// Guards against a rule that a patient route switches off for the impatient one beside it.
TEST(SlowReplicasTest, theShortestCallerTimeoutDecides) {
  Document document = documentWith(10s);
  Route patient = document.routes.front();
  patient.targetLatency = 6s;
  document.routes.insert(document.routes.begin(), patient);
  CHECK_TRUE(replicasAreSlowToAdd(document, "svc"));
}

TEST(SlowReplicasTest, onlyStreamsOfTheServiceItselfCount) {
  Document document = documentWith(20s);
  document.routes.front().services.front().service = "other";
  CHECK_FALSE(replicasAreSlowToAdd(document, "svc"));
  document.routes.front().services.front().service = "svc";
  document.routes.front().kind = RouteKind::idempotent;
  CHECK_FALSE(replicasAreSlowToAdd(document, "svc"));
}

TEST(SlowReplicasTest, aServiceWithoutModelsOrAnUnknownOneIsNotSlow) {
  Document document = documentWith(20s);
  document.services.front().engine.reset();
  CHECK_FALSE(replicasAreSlowToAdd(document, "svc"));
  CHECK_FALSE(replicasAreSlowToAdd(document, "unknown"));
}
