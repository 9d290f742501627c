#pragma once
/// @file
/// Reports the demand of this router, i.e. its waiting and running requests by target, to the
/// cell's leader.

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "routing/cluster_view.h"
#include "routing/controller_sessions.h"
#include "routing/engine_selector.h"
#include "routing/request_queue.h"
#include "routing/request_table.h"
#include "routing/target_table.h"

namespace walnut::routing {

/// Sends demand reports, each part as soon as the leader needs it:
/// - waiting requests, which may need a replica: within demandInterval;
/// - running requests, which keep replicas loaded and determine their number: at once if the number
///   changed much, else within seconds, since the engines' own reports show the leader what is in
///   use;
/// - everything that is waiting or running: to a new leader, and periodically.
/// An empty report each second is the router's heartbeat, since the leader drops the entries of an
/// unresponsive router. Demand is state, so a repeated report adds nothing. Within a connection no
/// report is lost; a new connection or a new term of the leader begins with a complete report.
class DemandReporter {
 public:
  DemandReporter(const RouterOptions& options, base::RouterId id) : options_(options), id_(id) {}

  void markChanged(const std::string& target) { changedTargets_.insert(target); }
  /// Requests a report within milliseconds, because a target got its first waiting request without
  /// a ready replica. Requests of the next few milliseconds share the report.
  void requestUrgentReport(base::TimePoint now);
  /// @param leader the session with the leader, if it is known and connected.
  void setLeader(base::TimePoint now, const std::optional<LeaderSession>& leader);
  base::TimePoint nextWakeup() const { return nextReportAt_; }

  /// Sends a report to the leader if one is due.
  /// @param selector provides the outcomes, which are taken once they are sent.
  void tick(base::TimePoint now, const std::map<std::string, Target>& targets,
            const RequestQueue& queue, const ClusterView& view, const RequestTable& requests,
            EngineSelector& selector, std::vector<RouterAction>& actions);

 private:
  /// Entry of a target as last reported to the leader.
  struct Reported {
    protocol::Demand demand;
    base::TimePoint at;
  };
  enum class Urgency : std::uint8_t { now, later, never };

  std::optional<protocol::Demand> makeEntry(base::TimePoint now, const std::string& name,
                                            const Target& target, const RequestQueue& queue,
                                            const ClusterView& view) const;
  /// @return when the difference from the last reported entry has to be reported.
  Urgency urgencyOf(base::TimePoint now, const std::string& name,
                    const protocol::Demand& demand) const;
  std::vector<protocol::Demand> allActive(base::TimePoint now,
                                          const std::map<std::string, Target>& targets,
                                          const RequestQueue& queue, const ClusterView& view);
  std::vector<protocol::Demand> changedEntries(base::TimePoint now,
                                               const std::map<std::string, Target>& targets,
                                               const RequestQueue& queue, const ClusterView& view);

  /// Adds the streams that have to continue with a previous version, where the leader's count
  /// differs.
  void addPreviousVersions(const ClusterView& view, const RequestTable& requests, bool complete,
                           std::vector<protocol::Demand>& entries);

  const RouterOptions& options_;
  base::RouterId id_;
  std::optional<LeaderSession> leader_;
  /// Targets whose entry may differ from the leader's. Those with waiting requests stay here,
  /// because the entry of a refused request expires without any event.
  std::set<std::string> changedTargets_;
  std::map<std::string, Reported> reportedEntries_;
  /// Number of streams that wait for a servable of a previous version, as last reported.
  std::map<resource::Servable, std::uint32_t> reportedPrevious_;
  std::uint64_t sequence_ = 0;
  base::TimePoint nextReportAt_;
  base::TimePoint nextCompleteAt_;
  base::TimePoint lastSentAt_;
};

}  // namespace walnut::routing
