#pragma once
/// @file
/// Reports to the cell's leader which targets have waiting or running requests here.

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

/// What the leader decides by and how soon it has to know it:
/// - waiting requests, which may need a replica: within demandInterval;
/// - running requests, which keep replicas and size their number: at once if the number changed
///   much, else within seconds, since the engines' own reports show the leader what is in use;
/// - everything that is waiting or running: to a new leader, and now and then.
/// An empty report each second tells that the router is alive, since the leader drops the entries
/// of a silent one. Demand is state: a repeated report adds nothing. Within a connection none is
/// lost; a new connection or a new term of the leader begins with a complete one.
class DemandReporter {
 public:
  DemandReporter(const RouterOptions& options, base::RouterId id) : options_(options), id_(id) {}

  void changed(const std::string& target) { changed_.insert(target); }
  /// A target got its first waiting request without a ready replica: report soon, together with
  /// whatever else arrives within a few milliseconds.
  void urgent(base::TimePoint now);
  /// @param leader the leadership as far as it is known and connected.
  void leaderChanged(base::TimePoint now, const std::optional<LeaderSession>& leader);
  base::TimePoint nextWakeup() const { return nextAt_; }

  /// Sends what is due to the leader.
  /// @param selector whose outcomes are taken once they are sent.
  void tick(base::TimePoint now, const std::map<std::string, Target>& targets,
            const RequestQueue& queue, const ClusterView& view, const RequestTable& requests,
            EngineSelector& selector, std::vector<RouterAction>& actions);

 private:
  /// The entry that the leader holds of a target.
  struct Reported {
    protocol::Demand demand;
    base::TimePoint at;
  };
  enum class Due : std::uint8_t { now, later, never };

  std::optional<protocol::Demand> entry(base::TimePoint now, const std::string& name,
                                        const Target& target, const RequestQueue& queue,
                                        const ClusterView& view) const;
  /// @return when the difference to what the leader holds has to be reported.
  Due dueOf(base::TimePoint now, const std::string& name, const protocol::Demand& demand) const;
  std::vector<protocol::Demand> allActive(base::TimePoint now,
                                          const std::map<std::string, Target>& targets,
                                          const RequestQueue& queue, const ClusterView& view);
  std::vector<protocol::Demand> changedEntries(base::TimePoint now,
                                               const std::map<std::string, Target>& targets,
                                               const RequestQueue& queue, const ClusterView& view);

  /// Adds streams that have to go on with a former version, where the leader does not know them so.
  void addFormerVersions(const ClusterView& view, const RequestTable& requests, bool complete,
                         std::vector<protocol::Demand>& entries);

  const RouterOptions& options_;
  base::RouterId id_;
  std::optional<LeaderSession> leader_;
  /// Targets whose entry may differ from the leader's. Those with waiting requests stay here: an
  /// entry of a refused request changes by the passing of time alone.
  std::set<std::string> changed_;
  std::map<std::string, Reported> reported_;
  /// Streams that wait for a servable of a former version, as the leader knows them.
  std::map<resource::Servable, std::uint32_t> reportedFormer_;
  std::uint64_t sequence_ = 0;
  base::TimePoint nextAt_;
  base::TimePoint completeAt_;
  base::TimePoint sentAt_;
};

}  // namespace walnut::routing
