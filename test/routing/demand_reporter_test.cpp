/// @file
/// Tests which demand a router reports to the leader, and when.

#include "routing/demand_reporter.h"

#include "routing/fake_cell.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::routing;
using namespace walnut::routing::testing;

namespace {

constexpr base::Duration kStep = std::chrono::milliseconds(200);
constexpr LeaderSession kLeader{{7}, 1};

/// A reporter for one model, in virtual time.
class Fixture {
 public:
  Fixture() {
    view_.applyPage({1}, protocol::WatchSnapshotPage{1, 0, true, {modelChange("m", "v1")}});
    reporter_.setLeader(now_, kLeader);
    CHECK_TRUE(runInterval().value().complete);
  }

  /// Advances the time to the next interval.
  /// @return the report sent then.
  std::optional<protocol::DemandReport> runInterval() {
    now_ += kStep;
    std::vector<RouterAction> actions;
    reporter_.tick(now_, targets_, queue_, view_, requests_, selector_, actions);
    if (actions.empty()) {
      return std::nullopt;
    }
    return std::get<protocol::DemandReport>(std::get<SendToController>(actions.front()).message);
  }
  /// @return the entries sent within the next `intervals`.
  std::vector<protocol::Demand> entriesWithin(int intervals) {
    std::vector<protocol::Demand> entries;
    for (int number = 0; number < intervals; ++number) {
      const auto report = runInterval();
      if (report.has_value()) {
        entries.insert(entries.end(), report->entries.begin(), report->entries.end());
      }
    }
    return entries;
  }
  void setRunning(std::uint32_t running) {
    targets_["m"].running = running;
    targets_["m"].lastArrival = now_;
    reporter_.markChanged("m");
  }
  void setNeedingReplica(std::uint32_t needingReplica) {
    targets_["m"].needingReplica = needingReplica;
    reporter_.markChanged("m");
  }
  void refuseUntil(base::TimePoint until) {
    targets_["m"].refusedDemandUntil = until;
    reporter_.markChanged("m");
  }
  /// Adds a stream that began with `version` and waits for an engine from now on.
  Request& addWaitingStream(const std::string& version) {
    CallerRequest caller;
    caller.request = {"stream"};
    caller.target = "m";
    Request& request = *requests_.add(caller);
    request.pinned = resource::Servable{"m", version, ""};
    return request;
  }
  RequestTable& requests() { return requests_; }
  base::TimePoint now() const { return now_; }
  DemandReporter& reporter() { return reporter_; }
  EngineSelector& selector() { return selector_; }
  ClusterView& view() { return view_; }

