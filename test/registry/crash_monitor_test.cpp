/// Tests of CrashMonitor: what counts as a worker crash, and the standings of suspect requests.

#include "registry/crash_monitor.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::registry;
using namespace std::chrono_literals;

namespace {

constexpr base::Duration kOverdue = 1560ms;
constexpr base::Duration kStep = 50ms;

RequestDigest digest(std::uint8_t number) {
  RequestDigest made;
  made.bytes[0] = number;
  return made;
}

const RequestDigest kRequest = digest(1);
const RequestDigest kOther = digest(2);

}  // namespace

TEST_GROUP(CrashMonitorTest) {
  CellState state;
  runtime::NullEventLog log;
  std::unique_ptr<CrashMonitor> monitor = std::make_unique<CrashMonitor>(state, log);
  base::TimePoint now = base::TimePoint(100s);
  std::map<WorkerId, base::TimePoint> heartbeatAt;
  base::TimePoint receivingSince = now;
  bool logTakesCommands = true;

  void setup() override {
    for (const char* id : {"w1", "w2", "w3", "w4"}) {
      add(id);
    }
  }
  void add(const char* id, std::uint16_t port = 0, bool leaving = false) {
    const auto own = static_cast<std::uint16_t>(port == 0 ? id[1] : port);
    state.apply(StoreWorker{{{id}, "svc", {"10.0.1.1", own}, {}, 4, leaving}});
    heartbeat(id);
  }
  void heartbeat(const char* id) {
    heartbeatAt[{id}] = now;
    monitor->recordContact({id});
    commit();
  }
  void cut(const char* worker, std::vector<RequestDigest> requests, base::Duration age = 0s) {
    CutReport report;
    for (const RequestDigest& request : requests) {
      report.cuts.push_back({request, {worker}, false, age});
    }
    monitor->report(report, now);
  }
  void commit() {
    for (const Command& command : monitor->takeCommands()) {
      if (logTakesCommands) {
        state.apply(command);
        monitor->stateChanged();
      }
    }
  }
  void run(base::Duration duration) {
    for (const base::TimePoint end = now + duration; now < end; now += kStep) {
      monitor->review(now, kOverdue, [this](const WorkerId& id) -> CrashMonitor::Contact {
        const auto found = heartbeatAt.find(id);
        if (found == heartbeatAt.end()) {
          return {std::nullopt, receivingSince};
        }
        return {found->second, std::max(found->second, receivingSince)};
      });
      commit();
    }
  }
  /// Lets the worker make contact, then crash with these requests.
  void crash(const char* worker, const std::vector<RequestDigest>& requests) {
    heartbeat(worker);
    cut(worker, requests);
    run(kOverdue + 2 * kStep);
  }
  std::size_t crashesOf(const RequestDigest& request) const {
    const auto found = state.requestCrashes().evidence().find(request);
    return found == state.requestCrashes().evidence().end() ? 0 : found->second.crashes.size();
  }
  std::optional<RequestStanding> standingOf(const RequestDigest& request) const {
    std::optional<RequestStanding> standing;
    for (const SuspectRequest& suspect : monitor->list(now).requests) {
      if (suspect.request == request) {
        standing = suspect.standing;
      }
    }
    return standing;
  }
  void checkStanding(const RequestDigest& request, std::optional<RequestStanding> expected) const {
    CHECK(standingOf(request) == expected);
  }
};

TEST(CrashMonitorTest, aWorkerWithContactAfterTheCutHasNotEnded) {
  cut("w1", {kRequest});
  run(500ms);
  heartbeat("w1");
  run(5s);
  CHECK_EQUAL(0, crashesOf(kRequest));
}

TEST(CrashMonitorTest, aHeartbeatInFlightAtTheCutDoesNotShowThatTheWorkerIsAlive) {
  cut("w1", {kRequest});
  now += 20ms;
  heartbeat("w1");
  run(kOverdue + 2 * kStep);
  CHECK_EQUAL(1, crashesOf(kRequest));
}

TEST(CrashMonitorTest, aWorkerWhoseNextHeartbeatIsOverdueHasEnded) {
  cut("w1", {kRequest, kOther});
  run(kOverdue);
  CHECK_EQUAL(0, crashesOf(kRequest));
  run(2 * kStep);
  CHECK_EQUAL(1, crashesOf(kRequest));
  CHECK_EQUAL(1, crashesOf(kOther));
}

TEST(CrashMonitorTest, aWorkerReplacedByAnotherIncarnationHasEnded) {
  cut("w1", {kRequest});
  add("w9", '1');
  run(2 * kStep);
  CHECK_EQUAL(1, crashesOf(kRequest));
}

TEST(CrashMonitorTest, theEndOfALeavingWorkerIsNoCrash) {
  add("w1", '1', true);
  cut("w1", {kRequest});
  run(5s);
  CHECK_EQUAL(0, crashesOf(kRequest));
}

TEST(CrashMonitorTest, aCrashIsRetractedIfTheWorkerMakesContact) {
  crash("w1", {kRequest});
  CHECK_EQUAL(1, crashesOf(kRequest));
  heartbeat("w1");
  run(kStep);
  CHECK_EQUAL(0, crashesOf(kRequest));
}

