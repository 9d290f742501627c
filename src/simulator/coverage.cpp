#include "simulator/coverage.h"

#include <map>

#include "simulator/fault_injector.h"

namespace walnut::simulator {

namespace {

using Counts = std::map<std::string, std::uint64_t>;

/// Follow-ups of faults, counted beside the kinds that are drawn.
constexpr const char* kFollowUps[] = {"disk-replaced", "second-loss-after-repair", "torn-write"};

/// How requests must have ended somewhere in the range.
constexpr base::ErrorCode kRefusals[] = {
    base::ErrorCode::unknownModel,     base::ErrorCode::deadlineUnreachable,
    base::ErrorCode::deadlineExceeded, base::ErrorCode::queueFull,
    base::ErrorCode::duplicateRequest, base::ErrorCode::configurationUnconfirmed,
    base::ErrorCode::claimExpired,     base::ErrorCode::claimUnavailable,
    base::ErrorCode::engineFailed,     base::ErrorCode::stopping,
};
constexpr const char* kOtherOutcomes[] = {"answered", "caller_left", "connection_broke",
                                          "router_unreachable"};
constexpr const char* kWrites[] = {"acknowledged", "resent", "version_conflict"};

class Missing {
 public:
  void require(const char* what, const Counts& counts, const std::string& name) {
    const auto found = counts.find(name);
    require(what + (" " + name), found == counts.end() ? 0 : found->second);
  }
  void require(const std::string& what, std::uint64_t count) {
    if (count == 0) {
      names_.push_back(what);
    }
  }
  std::vector<std::string> take() { return std::move(names_); }

 private:
  std::vector<std::string> names_;
};

std::string describe(const char* what, const Counts& counts) {
  std::string line = what;
  for (const auto& [name, count] : counts) {
    line += " " + name + "=" + std::to_string(count);
  }
  return line;
}

}  // namespace

std::vector<std::string> missingActivity(const ActivityCounters& counters) {
  Missing missing;
  for (const FaultKind kind : allFaultKinds()) {
    missing.require("fault", counters.faults, faultName(kind));
  }
  for (const char* name : kFollowUps) {
    missing.require("fault", counters.faults, name);
  }
  for (const base::ErrorCode code : kRefusals) {
    missing.require("outcome", counters.outcomes, base::errorCodeName(code));
  }
  for (const char* name : kOtherOutcomes) {
    missing.require("outcome", counters.outcomes, name);
  }
  for (const char* name : kWrites) {
    missing.require("write", counters.writes, name);
  }
  missing.require("loads", counters.loads);
  missing.require("unloads", counters.unloads);
  missing.require("leader changes", counters.leaderChanges);
  missing.require("moved streams", counters.movedStreams);
  missing.require("parked streams", counters.parkedStreams);
  missing.require("kept states", counters.keptStates);
  missing.require("resumed streams", counters.resumedStreams);
  missing.require("snapshots installed", counters.snapshotsInstalled);
  return missing.take();
}

std::vector<std::string> describeActivity(const ActivityCounters& counters) {
  return {describe("faults:", counters.faults), describe("requests:", counters.outcomes),
          describe("writes:", counters.writes),
          "activity: loads=" + std::to_string(counters.loads) +
              " unloads=" + std::to_string(counters.unloads) +
              " leader_changes=" + std::to_string(counters.leaderChanges) +
              " moved_streams=" + std::to_string(counters.movedStreams) +
              " parked_streams=" + std::to_string(counters.parkedStreams) +
              " kept_states=" + std::to_string(counters.keptStates) +
              " resumed_streams=" + std::to_string(counters.resumedStreams) +
              " snapshots_installed=" + std::to_string(counters.snapshotsInstalled) +
              " probes=" + std::to_string(counters.probes)};
}

}  // namespace walnut::simulator