 private:
  RouterOptions options_;
  DemandReporter reporter_{options_, base::RouterId{1}};
  ClusterView view_;
  RequestQueue queue_;
  RequestTable requests_;
  std::map<std::string, Target> targets_;
  base::Random random_{1};
  EngineSelector selector_{options_, random_};
  base::TimePoint now_ = base::fromMicros(1'000'000'000);
};

}  // namespace

TEST_GROUP(DemandReporter){};

TEST(DemandReporter, idleRouterSendsOnlyHeartbeats) {
  Fixture fixture;
  int reports = 0;
  for (int number = 0; number < 50; ++number) {
    const auto report = fixture.runInterval();
    reports += report.has_value() ? 1 : 0;
    CHECK_TRUE(!report.has_value() || (report->entries.empty() && !report->complete));
  }
  CHECK_EQUAL(10, reports);
}

TEST(DemandReporter, attemptOutcomesAreReportedOnceAndFailuresPromptly) {
  Fixture fixture;
  fixture.entriesWithin(5);
  fixture.selector().recordSuccess({"e1"});
  fixture.selector().recordFailure(fixture.now(), {"e2"});
  const auto report = fixture.runInterval();
  CHECK_EQUAL(2U, report.value().outcomes.size());
  CHECK_EQUAL(1U, report.value().outcomes[0].answered);
  CHECK_EQUAL(1U, report.value().outcomes[1].failed);
  fixture.selector().recordSuccess({"e1"});
  CHECK_FALSE(fixture.runInterval().has_value());
}

TEST(DemandReporter, waitingStreamIsReportedInTheNextInterval) {
  Fixture fixture;
  fixture.setNeedingReplica(1);
  const auto report = fixture.runInterval();
  CHECK_EQUAL(1U, report.value().entries.at(0).waitingInteractive);
  fixture.setNeedingReplica(0);
  CHECK_EQUAL(0U, fixture.runInterval().value().entries.at(0).waitingInteractive);
}

TEST(DemandReporter, unchangedWaitingCountIsReportedOnce) {
  Fixture fixture;
  fixture.setNeedingReplica(1);
  CHECK_EQUAL(1U, fixture.entriesWithin(100).size());
}

TEST(DemandReporter, refusedDemandExpiresWithoutAnyEvent) {
  Fixture fixture;
  fixture.refuseUntil(fixture.now() + 5 * kStep);
  CHECK_EQUAL(1U, fixture.runInterval().value().entries.at(0).waitingInteractive);
  const auto later = fixture.entriesWithin(10);
  CHECK_EQUAL(1U, later.size());
  CHECK_EQUAL(0U, later.front().waitingInteractive);
}

TEST(DemandReporter, smallChangesOfRunningRequestsAreReportedEachFiveSeconds) {
  Fixture fixture;
  fixture.setRunning(20);
  CHECK_EQUAL(1U, fixture.entriesWithin(1).size());
  std::size_t entries = 0;
  for (std::uint32_t number = 0; number < 100; ++number) {
    fixture.setRunning(20 + number % 2);
    entries += fixture.entriesWithin(1).size();
  }
  CHECK_EQUAL(4U, entries);
}

TEST(DemandReporter, largeChangeOfRunningRequestsIsReportedAtOnce) {
  Fixture fixture;
  fixture.setRunning(20);
  CHECK_EQUAL(1U, fixture.entriesWithin(1).size());
  fixture.setRunning(30);
  CHECK_EQUAL(30U, fixture.runInterval().value().entries.at(0).running);
}

TEST(DemandReporter, endOfTheLastRequestIsReportedInTime) {
  Fixture fixture;
  fixture.setRunning(1);
  CHECK_EQUAL(1U, fixture.entriesWithin(1).size());
  fixture.setRunning(0);
  const auto entries = fixture.entriesWithin(26);
  CHECK_EQUAL(1U, entries.size());
  CHECK_EQUAL(0U, entries.front().running);
}

TEST(DemandReporter, newLeaderTermGetsACompleteReport) {
  Fixture fixture;
  fixture.setRunning(3);
  CHECK_EQUAL(1U, fixture.entriesWithin(1).size());
  fixture.reporter().setLeader(fixture.now(), LeaderSession{kLeader.connection, 2});
  const auto report = fixture.runInterval();
  CHECK_TRUE(report.value().complete);
  CHECK_EQUAL(3U, report.value().entries.at(0).running);
}

TEST(DemandReporter, targetThatIsNoLongerServedIsRemovedAtTheLeader) {
  Fixture fixture;
  fixture.setRunning(3);
  CHECK_EQUAL(1U, fixture.entriesWithin(1).size());
  protocol::ResourceDeleted deletion{{resource::Kind::model, "m"}};
  fixture.view().applyDelta({1, 2, {deletion}});
  fixture.reporter().markChanged("m");
  bool dropped = false;
  for (int number = 0; number < 2; ++number) {
    const auto report = fixture.runInterval();
    dropped = dropped || (report.has_value() && report->complete && report->entries.empty());
  }
  CHECK_TRUE(dropped);
}

TEST(DemandReporter, streamOfAPreviousVersionIsReportedWithItsVersionUntilItResumes) {
  Fixture fixture;
  Request& stream = fixture.addWaitingStream("v0");
  const std::vector<protocol::Demand> begun = fixture.entriesWithin(3);
  CHECK_EQUAL(1U, begun.size());
  STRCMP_EQUAL("v0", begun[0].version.c_str());
  CHECK_EQUAL(1U, begun[0].waitingInteractive);
  fixture.requests().erase(stream);
  const std::vector<protocol::Demand> ended = fixture.entriesWithin(3);
  CHECK_EQUAL(1U, ended.size());
  STRCMP_EQUAL("v0", ended[0].version.c_str());
  CHECK_EQUAL(0U, ended[0].waitingInteractive);
}

TEST(DemandReporter, streamOfTheActiveVersionIsNotReportedSeparately) {
  Fixture fixture;
  fixture.addWaitingStream("v1");
  CHECK_EQUAL(0U, fixture.entriesWithin(3).size());
}
