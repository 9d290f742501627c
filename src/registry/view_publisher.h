#pragma once
/// @file
/// Keeps gateways told of workers and of the document's version, by changes since what each was
/// last sent.

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

/// Kept by the leader. A connection delivers in order or ends, so what was sent to it needs no
/// acknowledgement.
///
/// While workers x gateways are few, each gateway is told of every worker. From `kMostPairs` on,
/// and until the end of the leadership, it is told of those that it follows (ViewInterest), and of
/// what it was told before.
class ViewPublisher {
 public:
  explicit ViewPublisher(base::Duration interval);

  /// @name Complete updates at a time, and the time between: gateways that start together must not
  /// hold up the loop. One of 90 workers takes some 40 KB, 0.4 ms of a core.
  /// @{
  static constexpr std::size_t kMostCompleteUpdates = 8;
  static constexpr base::Duration kCompleteSpacing = std::chrono::milliseconds(10);
  /// @}
  /// Pairs of a gateway and a worker from which on gateways follow only some: telling each of the
  /// pairs takes some 10 MB at the leader, and a second of a small core.
  static constexpr std::size_t kMostPairs = 100'000;

  /// @param featureLevel that the gateway knows.
  void subscribe(protocol::ConnectionId gateway, const base::ZoneId& zone = {},
                 std::uint32_t featureLevel = 0);
  void unsubscribe(protocol::ConnectionId gateway);
  std::size_t gatewayCount() const { return gateways_.size(); }
  /// @return true while each gateway is told of every worker.
  bool tellsAll() const { return !interest_; }
  std::vector<protocol::ConnectionId> gateways() const;
  /// A gateway was asked for a model or adapter: see ViewInterest::asked.
  void asked(protocol::ConnectionId gateway, const ModelKey& key, bool waiting,
             base::TimePoint now);

  /// @param plain it serves a plain service: all its workers serve the same.
  /// @param mostGateways that may send to it; to the others it is one that leaves. Where gateways
  /// follow only some workers none may.
  void setWorker(const WorkerView& view, bool plain = false,
                 std::optional<std::size_t> mostGateways = std::nullopt);
  void removeWorker(const WorkerId& worker);
  /// @return the workers that were set and not removed.
  std::vector<WorkerId> workers() const;

  /// @return true if `takeUpdates` would have something.
  bool due(base::TimePoint now, std::uint64_t documentVersion) const;

  struct Update {
    protocol::ConnectionId gateway;
    ViewUpdate update;
    ViewCursor& cursor;  ///< For the encoder; valid until the gateway unsubscribes.
  };
  /// @param documentVersion of the one in force; 0: there is none.
  /// @return what to send now; of complete updates only a few at a time.
  std::vector<Update> takeUpdates(base::TimePoint now, consensus::Term term,
                                  std::uint64_t documentVersion,
                                  const std::vector<WorkerLoad>& loads,
                                  const std::vector<base::Endpoint>& servers);
  /// @return when `takeUpdates` has something by the passing of time alone.
  base::TimePoint nextUpdate() const;

 private:
  struct Gateway;
  bool isDue(const Gateway& gateway, base::TimePoint now, std::uint64_t documentVersion) const;

  struct Gateway {
    base::ZoneId zone;
    bool complete = false;              ///< It has got the whole view.
    std::uint64_t documentVersion = 0;  ///< As it was last told.
    std::uint64_t revision = 0;
    std::uint32_t gateways = 0;  ///< As it was last told.
    base::TimePoint lastSent;
    std::uint64_t loadRevision = 0;  ///< Up to which it was told loads.
    base::TimePoint loadsSentAt;
    std::vector<base::Endpoint> servers;  ///< As it was last told.
    ViewCursor cursor;
    /// @name While it follows only some workers: what it is to be told of next
    /// @{
    std::set<WorkerId> changed;
    std::set<WorkerId> removed;
    std::set<WorkerId> loads;
    /// @}
    base::TimePoint dueAt;  ///< As in `dueAt_`.
  };
  /// A worker's requests of all gateways; kept at 0, as gateways have to be told of that too.
  struct Load {
    std::uint32_t running = 0;
    std::uint64_t revision = 0;
  };
  struct Worker {
    WorkerView view;
    bool plain = false;
    std::uint64_t revision = 0;
    bool removed = false;
    std::optional<std::set<protocol::ConnectionId>> onlyFor;  ///< Absent: for all gateways.

    WorkerView viewFor(protocol::ConnectionId gateway) const;
  };

  bool countGrew(const Gateway& gateway) const;
  void setLoads(const std::vector<WorkerLoad>& loads);
  void addLoads(Gateway& gateway, base::TimePoint now, ViewUpdate& update) const;
  base::Duration loadSpacing() const;
  ViewUpdate makeUpdate(protocol::ConnectionId id, const Gateway& gateway) const;
  std::set<protocol::ConnectionId> chooseGateways(const WorkerId& worker, std::size_t most) const;
  void dropRemoved();

  // While gateways follow only some workers (view_publisher_interest.cpp).
  void followIfLarge();
  void takeInterestChanges();
  void noteWorkerChanged(const WorkerId& worker);
  void noteLoadChanged(const WorkerId& worker, std::uint32_t running);
  void noteDocument(std::uint64_t version);
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
  /// @name With an interest, by time and gateway
  /// @{
  std::set<std::pair<base::TimePoint, protocol::ConnectionId>> dueAt_;
  std::set<protocol::ConnectionId> incomplete_;
  std::set<protocol::ConnectionId> withNews_;
  /// @}
  std::uint64_t toldVersion_ = 0;  ///< Of the document, in the last updates.
};

}  // namespace walnut::registry
