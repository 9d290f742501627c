#pragma once
/// @file
/// One router's logic between controllers of the same process, without sockets, in virtual time:
/// for the processor time, memory and messages that the logic alone takes.

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "scale/synthetic_cell.h"
#include "scale/traffic.h"
#include "walnut/factories.h"

namespace walnut::scale {

/// Processor time in seconds, counted since the start.
struct LocalRouterTimes {
  double logic = 0;  ///< Of the router's steps.
  double codec = 0;  ///< To encode what it sends and to decode what it receives.
};

struct LocalRouterOptions {
  CellSize size;
  routing::RouterOptions router;
  std::uint64_t seed = 1;
  std::size_t changesPerPage = 512;  ///< As ControllerOptions::watchPageChanges.
  base::Duration watchHeartbeat = std::chrono::milliseconds(500);  ///< As ControllerOptions.
  bool countTraffic = false;  ///< Encodes each message, which takes time of its own.
  bool countTimes = false;    ///< Reads a clock around each step.
};

/// The controllers answer at once: every probe with the present index, a watch with the whole
/// state or the changes since, claims with `granted`.
class LocalRouter {
 public:
  explicit LocalRouter(const LocalRouterOptions& options);

  /// Connects to all controllers and takes in the whole state. @return whether it is ready.
  bool start();
  /// Hands in one input and carries out what concerns controllers.
  void step(const routing::RouterInput& input);
  /// Lets time pass, with the router's wake-ups and the controllers' heartbeats.
  void advanceTo(base::TimePoint time);
  /// Commits a change and tells the router, if it watches.
  void commit(const protocol::Change& change);

  /// @return the outputs towards callers and engines since the last call.
  std::vector<routing::RouterAction> takeActions();
  base::TimePoint now() const { return now_; }
  const TrafficByKind& sent() const { return sent_; }
  const TrafficByKind& received() const { return received_; }
  /// Zero unless countTimes; the codec's only with countTraffic.
  const LocalRouterTimes& times() const { return times_; }

 private:
  void stepRouter(const routing::RouterInput& input);
  std::vector<routing::RouterAction> takeRouterActions();
  void handleActions();
  void carryOut(const routing::OpenController& action);
  void carryOut(const routing::SendToController& action);
  template <class Other>
  void carryOut(const Other& action) {
    actions_.emplace_back(action);
  }
  void answer(protocol::ConnectionId connection, const protocol::ProbeRequest& request);
  void answer(protocol::ConnectionId connection, const protocol::WatchRequest& request);
  void answer(protocol::ConnectionId connection, const protocol::ClaimRequest& request);
  template <class Other>
  void answer(protocol::ConnectionId, const Other&) {}
  void deliver(protocol::ConnectionId connection, const protocol::Message& message);
  void countSent(const protocol::Message& message);
  void countReceived(const protocol::Message& message);
  /// @return processor time as of now, if times are counted.
  double clock() const;
  std::size_t controllerAt(const base::Endpoint& endpoint) const;

  LocalRouterOptions options_;
  std::vector<base::Endpoint> controllers_;
  consensus::LogIndex index_ = 1;
  base::TimePoint now_;
  std::unique_ptr<routing::Router> router_;
  std::vector<routing::RouterInput> pending_;  ///< Answers not yet handed in.
  std::vector<routing::RouterAction> actions_;
  std::optional<protocol::ConnectionId> watcher_;
  base::TimePoint heartbeatAt_ = base::kNever;
  TrafficByKind sent_{};
  TrafficByKind received_{};
  LocalRouterTimes times_;
};

}  // namespace walnut::scale
