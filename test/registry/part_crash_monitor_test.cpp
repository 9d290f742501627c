/// Tests of PartCrashMonitor: when requests with a part of a prompt are refused, and until when.

#include "registry/part_crash_monitor.h"

#include "walnut/registry/feature_level.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::registry;
using namespace std::chrono_literals;

namespace {

constexpr base::Duration kStep = 50ms;

PromptPartDigest part(std::uint8_t number) {
  PromptPartDigest made;
  made.bytes[0] = number;
  return made;
}

const PromptPartDigest kCrashing = part(1);
const PromptPartDigest kFirst = part(2);

}  // namespace

TEST_GROUP(PartCrashMonitorTest) {
  CellState state;
  runtime::NullEventLog log;
  std::unique_ptr<PartCrashMonitor> monitor = std::make_unique<PartCrashMonitor>(state, log);
  base::TimePoint now = base::TimePoint(1000s);
  std::uint8_t lastRequest = 0;

  void setup() override { state.apply(RaiseFeatureLevel{feature::kPromptParts}); }
  void run(base::Duration duration) {
    for (const base::TimePoint end = now + duration; now < end; now += kStep) {
      monitor->review(now);
      for (const Command& command : monitor->takeCommands()) {
        state.apply(command);
      }
    }
  }
  void cut(const std::string& worker, const std::vector<PromptPartDigest>& parts) {
    RequestDigest request;
    request.bytes[0] = ++lastRequest;
    monitor->addParts({{{request, {worker}, parts}}});
    monitor->addCut({request, {worker}, false, 0s}, now);
  }
  void crash(const std::string& worker, const std::vector<PromptPartDigest>& parts) {
    cut(worker, parts);
    run(100ms);
    monitor->confirm({worker}, now);
    run(100ms);
  }
  void crashThree(const std::vector<PromptPartDigest>& parts) {
    for (const char* worker : {"w1", "w2", "w3"}) {
      crash(worker, parts);
    }
  }
  void answer(const PromptPartDigest& answered, base::Duration age = 0s) {
    monitor->addAnswers({{{answered, age}}}, now);
  }
  std::optional<PartStanding> standingOf(const PromptPartDigest& wanted, bool onTrial = false) {
    for (const SuspectPart& suspect : monitor->list(now, onTrial).parts) {
      if (suspect.part == wanted) {
        return suspect.standing;
      }
    }
    return std::nullopt;
  }
  void checkStanding(const PromptPartDigest& wanted, std::optional<PartStanding> expected,
                     bool onTrial = false) {
    CHECK(standingOf(wanted, onTrial) == expected);
  }
};

TEST(PartCrashMonitorTest, withoutCrashesNothingIsListedOrReplicated) {
  run(5s);
  CHECK(monitor->list(now, false).parts.empty());
  CHECK_FALSE(monitor->takeChanged());
  CHECK(state.refusedParts().empty());
}

TEST(PartCrashMonitorTest, aPartIsWatchedOneCrashBelowTheLimitAndRefusedAtIt) {
  crash("w1", {kCrashing});
  checkStanding(kCrashing, std::nullopt);
  crash("w2", {kCrashing});
  checkStanding(kCrashing, PartStanding::watched);
  crash("w3", {kCrashing});
  run(1s);
  checkStanding(kCrashing, PartStanding::refused);
  CHECK_EQUAL(1, state.refusedParts().size());
}

/// Gateways have to be heard before a part is refused.
TEST(PartCrashMonitorTest, aPartIsNotRefusedBeforeItWasWatchedForASecond) {
  crashThree({kCrashing});
  run(500ms);
  checkStanding(kCrashing, PartStanding::watched);
}

TEST(PartCrashMonitorTest, aPartThatGatewaysSawAnsweredIsNotRefused) {
  crashThree({kFirst, kCrashing});
  answer(kFirst);
  run(2s);
  checkStanding(kFirst, PartStanding::watched);
  checkStanding(kCrashing, PartStanding::refused);
}

TEST(PartCrashMonitorTest, aPartThatWasAnsweredAMomentBeforeTheCrashesIsRefusedASecondLater) {
  crash("w1", {kCrashing});
  crash("w2", {kCrashing});
  answer(kCrashing, 2s);
  run(1500ms);
  crash("w3", {kCrashing});
  run(500ms);
  checkStanding(kCrashing, PartStanding::watched);
  run(1s);
  checkStanding(kCrashing, PartStanding::refused);
}

