#pragma once
/// @file
/// Which workers fail what they are sent, whatever they say of themselves.

#include <cstdint>
#include <map>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

#include "walnut/base/time.h"
#include "walnut/protocol/messages.h"
#include "walnut/registry/messages.h"

namespace walnut::registry {

/// A change of what is held of a worker, with what decided it.
struct WorkerVerdict {
  WorkerId worker;
  bool failing = false;
  double share = 0;            ///< Of its latest attempts, those that failed.
  double restShare = 0;        ///< The same of the other workers of its service.
  std::uint32_t gateways = 0;  ///< That have seen it fail.
  base::Duration heldFor{0};   ///< How long the former verdict was held; 0: it is the first one.
};

/// Kept by the leader; empty at the start of its leadership. Gateways report the outcomes of their
/// attempts; each alone sees too few of one worker to judge it.
///
/// A worker is failing once half or more of its latest attempts failed, clearly more than of the
/// other workers of its service: where all fail alike, none of them is worth avoiding. One gateway
/// alone condemns nobody, as it may be what fails. The verdict ends after a while, so that the
/// worker is tried again, or as soon as attempts that were made all the same succeed.
class WorkerJudge {
 public:
  void report(protocol::ConnectionId gateway, const WorkerOutcomes& outcomes, base::TimePoint now);
  /// @return true if a review may change a verdict.
  bool reviewDue(base::TimePoint now) const;
  /// @param services the workers of each service. @param gateways that report.
  void review(const std::map<std::string_view, std::vector<WorkerId>>& services,
              std::size_t gateways, base::TimePoint now);
  /// Forgets all workers for which the predicate holds.
  template <class Predicate>
  void forgetIf(Predicate predicate) {
    std::erase_if(records_, [&predicate](const auto& entry) { return predicate(entry.first); });
  }

  bool failing(const WorkerId& worker) const;
  /// @return changes since the last call.
  std::vector<WorkerVerdict> takeChanges() { return std::exchange(changes_, {}); }

 private:
  struct Record {
    double share = 0;
    base::TimePoint reportedAt;
    std::set<protocol::ConnectionId> accusers;  ///< Gateways that have seen it fail.
    bool failing = false;
    base::TimePoint verdictAt;   ///< Of the present verdict, if it is not the first.
    base::TimePoint trialAt;     ///< When a failing worker is tried again.
    std::uint32_t relapses = 0;  ///< Verdicts since it last answered well.
  };

  void reviewService(const std::vector<WorkerId>& workers, std::size_t gateways,
                     base::TimePoint now);
  void endVerdict(const WorkerId& worker, Record& record, base::TimePoint now);
  void condemn(const WorkerId& worker, Record& record, double restShare, base::TimePoint now);
  void note(const WorkerId& worker, Record& record, double restShare, base::TimePoint now);

  std::map<WorkerId, Record> records_;  ///< Of workers with outcomes.
  bool unreviewed_ = false;             ///< Outcomes came that may change a verdict.
  std::vector<WorkerVerdict> changes_;
};

}  // namespace walnut::registry
