#pragma once
/// @file
/// Identifies parts of prompts that crash workers, from the requests that were cut at workers which
/// ended and from what gateways have seen answered.

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "registry/cell_state.h"
#include "registry/part_evidence.h"
#include "walnut/registry/messages.h"
#include "walnut/runtime/event_log.h"

namespace walnut::registry {

/// Detector of parts that crash workers, beside CrashMonitor, which decides whether a worker has
/// ended. What acquits a part is that a request with it was answered. Gateways remember that of all
/// parts, but report it only of those that the leader names.
///
/// Standings of a part: none -> watched (one crash below the limit) -> refused (at the limit, and
/// watched for long enough to be acquitted) -> on trial, some time after the last crash -> refused
/// for longer, or none once a request with it is answered. A part that was just refused is released
/// too if further evidence shows another part to be the cause. The evidence is soft state: gateways
/// report their cuts of the last minute to each new leader. Refused parts are replicated.
class PartCrashMonitor {
 public:
  PartCrashMonitor(const CellState& state, runtime::EventLog& log) : state_(state), log_(log) {}

  /// @name Evidence
  /// @{
  void addParts(const CutPartsReport& report);
  void addCut(const CutRequest& cut, base::TimePoint now);
  void confirm(const WorkerId& worker, base::TimePoint now);
  void deny(const WorkerId& worker);
  /// Records a heartbeat of the worker: it has not ended.
  void recordContact(const WorkerId& worker) {
    if (evidence_.isConfirmed(worker)) {
      deny(worker);
    }
  }
  void addAnswers(const PartsAnswered& report, base::TimePoint now);
  /// @}
  void review(base::TimePoint now);

  /// @return true if a refused part explains the crash of that worker.
  bool explains(const WorkerId& worker) const;
  /// @return the crashes that refused parts explain.
  std::set<WorkerId> explained() const;
  /// @return true if that has changed since the last call.
  bool takeExplainedChanged() { return std::exchange(explainedChanged_, false); }

  std::vector<Command> takeCommands() { return std::exchange(commands_, {}); }
  /// @return true if `list` has changed since the last call.
  bool takeChanged() { return std::exchange(changed_, false); }
  /// @param onTrial the list is for the gateway that sends requests with parts on trial.
  SuspectPartList list(base::TimePoint now, bool onTrial) const;
  /// @return the number of the present trial: one gateway after the other takes part.
  static std::size_t trialNumber(base::TimePoint now) {
    return static_cast<std::size_t>(now.time_since_epoch() / kTrialPeriod);
  }

  /// Time after the last crash for which a part is refused, as with requests (CrashMonitor).
  static constexpr base::Duration kRetention = std::chrono::minutes(10);

 private:
  /// Time after the last crash until the first trial, in case that the part is not the cause.
  static constexpr base::Duration kFirstTrialAfter = std::chrono::seconds(20);
  static constexpr base::Duration kTrialPeriod = std::chrono::seconds(10);

  struct Watch {
    base::TimePoint since;
    base::TimePoint suspectAt;  ///< When there was last enough evidence to watch it.
    std::optional<base::TimePoint> atLimitSince;
  };
  struct Refusal {
    base::TimePoint refusedAt;
    base::TimePoint since;                         ///< Time of the last crash.
    base::Duration untilTrial = kFirstTrialAfter;  ///< Counted from then.
    std::uint32_t crashes = 0;
    bool final = false;  ///< Stands without evidence, until a request with the part is answered.
  };

  void adoptRefused(base::TimePoint now);
  void watch(base::TimePoint now);
  void judge(base::TimePoint now);
  bool mayBeRefused(const PartEvidence::Suspect& suspect, base::TimePoint now);
  void refuse(const PartEvidence::Suspect& suspect, base::TimePoint now);
  void release(const PromptPartDigest& part, std::string_view reason, base::TimePoint now);
  void replicate(base::TimePoint now);
  void reviewTrials(base::TimePoint now);
  bool isOnTrial(const Refusal& refusal, base::TimePoint now) const {
    return now >= refusal.since + refusal.untilTrial;
  }
  std::set<PromptPartDigest> refusedParts(bool finalOnly) const;

  const CellState& state_;
  runtime::EventLog& log_;
  PartEvidence evidence_;
  std::map<PromptPartDigest, Watch> watches_;
  std::map<PromptPartDigest, Refusal> refused_;
  std::set<PromptPartDigest> released_;  ///< Still refused by the replicated state.
  base::TimePoint reviewedAt_;
  base::TimePoint replicatedAt_;
  std::size_t lastTrial_ = 0;
  bool dirty_ = true;
  bool changed_ = false;
  bool explainedChanged_ = false;
  std::vector<Command> commands_;
};

}  // namespace walnut::registry