// Guards against a refused part that is sent again since another one has its crashes too.
TEST(PartCrashMonitorTest, aRefusedPartStaysRefusedBesideASecondOneWithTheSameCrashes) {
  crashThree({kCrashing, kFirst});
  answer(kFirst);
  run(2s);
  checkStanding(kCrashing, PartStanding::refused);
  const PromptPartDigest second = part(3);
  for (const char* worker : {"w1", "w2", "w3"}) {
    cut(worker, {second});
  }
  crash("w4", {second});
  run(2s);
  checkStanding(second, PartStanding::refused);
  checkStanding(kCrashing, PartStanding::refused);
}

TEST(PartCrashMonitorTest, aRefusedPartIsReleasedIfAnotherOneHasClearlyMoreCrashes) {
  const PromptPartDigest other = part(3);
  crashThree({kCrashing, other});
  run(2s);
  const bool isFirst = standingOf(other) == PartStanding::refused;
  const PromptPartDigest wrong = isFirst ? other : kCrashing;
  const PromptPartDigest right = isFirst ? kCrashing : other;
  for (const char* worker : {"w4", "w5", "w6"}) {
    crash(worker, {right});
  }
  run(2s);
  checkStanding(right, PartStanding::refused);
  CHECK(standingOf(wrong) != PartStanding::refused);
}

TEST(PartCrashMonitorTest, anotherLeaderKeepsAPartRefused) {
  crashThree({kCrashing});
  run(2s);
  monitor = std::make_unique<PartCrashMonitor>(state, log);
  run(60s);
  checkStanding(kCrashing, PartStanding::refused);
}

TEST(PartCrashMonitorTest, aRefusedPartThatIsAnsweredIsReleasedForGood) {
  crashThree({kCrashing});
  run(2s);
  answer(kCrashing);
  run(2s);
  CHECK(standingOf(kCrashing) != PartStanding::refused);
  CHECK(state.refusedParts().empty());
}

TEST(PartCrashMonitorTest, aRefusedPartIsTriedByOneGatewayAndThenOnlyAfterTheRetentionPeriod) {
  crashThree({kCrashing});
  run(10s);
  checkStanding(kCrashing, PartStanding::refused, true);
  run(15s);
  checkStanding(kCrashing, PartStanding::onTrial, true);
  checkStanding(kCrashing, PartStanding::refused, false);
  crash("w9", {kCrashing});
  checkStanding(kCrashing, PartStanding::refused, true);
  run(PartCrashMonitor::kRetention - 1s);
  checkStanding(kCrashing, PartStanding::refused, true);
  run(2s);
  checkStanding(kCrashing, PartStanding::onTrial, true);
}

// Guards against a refusal that expires at all gateways a moment before they are told of the trial.
TEST(PartCrashMonitorTest, aRefusalOutlivesTheTrialAtGateways) {
  crashThree({kCrashing});
  for (int second = 0; second < 40; ++second) {
    run(1s);
    const std::vector<SuspectPart> parts = monitor->list(now, false).parts;
    const auto found = std::find_if(parts.begin(), parts.end(), [](const SuspectPart& suspect) {
      return suspect.standing == PartStanding::refused;
    });
    CHECK(found == parts.end() || found->remaining > 60s);
  }
}

TEST(PartCrashMonitorTest, aWorkerThatMakesContactAgainDidNotCrash) {
  crashThree({kCrashing});
  run(2s);
  monitor->recordContact({"w2"});
  run(1s);
  CHECK(standingOf(kCrashing) != PartStanding::refused);
  CHECK(state.refusedParts().empty());
}

TEST(PartCrashMonitorTest, inACellOfAnEarlierLevelNothingIsReplicated) {
  state = CellState();
  crashThree({kCrashing});
  run(2s);
  checkStanding(kCrashing, PartStanding::refused);
  CHECK(state.refusedParts().empty());
}

TEST(PartCrashMonitorTest, aSnapshotHasTheRefusedParts) {
  state.apply(RefusePart{kCrashing, 4});
  CellState copy;
  CHECK(copy.restore(state.encode()).has_value());
  CHECK(copy.refusedParts() == state.refusedParts());
  state.apply(ReleaseParts{{kCrashing}});
  CHECK(state.refusedParts().empty());
}