TEST(CrashMonitorTest, standingsFollowTheNumberOfCrashes) {
  crash("w1", {kRequest, kOther});
  checkStanding(kRequest, std::nullopt);
  crash("w2", {kRequest});
  checkStanding(kRequest, RequestStanding::suspected);
  heartbeat("w3");
  cut("w3", {kRequest});
  run(kStep);
  checkStanding(kRequest, RequestStanding::held);
  run(kOverdue + 2 * kStep);
  checkStanding(kRequest, RequestStanding::quarantined);
  checkStanding(kOther, std::nullopt);
}

/// Suspects that are retried together would be cut together again and could not be told apart.
TEST(CrashMonitorTest, suspectsOfTheSameCrashesRunInTurns) {
  RequestDigest first = digest(1);
  RequestDigest second = digest(2);
  for (std::size_t slice = 0; slice < first.bytes.size(); ++slice) {
    first.bytes[slice] = static_cast<std::uint8_t>(slice);
    second.bytes[slice] = static_cast<std::uint8_t>(slice + 1);
  }
  crash("w1", {first, second});
  crash("w2", {first, second});
  bool firstRan = false;
  bool secondRan = false;
  for (int slice = 0; slice < 3; ++slice) {
    run(2s);
    const bool firstRuns = standingOf(first) == RequestStanding::suspected;
    const bool secondRuns = standingOf(second) == RequestStanding::suspected;
    CHECK(firstRuns != secondRuns);
    firstRan = firstRan || firstRuns;
    secondRan = secondRan || secondRuns;
  }
  CHECK(firstRan && secondRan);
  run(10s);
  checkStanding(first, RequestStanding::suspected);
  checkStanding(second, RequestStanding::suspected);
}

/// The other suspects are retried meanwhile and may turn out to be the cause.
TEST(CrashMonitorTest, theVerdictOnAThirdCrashWaitsForThoseBeside) {
  crash("w1", {kRequest, kOther});
  crash("w2", {kRequest, kOther});
  crash("w3", {kRequest});
  checkStanding(kRequest, RequestStanding::held);
  run(2s);
  checkStanding(kRequest, RequestStanding::quarantined);
}

TEST(CrashMonitorTest, afterASuspensionAThirdCrashIsAsOldAsItIs) {
  crash("w1", {kRequest, kOther});
  crash("w2", {kRequest, kOther});
  crash("w3", {kRequest});
  checkStanding(kRequest, RequestStanding::held);
  now += 60s;
  run(kStep);
  checkStanding(kRequest, RequestStanding::quarantined);
}

TEST(CrashMonitorTest, aHeldRequestIsReleasedIfTheWorkerHadNotEnded) {
  crash("w1", {kRequest});
  crash("w2", {kRequest});
  heartbeat("w3");
  cut("w3", {kRequest});
  run(200ms);
  checkStanding(kRequest, RequestStanding::held);
  heartbeat("w3");
  run(2 * kStep);
  checkStanding(kRequest, RequestStanding::suspected);
}

TEST(CrashMonitorTest, aNewLeaderContinuesFromTheEvidenceInTheLog) {
  crash("w1", {kRequest});
  crash("w2", {kRequest});
  monitor = std::make_unique<CrashMonitor>(state, log);
  crash("w3", {kRequest});
  monitor = std::make_unique<CrashMonitor>(state, log);
  run(kStep);
  checkStanding(kRequest, RequestStanding::quarantined);
}

TEST(CrashMonitorTest, aNewLeaderTakesReportsOfCutsFromBeforeIt) {
  now += 10s;
  receivingSince = now;
  heartbeatAt.clear();
  cut("w1", {kRequest}, 2s);
  run(kOverdue);
  CHECK_EQUAL(0, crashesOf(kRequest));
  run(2 * kStep);
  CHECK_EQUAL(1, crashesOf(kRequest));
}

TEST(CrashMonitorTest, lostEvidenceIsProposedAgain) {
  logTakesCommands = false;
  crash("w1", {kRequest});
  logTakesCommands = true;
  run(1100ms);
  CHECK_EQUAL(1, crashesOf(kRequest));
}

TEST(CrashMonitorTest, anAnsweredRequestIsNoLongerASuspect) {
  crash("w1", {kRequest});
  crash("w2", {kRequest});
  CutReport report;
  report.answered.push_back(kRequest);
  monitor->report(report, now);
  run(2 * kStep);
  CHECK_EQUAL(0, crashesOf(kRequest));
  checkStanding(kRequest, std::nullopt);
}

TEST(CrashMonitorTest, aQuarantineExpiresAndReturnsAfterOneMoreCrash) {
  crash("w1", {kRequest});
  crash("w2", {kRequest});
  crash("w3", {kRequest});
  now += CrashMonitor::kEvidenceRetention;
  for (const char* id : {"w4"}) {
    heartbeatAt[{id}] = now;
  }
  run(2 * kStep);
  checkStanding(kRequest, RequestStanding::suspected);
  crash("w4", {kRequest});
  checkStanding(kRequest, RequestStanding::quarantined);
}

TEST(CrashMonitorTest, withoutCutsTheListOfSuspectsIsEmpty) {
  run(5s);
  CHECK_FALSE(monitor->takeChanged());
  CHECK(monitor->list(now).requests.empty());
}
