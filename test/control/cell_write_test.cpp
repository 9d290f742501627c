#include <functional>
#include <limits>

#include "control/cell_fixture.h"

// Must be included last: its macro for `new` breaks the headers of the library.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::control;
using base::ErrorCode;
using resource::Kind;

namespace {

resource::ModelSpec withPool(const char* pool) {
  resource::ModelSpec spec = modelSpec("v1");
  spec.pool = pool;
  return spec;
}

resource::ModelSpec withBudget(const char* budget) {
  resource::ModelSpec spec = modelSpec("v1");
  spec.budget = budget;
  return spec;
}

}  // namespace

TEST_GROUP(CellWrite) {
  TestCell cell;
  void setup() override { cell.declareAll(); }
};

TEST(CellWrite, refusals) {
  struct Case {
    const char* name;
    ErrorCode code;
    std::string field;
    std::function<WriteOutcome(TestCell&)> write;
  };
  const std::vector<Case> cases = {
      {"create an existing resource", ErrorCode::alreadyExists, "name",
       [](TestCell& state) { return state.put(declare(Kind::model, "m", modelSpec("")), 0); }},
      {"put with an outdated version", ErrorCode::versionConflict, "expected_version",
       [](TestCell& state) { return state.put(declare(Kind::model, "m", modelSpec("")), 1); }},
      {"replace a missing resource", ErrorCode::versionConflict, "expected_version",
       [](TestCell& state) { return state.put(declare(Kind::model, "n", modelSpec("")), 1); }},
      {"changed model version", ErrorCode::outOfRange, "spec",
       [](TestCell& state) {
         resource::ModelVersionSpec spec = versionSpec("m");
         ++spec.acceleratorBytes;
         return state.put(declare(Kind::modelVersion, "v1", spec));
       }},
      {"model with the name of an adapter", ErrorCode::alreadyExists, "name",
       [](TestCell& state) { return state.put(declare(Kind::model, "a", modelSpec(""))); }},
      {"adapter with the name of a model", ErrorCode::alreadyExists, "name",
       [](TestCell& state) { return state.put(declare(Kind::adapter, "m", adapterSpec("m"))); }},
      {"version of a missing model", ErrorCode::referenceMissing, "spec.model",
       [](TestCell& state) {
         return state.put(declare(Kind::modelVersion, "w", versionSpec("n")));
       }},
      {"missing version", ErrorCode::referenceMissing, "spec.active_version",
       [](TestCell& state) { return state.put(declare(Kind::model, "m", modelSpec("v9"))); }},
      {"missing pool", ErrorCode::referenceMissing, "spec.pool",
       [](TestCell& state) { return state.put(declare(Kind::model, "m", withPool("p"))); }},
      {"missing budget", ErrorCode::referenceMissing, "spec.budget",
       [](TestCell& state) { return state.put(declare(Kind::model, "m", withBudget("b"))); }},
      {"version of another model", ErrorCode::outOfRange, "spec.active_version",
       [](TestCell& state) { return state.put(declare(Kind::model, "n", modelSpec("v1"))); }},
      {"delete a missing resource", ErrorCode::notFound, "name",
       [](TestCell& state) { return state.erase(Kind::model, "n"); }},
      {"delete with an outdated version", ErrorCode::versionConflict, "expected_version",
       [](TestCell& state) { return state.erase(Kind::adapter, "a", 1); }},
      {"delete a referenced model", ErrorCode::referenceInUse, "name",
       [](TestCell& state) { return state.erase(Kind::model, "m"); }},
      {"delete the active version", ErrorCode::referenceInUse, "name",
       [](TestCell& state) { return state.erase(Kind::modelVersion, "v1"); }},
      {"malformed spec", ErrorCode::wrongType, "spec",
       [](TestCell& state) { return state.put(declare(Kind::model, "m", versionSpec("m"))); }},
      {"no request id", ErrorCode::missingField, "request_id",
       [](TestCell& state) {
         return *state.apply(PutResource{"", {}, declare(Kind::model, "n", modelSpec(""))}).write;
       }},
      {"long request id", ErrorCode::outOfRange, "request_id",
       [](TestCell& state) {
         return *state.apply(DeleteResource{std::string(1000, 'r'), {}, {Kind::adapter, "a"}})
                     .write;
       }},
  };
  for (const Case& fault : cases) {
    TestCell state;
    state.declareAll();
    const auto before = state.state.resources();
    const WriteOutcome outcome = fault.write(state);
    CHECK_TRUE_TEXT(outcome.error.has_value(), fault.name);
    CHECK_TRUE_TEXT(outcome.error->code == fault.code, fault.name);
    STRCMP_EQUAL_TEXT(fault.field.c_str(), outcome.error->field.c_str(), fault.name);
    CHECK_TRUE_TEXT(before == state.state.resources(), fault.name);
  }
}

