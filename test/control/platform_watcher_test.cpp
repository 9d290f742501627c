#include "control/platform_watcher.h"

#include <CppUTest/TestHarness.h>

#include "control/cell_fixture.h"

using namespace walnut;
using control::atSecond;
using control::PlatformListRead;
using control::PlatformWatcher;

namespace {

PlatformListRead listOf(std::int64_t asOf, const std::vector<std::string>& names) {
  engine::PlatformList list;
  list.asOf = atSecond(asOf);
  for (const std::string& name : names) {
    engine::PlatformMachine machine;
    machine.engine.value = name;
    machine.endpoint = {"127.0.0.1", 9000};
    list.machines.push_back(machine);
  }
  return {base::Result<engine::PlatformList>(list)};
}

}  // namespace

TEST_GROUP(PlatformWatcher) {
  control::ControllerOptions options;
  std::vector<control::ControllerAction> actions;
  PlatformWatcher watcher{options, actions};
  std::map<base::EngineId, resource::Engine> known{{{"a"}, control::engineOf("a")},
                                                   {{"b"}, control::engineOf("b")}};

  bool read(std::int64_t second, const PlatformListRead& list) {
    return watcher.listRead(atSecond(second), list, known);
  }
};

TEST(PlatformWatcher, readsAgainOnlyAfterTheAnswer) {
  watcher.tick(atSecond(1));
  watcher.tick(atSecond(9));
  CHECK_EQUAL(1, actions.size());
  read(9, {base::Result<engine::PlatformList>(base::Error{base::ErrorCode::timedOut, "", ""})});
  watcher.tick(atSecond(10));
  CHECK_EQUAL(2, actions.size());
}

TEST(PlatformWatcher, ignoresAListThatIsNotNewer) {
  CHECK_TRUE(read(10, listOf(8, {"a", "b"})));
  CHECK_FALSE(read(11, listOf(8, {"a"})));
  CHECK_FALSE(read(12, listOf(7, {"a"})));
  CHECK_TRUE(watcher.find({"b"}) != nullptr);
}

TEST(PlatformWatcher, aMachineIsGoneAfterListsOfTenSecondsWithoutIt) {
  read(10, listOf(8, {"a", "b"}));
  read(11, listOf(9, {"a"}));
  // Read late, but dated less than ten seconds after the first list without it.
  read(40, listOf(18, {"a"}));
  CHECK_TRUE(watcher.goneMachines().empty());
  read(41, listOf(19, {"a"}));
  CHECK_EQUAL(1, watcher.goneMachines().size());
  STRCMP_EQUAL("b", watcher.goneMachines().front().value.c_str());
}

TEST(PlatformWatcher, aMachineThatComesBackIsNotGone) {
  read(11, listOf(9, {"a"}));
  read(15, listOf(14, {"a", "b"}));
  read(16, listOf(15, {"a"}));
  read(25, listOf(24, {"a"}));
  CHECK_TRUE(watcher.goneMachines().empty());
}

TEST(PlatformWatcher, detectsAnEndpointTakenByAnotherMachine) {
  read(10, listOf(8, {"a"}));
  CHECK_FALSE(watcher.endpointTaken({"a"}, {"127.0.0.1", 9000}));
  CHECK_TRUE(watcher.endpointTaken({"b"}, {"127.0.0.1", 9000}));
}
