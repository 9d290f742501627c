#pragma once
/// @file
/// Sends gateways updates of the workers and of the document version, as changes since the last
/// update to each gateway.

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "registry/turn_limit.h"
#include "registry/view_interest.h"
#include "walnut/protocol/messages.h"
#include "walnut/registry/messages.h"
#include "walnut/registry/view_codec.h"

namespace walnut::registry {

/// Publisher of incremental view updates to gateways; used by the leader. A connection delivers in
/// order or ends, so updates need no acknowledgement.
///
/// While workers x gateways is small, each gateway is sent every worker. From `kMaxPairs` on, and
/// until the end of the leadership, it is sent only the workers that it follows (ViewInterest),
/// which include those sent to it before.
class ViewPublisher {
 public:
  explicit ViewPublisher(base::Duration interval);

  /// @name Most complete updates per time slice, and the time between slices: gateways that start
  /// together must not block the event loop. An update of 90 workers takes 40 KB, 0.4 ms of a core.
  /// @{
  static constexpr std::size_t kMaxCompleteUpdates = 8;
  static constexpr base::Duration kCompleteSpacing = std::chrono::milliseconds(10);
  /// @}
  /// Number of gateway and worker pairs above which gateways follow only some workers: sending all
  /// these pairs takes some 10 MB at the leader and a second of a small core.
  static constexpr std::size_t kMaxPairs = 100'000;

  /// @param featureLevel feature level that the gateway supports.
  void subscribe(protocol::ConnectionId gateway, const base::ZoneId& zone = {},
                 std::uint32_t featureLevel = 0);
  void unsubscribe(protocol::ConnectionId gateway);
  std::size_t gatewayCount() const { return gateways_.size(); }
  /// @return true while each gateway is sent every worker.
  bool sendsAllWorkers() const { return !interest_; }
  std::vector<protocol::ConnectionId> gateways() const;
  /// Records that a model or adapter was requested from a gateway: see ViewInterest::recordRequest.
  void recordRequest(protocol::ConnectionId gateway, const ModelKey& key, bool waiting,
                     base::TimePoint now);

  /// @param plain true if the worker belongs to a plain service, all of whose workers are equal.
  /// @param maxGateways how many gateways may send requests to it; the others see it as leaving.
  /// While gateways follow only some workers, a limited worker gets requests from none.
  void setWorker(const WorkerView& view, bool plain = false,
                 std::optional<std::size_t> maxGateways = std::nullopt);
  void removeWorker(const WorkerId& worker);
  /// @return the workers that were set and not removed.
  std::vector<WorkerId> workers() const;

  /// @return true if `takeUpdates` would return updates.
  bool due(base::TimePoint now, std::uint64_t documentVersion) const;

  /// Repeats the mark of a gateway in its next update, which is due at once.
  void setMark(protocol::ConnectionId gateway, std::uint64_t mark, base::TimePoint now);

  struct Update {
    protocol::ConnectionId gateway;
    ViewUpdate update;
    ViewCursor& cursor;  ///< For the encoder; valid until the gateway unsubscribes.
  };
  /// @param documentVersion version of the current document; 0: there is none.
  /// @return the updates to send now; the number of complete ones is bounded.
  std::vector<Update> takeUpdates(base::TimePoint now, consensus::Term term,
                                  std::uint64_t documentVersion,
                                  const std::vector<WorkerLoad>& loads,
                                  const std::vector<base::Endpoint>& servers);
  /// @return when `takeUpdates` next returns updates if nothing changes before.
  base::TimePoint nextUpdate() const;

 private:
  struct Gateway;
  bool isDue(const Gateway& gateway, base::TimePoint now, std::uint64_t documentVersion) const;

  struct Gateway {
    base::ZoneId zone;
    bool complete = false;              ///< True once the complete view was sent.
    std::uint64_t documentVersion = 0;  ///< Value last sent.
    std::uint64_t revision = 0;
    std::uint32_t gateways = 0;  ///< Value last sent.
    base::TimePoint lastSent;
    std::uint64_t loadRevision = 0;  ///< Revision up to which loads were sent.
    base::TimePoint loadsSentAt;
    std::vector<base::Endpoint> servers;  ///< Value last sent.
    std::uint64_t mark = 0;               ///< To send; 0: none.
    ViewCursor cursor;
    /// @name Content of the next update, while gateways follow only some workers
    /// @{
    std::set<WorkerId> changed;
    std::set<WorkerId> removed;
    std::set<WorkerId> loads;
    /// @}
    base::TimePoint dueAt;  ///< Time of its entry in `dueAt_`.
  };
  /// Number of a worker's requests of all gateways. An entry of 0 is kept, as gateways have to be
  /// sent that value too.
  struct Load {
    std::uint32_t running = 0;
    std::uint64_t revision = 0;
  };
  struct Worker {
    WorkerView view;
    bool plain = false;
    std::uint64_t revision = 0;
    bool removed = false;
    std::optional<std::set<protocol::ConnectionId>>
        allowedGateways;  ///< Absent: all gateways may use it.

    WorkerView viewFor(protocol::ConnectionId gateway) const;
  };

  bool gatewayCountGrew(const Gateway& gateway) const;
  void setLoads(const std::vector<WorkerLoad>& loads);
  void addLoads(Gateway& gateway, base::TimePoint now, ViewUpdate& update) const;
  base::Duration loadSpacing() const;
  ViewUpdate makeUpdate(protocol::ConnectionId id, const Gateway& gateway) const;
  std::set<protocol::ConnectionId> chooseGateways(const WorkerId& worker, std::size_t most) const;
  void dropRemoved();

  // Used while gateways follow only some workers (view_publisher_interest.cpp).
  void switchToPartialViews();
  void takeInterestChanges();
  void noteWorkerChanged(const WorkerId& worker);
  void noteLoadChanged(const WorkerId& worker, std::uint32_t running);
  void scheduleDocumentUpdate(std::uint64_t version);
  void scheduleAt(protocol::ConnectionId id, Gateway& gateway, base::TimePoint at);
  std::vector<protocol::ConnectionId> dueGateways(base::TimePoint now,
                                                  std::uint64_t documentVersion);
  ViewUpdate makeFollowedUpdate(protocol::ConnectionId id, Gateway& gateway);
  bool followedDue(base::TimePoint now, std::uint64_t documentVersion) const;

  const base::Duration interval_;
  TurnLimit completeUpdates_;
  std::uint64_t revision_ = 0;
  std::map<protocol::ConnectionId, Gateway> gateways_;
  std::map<WorkerId, Worker> workers_;
  std::uint64_t loadRevision_ = 0;
  std::map<WorkerId, Load> loads_;
  std::optional<ViewInterest> interest_;  ///< Absent: each gateway follows all workers.
  /// @name Gateways with due updates, while gateways follow only some workers
  /// @{
  std::set<std::pair<base::TimePoint, protocol::ConnectionId>> dueAt_;
  std::set<protocol::ConnectionId> incomplete_;
  std::set<protocol::ConnectionId> withChanges_;
  /// @}
  std::uint64_t publishedVersion_ = 0;  ///< Document version in the last updates.
};

}  // namespace walnut::registry