TEST(CellWrite, oneOfRacingWritersWins) {
  const resource::Version current = cell.state.resources().at({Kind::model, "m"}).version;
  const auto declared = declare(Kind::model, "m", modelSpec("v1"));
  const WriteOutcome first = cell.put(declared, current);
  const WriteOutcome second = cell.put(declared, current);
  LONGS_EQUAL(cell.index - 1, first.version);
  CHECK_TRUE(second.error->code == ErrorCode::versionConflict);
  LONGS_EQUAL(first.version, second.currentVersion);
  CHECK_FALSE(cell.put(declared, second.currentVersion).error.has_value());
}

TEST(CellWrite, resendGetsTheFirstAnswer) {
  const resource::Version current = cell.state.resources().at({Kind::adapter, "a"}).version;
  const PutResource won{"won", current, declare(Kind::adapter, "a", adapterSpec("m"))};
  const PutResource lost{"lost", current, won.resource};
  const WriteOutcome first = *cell.apply(won).write;
  CHECK_TRUE(cell.apply(lost).write->error->code == ErrorCode::versionConflict);
  CHECK_FALSE(cell.erase(Kind::adapter, "a").error.has_value());
  LONGS_EQUAL(first.version, cell.apply(won).write->version);
  const WriteOutcome again = *cell.apply(lost).write;
  CHECK_TRUE_TEXT(again.error->code == ErrorCode::versionConflict, "stays a conflict");
  LONGS_EQUAL(first.version, again.currentVersion);
  LONGS_EQUAL(first.version, cell.state.answerOf("won")->version);
  LONGS_EQUAL(0, cell.state.resources().count({Kind::adapter, "a"}));
  LONGS_EQUAL(0, cell.state.history().since(cell.index - 2)->size());
}

TEST(CellWrite, aReusedRequestIdIsRefused) {
  const PutResource first{"id", {}, declare(Kind::model, "n", modelSpec(""))};
  cell.apply(first);
  PutResource other = first;
  other.resource.spec = modelSpec("", 9);
  CHECK_TRUE(cell.apply(other).write->error->code == ErrorCode::requestIdReused);
  const DeleteResource remove{"id", {}, first.resource.key};
  CHECK_TRUE(cell.apply(remove).write->error->code == ErrorCode::requestIdReused);
  PutResource sameWithVersion = first;
  sameWithVersion.resource.version = 77;
  CHECK_FALSE(cell.apply(sameWithVersion).write->error.has_value());
}

TEST(CellWrite, aMalformedRequestMayBeCorrectedUnderItsId) {
  PutResource put{"id", {}, declare(Kind::model, "n", modelSpec(""))};
  std::get<resource::ModelSpec>(put.resource.spec).minReplicas = 3;
  CHECK_TRUE(cell.apply(put).write->error->field == "spec.min_replicas");
  std::get<resource::ModelSpec>(put.resource.spec).minReplicas = 0;
  CHECK_FALSE(cell.apply(put).write->error.has_value());
}

TEST(CellWrite, modelIsDeletedWhileItsReplicaUnloads) {
  const base::ReplicaId id = cell.place(placementOf({"m", "v1", ""}, "e1"));
  cell.put(declare(Kind::model, "m", modelSpec("")));
  for (const auto& [kind, name] : {std::pair{Kind::adapter, "a"},
                                   {Kind::modelVersion, "v1"},
                                   {Kind::modelVersion, "v2"},
                                   {Kind::model, "m"}}) {
    CHECK_FALSE_TEXT(cell.erase(kind, name).error.has_value(), name);
  }
  CHECK_TRUE(cell.state.replicas().at(id).state == resource::ReplicaState::unloading);
  CHECK_FALSE(cell.apply(ReleaseReplica{id}).refusal.has_value());
}

TEST(CellWrite, timeIsTheGreatestSeen) {
  cell.now = atSecond(2000);
  cell.erase(Kind::adapter, "a");
  cell.now = atSecond(1500);
  cell.erase(Kind::adapter, "a");
  CHECK_TRUE(cell.state.time() == atSecond(2000));
}
