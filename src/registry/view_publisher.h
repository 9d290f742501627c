#pragma once
/// @file
/// Keeps gateways told of workers and of the document's version, by changes since what each was
/// last sent.

#include <map>
#include <memory>
#include <vector>

#include "registry/turn_limit.h"
#include "walnut/protocol/messages.h"
#include "walnut/registry/messages.h"
#include "walnut/registry/view_codec.h"

namespace walnut::registry {

/// Kept by the leader. A connection delivers in order or ends, so what was sent to it needs no
/// acknowledgement.
class ViewPublisher {
 public:
  explicit ViewPublisher(base::Duration interval);

  void subscribe(protocol::ConnectionId gateway) { gateways_[gateway] = {}; }
  void unsubscribe(protocol::ConnectionId gateway) { gateways_.erase(gateway); }
  std::size_t gatewayCount() const { return gateways_.size(); }
  std::vector<protocol::ConnectionId> gateways() const;

  void setWorker(const WorkerView& view);
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
    bool complete = false;              ///< It has got the whole view.
    std::uint64_t documentVersion = 0;  ///< As it was last told.
    std::uint64_t revision = 0;
    std::uint32_t gateways = 0;  ///< As it was last told.
    base::TimePoint lastSent;
    std::uint64_t loadRevision = 0;  ///< Up to which it was told loads.
    base::TimePoint loadsSentAt;
    std::vector<base::Endpoint> servers;  ///< As it was last told.
    ViewCursor cursor;
  };
  /// A worker's requests of all gateways; kept at 0, as gateways have to be told of that too.
  struct Load {
    std::uint32_t running = 0;
    std::uint64_t revision = 0;
  };
  struct Worker {
    WorkerView view;
    std::uint64_t revision = 0;
    bool removed = false;
  };

  bool countGrew(const Gateway& gateway) const;
  void setLoads(const std::vector<WorkerLoad>& loads);
  void addLoads(Gateway& gateway, base::TimePoint now, ViewUpdate& update) const;
  base::Duration loadSpacing() const;
  ViewUpdate makeUpdate(const Gateway& gateway) const;
  void dropRemoved();

  const base::Duration interval_;
  TurnLimit completeUpdates_;
  std::uint64_t revision_ = 0;
  std::map<protocol::ConnectionId, Gateway> gateways_;
  std::map<WorkerId, Worker> workers_;
  std::uint64_t loadRevision_ = 0;
  std::map<WorkerId, Load> loads_;
};

}  // namespace walnut::registry
