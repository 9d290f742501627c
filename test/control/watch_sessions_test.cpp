#include "control/watch_sessions.h"

#include <CppUTest/TestHarness.h>

#include "control/cell_fixture.h"
#include "control/operator_watches.h"

using namespace walnut;
using control::atSecond;
using control::SendToConnection;

namespace {

constexpr protocol::ConnectionId kRouter{1};

control::ControllerOptions smallOptions() {
  control::ControllerOptions options;
  options.maxWatchChanges = 8;
  options.watchPageChanges = 3;
  return options;
}

}  // namespace

TEST_GROUP(WatchSessions) {
  control::ControllerOptions options = smallOptions();
  control::TestCell cell{options};
  std::vector<control::ControllerAction> actions;
  control::WatchSessions sessions{options, cell.state, actions};
  base::TimePoint now = atSecond(1);

  void setup() override {
    cell.declareAll();
    sessions.stateChanged(now);
  }

  void watch(consensus::LogIndex from) { sessions.request(now, kRouter, {from}); }
  void advance(base::Duration duration) {
    now += duration;
    sessions.tick(now);
  }
  void change() {
    cell.put(control::declare(resource::Kind::model, "other", control::modelSpec("")));
    sessions.stateChanged(now);
  }
  const protocol::WatchDelta& delta(std::size_t number) {
    return std::get<protocol::WatchDelta>(std::get<SendToConnection>(actions.at(number)).message);
  }
  const protocol::WatchSnapshotPage& page(std::size_t number) {
    return std::get<protocol::WatchSnapshotPage>(
        std::get<SendToConnection>(actions.at(number)).message);
  }
};

TEST(WatchSessions, startsANewWatcherWithNumberedPagesOfOneIndex) {
  watch(0);
  for (int round = 0; round < 10; ++round) {
    advance(options.watchPushInterval);
  }
  std::size_t changes = 0;
  std::uint32_t pages = 0;
  for (; pages < actions.size(); ++pages) {
    CHECK_EQUAL(pages, page(pages).page);
    CHECK_EQUAL(cell.index, page(pages).index);
    CHECK_TRUE(page(pages).changes.size() <= options.watchPageChanges);
    changes += page(pages).changes.size();
    if (page(pages).last) {
      break;
    }
  }
  CHECK_EQUAL(cell.state.wholeState().size(), changes);
  CHECK_EQUAL(pages + 1, actions.size());
}

TEST(WatchSessions, coalescesChangesIntoOneDelta) {
  watch(cell.index);
  advance({});
  CHECK_EQUAL(1, actions.size());
  const consensus::LogIndex before = cell.index;
  change();
  change();
  advance(options.watchPushInterval / 2);
  CHECK_EQUAL(1, actions.size());
  advance(options.watchPushInterval);
  CHECK_EQUAL(2, actions.size());
  CHECK_EQUAL(before, delta(1).fromIndex);
  CHECK_EQUAL(cell.index, delta(1).toIndex);
  CHECK_EQUAL(1, delta(1).changes.size());
}

TEST(WatchSessions, anIndexOnlyDeltaIsSentLater) {
  watch(cell.index);
  advance({});
  cell.apply(control::ClaimKeys{{{"key", {"request"}, cell.now}}});
  sessions.indexAdvanced(now);
  advance(options.watchPushInterval);
  CHECK_EQUAL(1, actions.size());
  advance(options.watchHeartbeatInterval / 2);
  CHECK_EQUAL(2, actions.size());
  CHECK_EQUAL(cell.index, delta(1).toIndex);
}

TEST(WatchSessions, sendsHeartbeatsWithoutChanges) {
  watch(cell.index);
  advance({});
  advance(options.watchHeartbeatInterval);
  CHECK_EQUAL(2, actions.size());
  CHECK_TRUE(delta(1).changes.empty());
  CHECK_EQUAL(cell.index, delta(1).toIndex);
}

TEST(WatchSessions, aWatcherBehindTheHistoryGetsTheWholeState) {
  for (int number = 0; number < 20; ++number) {
    change();
  }
  watch(1);
  advance({});
  CHECK_EQUAL(0, page(0).page);
  CHECK_EQUAL(cell.index, page(0).index);
}

TEST(WatchSessions, aWatcherAheadOfThisServerGetsNoLowerIndex) {
  const consensus::LogIndex ahead = cell.index + 5;
  watch(ahead);
  advance({});
  CHECK_TRUE(delta(0).changes.empty());
  CHECK_EQUAL(cell.index, delta(0).toIndex);
  while (cell.index <= ahead) {
    change();
  }
  advance(options.watchHeartbeatInterval);
  CHECK_EQUAL(ahead, delta(1).fromIndex);
}

TEST(WatchSessions, sendsNothingAfterTheConnectionIsClosed) {
  watch(cell.index);
  sessions.closed(kRouter);
  advance(options.watchHeartbeatInterval);
  CHECK_TRUE(actions.empty());
  CHECK_TRUE(sessions.nextWakeup() == base::kNever);
}

TEST_GROUP(OperatorWatches) {
  control::ControllerOptions options = smallOptions();
  control::TestCell cell{options};
  std::vector<control::ControllerAction> actions;
  control::OperatorWatches watches{options, cell.state, actions};

  void open(std::optional<resource::Kind> kind, resource::Version from) {
    watches.open(atSecond(1), {9, kind, from});
    watches.tick(atSecond(1));
  }
  const control::ApiWatchEvents& events() {
    return std::get<control::ApiWatchEvents>(actions.at(0));
  }
};

TEST(OperatorWatches, sendsOnlyResourcesOfTheKind) {
  cell.declareAll();
  const resource::Version from = cell.index;
  cell.apply(control::RegisterEngine{control::engineOf("e3")});
  cell.put(control::declare(resource::Kind::model, "other", control::modelSpec("")));
  cell.put(control::declare(resource::Kind::drain, "e1", resource::DrainSpec{}));
  open(resource::Kind::drain, from);
  CHECK_EQUAL(1, events().changes.size());
  CHECK_EQUAL(cell.index, events().version);
  CHECK_FALSE(events().error.has_value());
}

TEST(OperatorWatches, pushesLaterChangesAndNothingElse) {
  cell.declareAll();
  open(std::nullopt, cell.index);
  CHECK_TRUE(actions.empty());
  cell.erase(resource::Kind::adapter, "a");
  watches.stateChanged(atSecond(1));
  watches.tick(atSecond(2));
  CHECK_TRUE(std::holds_alternative<protocol::ResourceDeleted>(events().changes.at(0)));
}

TEST(OperatorWatches, endsAWatchThatIsTooFarBehind) {
  for (int number = 0; number < 20; ++number) {
    cell.put(control::declare(resource::Kind::model, "other", control::modelSpec("")));
  }
  open(std::nullopt, 1);
  CHECK_TRUE(events().error && events().error->code == base::ErrorCode::watchTooOld);
  watches.stateChanged(atSecond(2));
  watches.tick(atSecond(3));
  CHECK_EQUAL(1, actions.size());
}
