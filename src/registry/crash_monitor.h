#pragma once
/// @file
/// Finds the requests that crash their workers, from what gateways tell of cut requests and from
/// which workers ended.

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

#include "registry/cell_state.h"
#include "walnut/registry/messages.h"
#include "walnut/runtime/event_log.h"

namespace walnut::registry {

/// Kept by the leader. A cut request is evidence only once its worker is known to have ended: a
/// full worker resets connections, and a network loses them. Until then it is pending. A worker
/// that is heard after the cut has not ended; one that is replaced by another incarnation, or
/// whose next heartbeat is overdue, has. Evidence goes into the replicated state (CrashLedger), and
/// is taken back if the worker is heard all the same.
///
/// Standings: none -> suspected (one crash below the limit, and its turn to run) <-> held
/// (another's turn; or the next crash is pending, or new) -> quarantined (at the limit) ->
/// suspected, after `kEvidenceLasts`; or none, once it is answered.
class CrashMonitor {
 public:
  /// What this leader heard of a worker.
  struct Signs {
    std::optional<base::TimePoint> heardAt;  ///< Its own word; nothing: none yet.
    base::TimePoint silentSince;             ///< While it could have been heard.
  };
  using SignsOf = std::function<Signs(const WorkerId&)>;

  CrashMonitor(const CellState& state, runtime::EventLog& log) : state_(state), log_(log) {}

  void report(const CutReport& report, base::TimePoint now);
  /// A heartbeat of the worker came.
  void heard(const WorkerId& worker);
  /// The replicated state may have changed.
  void stateChanged() { dirty_ = true; }
  /// Decides what can be decided now.
  /// @param overdueAfter a worker that was not heard for so long after a cut has ended.
  void review(base::TimePoint now, base::Duration overdueAfter, const SignsOf& signsOf);

  std::vector<Command> takeCommands() { return std::exchange(commands_, {}); }
  /// @return true if the list has changed since the last call.
  bool takeChanged() { return std::exchange(changed_, false); }
  SuspectList list(base::TimePoint now) const;

  /// Evidence is kept so long. What crashes its workers does so until they run other software: in
  /// this time it costs one worker. Callers come back for seconds or minutes.
  static constexpr base::Duration kEvidenceLasts = std::chrono::minutes(10);

 private:
  struct PendingCrash {
    base::TimePoint cutAt;                   ///< The first of its requests.
    std::map<RequestDigest, bool> requests;  ///< Whether each had begun.
    std::optional<base::TimePoint> proposedAt;
  };
  struct Suspect {
    RequestStanding standing = RequestStanding::suspected;
    std::uint32_t crashes = 0;
    base::TimePoint since;  ///< Of the latest change of either.
  };

  void decide(const WorkerId& worker, PendingCrash& pending, base::TimePoint now,
              base::Duration overdueAfter, const SignsOf& signsOf);
  static StoreCrash crashOf(const WorkerId& worker, const PendingCrash& pending);
  void confirm(const WorkerId& worker, PendingCrash& pending, std::string_view evidence,
               base::TimePoint now);
  void judge(base::TimePoint now);
  std::set<RequestDigest> expectedGuilty() const;
  std::optional<RequestStanding> standingOf(const RequestDigest& request,
                                            const RequestCrashLedger::Evidence& evidence,
                                            const std::set<RequestDigest>& guilty,
                                            const std::set<RequestDigest>& likely,
                                            base::TimePoint now) const;
  bool hasOtherSuspects(const RequestDigest& request) const;
  bool settled(const RequestDigest& request, const RequestCrashLedger::Evidence& evidence,
               base::TimePoint now) const;
  void note(const RequestDigest& request, RequestStanding standing,
            const RequestCrashLedger::Evidence& evidence, base::TimePoint now);
  void release(base::TimePoint now);
  void ageEvidence(base::TimePoint now);

  const CellState& state_;
  runtime::EventLog& log_;
  std::map<WorkerId, PendingCrash> pending_;
  std::map<RequestDigest, Suspect> suspects_;
  /// When each request's evidence was last added to, as seen by this leader.
  std::map<RequestDigest, std::pair<std::uint64_t, base::TimePoint>> evidenceAt_;
  std::set<WorkerId> retracting_;
  base::TimePoint judgedAt_;
  bool dirty_ = true;
  bool changed_ = false;
  std::vector<Command> commands_;
};

}  // namespace walnut::registry
