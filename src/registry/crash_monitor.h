#pragma once
/// @file
/// Identifies requests that crash workers, from the requests that gateways report as cut and the
/// workers that ended.

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

#include "registry/cell_state.h"
#include "registry/part_crash_monitor.h"
#include "walnut/registry/messages.h"
#include "walnut/runtime/event_log.h"

namespace walnut::registry {

/// Detector of requests that crash workers; used by the leader. A cut request is evidence only once
/// its worker is known to have ended, as full workers reset connections and networks lose them;
/// until then the crash is pending. A worker that makes contact after the cut has not ended; one
/// that was replaced by another incarnation, or whose next heartbeat is overdue, has. Evidence is
/// stored in the replicated state (CrashLedger) and retracted if the worker makes contact later. A
/// crash that a part of a prompt explains (PartCrashMonitor) is no evidence against requests.
///
/// Standings of a request: none -> suspected (one crash below the limit, and in its time slice) <->
/// held (outside its time slice, or while the next crash is pending or new) -> quarantined (at the
/// limit) -> suspected, after `kEvidenceRetention`; or none, once the request is answered.
class CrashMonitor {
 public:
  /// Contact of this leader with a worker.
  struct Contact {
    std::optional<base::TimePoint> lastHeartbeat;  ///< Last heartbeat; nothing: none yet.
    base::TimePoint unresponsiveSince;  ///< Counts only time in which contact was possible.
  };
  using ContactOf = std::function<Contact(const WorkerId&)>;

  CrashMonitor(const CellState& state, runtime::EventLog& log)
      : state_(state), log_(log), parts_(state, log) {}

  void report(const CutReport& report, base::TimePoint now);
  /// To be called before `report` with the same requests.
  void reportParts(const CutPartsReport& report) { parts_.addParts(report); }
  void reportAnswered(const PartsAnswered& report, base::TimePoint now) {
    parts_.addAnswers(report, now);
  }
  /// Records a heartbeat of the worker; retracts its crash if one was recorded.
  void recordContact(const WorkerId& worker);
  /// To be called when the replicated state may have changed.
  void stateChanged() { dirty_ = true; }
  /// Confirms or denies pending crashes and updates the standings of requests.
  /// @param overdueAfter time without contact after which a worker counts as ended.
  void review(base::TimePoint now, base::Duration overdueAfter, const ContactOf& contactOf);

  std::vector<Command> takeCommands() { return std::exchange(commands_, {}); }
  /// @return true if `list` has changed since the last call.
  bool takeChanged() { return std::exchange(changed_, false); }
  SuspectList list(base::TimePoint now) const;
  PartCrashMonitor& parts() { return parts_; }

  /// Retention period of evidence. A request that crashes workers does so until they run other
  /// software, and costs one worker per period. Callers retry for seconds or minutes.
  static constexpr base::Duration kEvidenceRetention = std::chrono::minutes(10);

 private:
  struct PendingCrash {
    base::TimePoint cutAt;                   ///< When the first of its requests was cut.
    std::map<RequestDigest, bool> requests;  ///< Maps to true if the request had begun.
    std::optional<base::TimePoint> proposedAt;
  };
  struct Suspect {
    RequestStanding standing = RequestStanding::suspected;
    std::uint32_t crashes = 0;
    base::TimePoint since;  ///< Time of the last change of standing or crashes.
  };

  void decide(const WorkerId& worker, PendingCrash& pending, base::TimePoint now,
              base::Duration overdueAfter, const ContactOf& contactOf);
  static StoreCrash crashOf(const WorkerId& worker, const PendingCrash& pending);
  void confirm(const WorkerId& worker, PendingCrash& pending, std::string_view evidence,
               base::TimePoint now);
  void reviewParts(base::TimePoint now);
  void retractExplained();
  void classify(base::TimePoint now);
  std::set<RequestDigest> expectedCauses() const;
  std::optional<RequestStanding> standingOf(const RequestDigest& request,
                                            const RequestCrashLedger::Evidence& evidence,
                                            const std::set<RequestDigest>& causes,
                                            const std::set<RequestDigest>& likelyCauses,
                                            base::TimePoint now) const;
  bool hasOtherSuspects(const RequestDigest& request) const;
  bool canQuarantine(const RequestDigest& request, const RequestCrashLedger::Evidence& evidence,
                     base::TimePoint now) const;
  void setStanding(const RequestDigest& request, RequestStanding standing,
                   const RequestCrashLedger::Evidence& evidence, base::TimePoint now);
  void release(base::TimePoint now);
  void ageEvidence(base::TimePoint now);

  const CellState& state_;
  runtime::EventLog& log_;
  PartCrashMonitor parts_;
  std::map<WorkerId, PendingCrash> pending_;
  std::map<RequestDigest, Suspect> suspects_;
  /// Last crash of each request's evidence, and when this leader first saw it.
  std::map<RequestDigest, std::pair<std::uint64_t, base::TimePoint>> evidenceAt_;
  std::set<WorkerId> retracting_;
  base::TimePoint classifiedAt_;
  bool dirty_ = true;
  bool changed_ = false;
  std::vector<Command> commands_;
};

}  // namespace walnut::registry
