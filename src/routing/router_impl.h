#pragma once
/// @file
/// The router's decision logic, composed of its components.

#include "routing/admission.h"
#include "routing/attempt_handler.h"
#include "routing/claim_client.h"
#include "routing/dispatcher.h"
#include "routing/state_parker.h"
#include "routing/stream_mover.h"

namespace walnut::routing {

/// Distributes inputs and timers to the components. Each step handles the input first, so that an
/// event which an engine has sent takes precedence over a time-out; then it runs all timers that
/// are due, and then it dispatches the affected queues.
class RouterImpl : public Router {
 public:
  RouterImpl(const RouterOptions& options, base::RouterId id, std::uint64_t seed,
             base::TimePoint now);

  void step(base::TimePoint now, const RouterInput& input) override;
  std::vector<RouterAction> takeActions() override;
  base::TimePoint nextWakeup() const override;
  RouterStatus status(base::TimePoint now) const override;
  std::vector<ServedName> servedNames() const override;

 private:
  void handle(const CallerRequested& input);
  void handle(const CallerDisconnected& input);
  void handle(const EngineEvent& input);
  void handle(const EngineExported& input);
  void handle(const StateHoldAnswered& input);
  void handle(const StateStored& input);
  void handle(const CacheEventsRead& input);
  void handle(const ControllerConnected& input);
  void handle(const ControllerDisconnected& input);
  void handle(const ControllerMessage& input);
  void handle(const Tick& input);
  void handle(const PlannedShutdown& input);

  void receive(protocol::ConnectionId connection, const protocol::WatchDelta& delta);
  void receive(protocol::ConnectionId connection, const protocol::WatchSnapshotPage& page);
  void receive(protocol::ConnectionId connection, const protocol::ProbeReply& reply);
  void receive(protocol::ConnectionId connection, const protocol::ClaimReply& reply);
  /// Ignores messages that no controller sends to a router.
  template <class Other>
  void receive(protocol::ConnectionId, const Other&) {}

  void handleApplyResult(ApplyResult result, consensus::LogIndex indexBefore);
  void propagateViewChange();
  void updateLeader();
  void runTimers();
  void handleRequestTimer(Request& request);
  void probe();
  void checkWatch();

  RouterCore core_;
  RequestLifecycle lifecycle_;
  ClaimClient claims_;
  Admission admission_;
  Dispatcher dispatcher_;
  AttemptHandler attempts_;
  StateParker parker_;
  StreamMover mover_;
  base::TimePoint probeAt_;
  base::TimePoint watchProgressAt_;
  std::optional<LeaderSession> leader_;
  bool stopped_ = false;
};

}  // namespace walnut::routing
