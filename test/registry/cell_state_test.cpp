/// Tests of CellState, the replicated state.

#include "registry/cell_state.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::registry;

namespace {

WorkerRecord worker(const char* id, std::uint16_t port, bool leaving = false) {
  return {{id}, "svc", {"10.0.0.1", port}, {"zone"}, 4, leaving};
}

}  // namespace

TEST_GROUP(CellStateTest) { CellState state; };

TEST(CellStateTest, onlyAHigherVersionReplacesTheDocument) {
  state.apply(StoreDocument{5, "five"});
  state.apply(StoreDocument{4, "four"});
  state.apply(StoreDocument{5, "other five"});
  CHECK_EQUAL(5, state.documentVersion());
  STRCMP_EQUAL("five", state.documentText().c_str());
}

TEST(CellStateTest, leavingIsFinal) {
  state.apply(StoreWorker{worker("w", 1, true)});
  state.apply(StoreWorker{worker("w", 1, false)});
  CHECK_TRUE(state.findWorker({"w"})->leaving);
}

TEST(CellStateTest, aForgottenWorkerDoesNotComeBack) {
  state.apply(StoreWorker{worker("w", 1)});
  state.apply(ForgetWorker{{"w"}});
  state.apply(StoreWorker{worker("w", 1)});
  POINTERS_EQUAL(nullptr, state.findWorker({"w"}));
  CHECK_TRUE(state.wasForgotten({"w"}));
}

TEST(CellStateTest, aWorkerAtAnAddressReplacesTheFormerOne) {
  state.apply(StoreWorker{worker("old", 1)});
  state.apply(StoreWorker{worker("new", 1)});
  POINTERS_EQUAL(nullptr, state.findWorker({"old"}));
  CHECK(state.findWorker({"new"}) != nullptr);
}

TEST(CellStateTest, aSnapshotRestoresTheWholeState) {
  state.apply(StoreDocument{5, "five"});
  state.apply(StoreWorker{worker("w", 1)});
  state.apply(ForgetWorker{{"gone"}});
  state.apply(StoreOrderHolder{{7}});
  CellState restored;
  CHECK_TRUE(restored.restore(state.encode()).has_value());
  STRCMP_EQUAL("five", restored.documentText().c_str());
  CHECK(restored.findWorker({"w"}) != nullptr);
  CHECK_TRUE(restored.wasForgotten({"gone"}));
  CHECK_TRUE(restored.orderHolder() == base::ServerId{7});
}

TEST(CellStateTest, aSnapshotRestoresEvidenceAgainstRequests) {
  state.apply(StoreDocument{5, "five"});
  state.apply(StoreCrash{{"w1"}, {}, {RequestDigest{}}});
  state.apply(StoreCrash{{"w2"}, {}, {RequestDigest{}}});
  state.apply(RetractCrash{{"w2"}});
  CellState restored;
  CHECK_TRUE(restored.restore(state.encode()).has_value());
  CHECK_TRUE(restored.requestCrashes().has(RequestDigest{}, {"w1"}));
  CHECK_FALSE(restored.requestCrashes().has(RequestDigest{}, {"w2"}));
}

/// Snapshots of builds without such evidence must stay readable.
TEST(CellStateTest, withoutEvidenceTheSnapshotHasNoBytesOfIt) {
  state.apply(StoreDocument{5, "five"});
  const std::string without = state.encode();
  state.apply(StoreCrash{{"w1"}, {}, {RequestDigest{}}});
  CHECK(state.encode().size() > without.size());
  state.apply(ReleaseSuspects{{RequestDigest{}}, false});
  STRCMP_EQUAL(without.c_str(), state.encode().c_str());
  CHECK_EQUAL(without.size(), state.encode().size());
  CellState restored;
  CHECK_TRUE(restored.restore(without).has_value());
  CHECK_TRUE(restored.requestCrashes().empty());
}

TEST(CellStateTest, malformedBytesAreRefused) {
  CHECK_TRUE(state.restore("nonsense").has_error());
  CHECK_TRUE(decodeCommand(std::string_view("\xff\xff\xff", 3)).has_error());
}

TEST(CellStateTest, aZoneIsEvacuatedAndReturnsToService) {
  state.apply(StoreZoneEvacuation{{"zone"}, true, 0});
  CHECK_TRUE(state.evacuated({"zone"}));
  CHECK_FALSE(state.evacuated({"other"}));
  state.apply(StoreZoneEvacuation{{"zone"}, false, 1});
  CHECK_FALSE(state.evacuated({"zone"}));
  CHECK_EQUAL(2, state.zoneRevision({"zone"}));
}

TEST(CellStateTest, aRepeatedEvacuationChangesNothing) {
  state.apply(StoreZoneEvacuation{{"zone"}, true, 0});
  state.apply(StoreZoneEvacuation{{"zone"}, true, 0});
  CHECK_EQUAL(1, state.zoneRevision({"zone"}));
}

TEST(CellStateTest, anEvacuationThatComesAfterItsEndChangesNothing) {
  state.apply(StoreZoneEvacuation{{"zone"}, true, 0});
  state.apply(StoreZoneEvacuation{{"zone"}, false, 1});
  state.apply(StoreZoneEvacuation{{"zone"}, true, 0});
  CHECK_FALSE(state.evacuated({"zone"}));
}

TEST(CellStateTest, aSnapshotHoldsEvacuations) {
  state.apply(RaiseFeatureLevel{1});
  state.apply(StoreZoneEvacuation{{"zone"}, true, 0});
  CellState restored;
  CHECK_TRUE(restored.restore(state.encode()).has_value());
  CHECK_TRUE(restored.evacuated({"zone"}));
  CHECK_EQUAL(1, restored.featureLevel());
  CHECK_EQUAL(1, restored.zoneChanges());
}

/// A server of an earlier build must be able to read the snapshot of a cell at level 0.
TEST(CellStateTest, aSnapshotBeforeTheFirstLevelHasNothingNew) {
  state.apply(StoreDocument{5, "five"});
  const std::string bytes = state.encode();
  state.apply(RaiseFeatureLevel{1});
  CHECK_TRUE(state.encode().size() > bytes.size());
  STRCMP_EQUAL(bytes.c_str(), state.encode().substr(0, bytes.size()).c_str());
}
