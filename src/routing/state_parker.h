#pragma once
/// @file
/// Parking of exported stream state: preserves the state of a stream while no replica is ready to
/// continue it.

#include "routing/request_lifecycle.h"

namespace walnut::routing {

/// Time before the reclaim of a machine at which its streams are exported. Within it, a stream is
/// exported, another engine fetches the state, and an engine that does not answer is asked again;
/// then the idle replica has to be unloaded, and the cell has to detect this, so that the replica
/// no longer counts against the model's limit. Each step takes about 100 ms.
inline constexpr base::Duration kReclaimMargin = std::chrono::seconds(2);
/// Interval at which a stream without another replica looks for one, or for an engine that can hold
/// its state, in addition to changes of the view.
inline constexpr base::Duration kRecheckInterval = std::chrono::milliseconds(200);

/// Preserves the exported state of requests that must not be repeated: after the export, such a
/// request can only continue from that state. While it waits for a replica, the engine that has the
/// state may be about to leave: shortly before, another engine that stays is asked to hold a copy,
/// whatever models it has loaded. The request reports demand all the while and continues from the
/// holder once a replica is ready. If no engine can hold the state, e.g. because all machines of
/// the cell are reclaimed at once, this process stores it, within `maxStoredStates`, until it can
/// upload it to an engine: the request ends with this process anyway. When the state is lost the
/// request ends at once with a typed error. No state is sent to an engine that is leaving, or while
/// the configuration is not confirmed.
class StateParker {
 public:
  StateParker(RouterCore& core, RequestLifecycle& lifecycle) : core_(core), lifecycle_(lifecycle) {}

  /// @return whether an engine other than `source` may be asked to hold a state now, or this
  /// process may store it.
  bool canPark(const base::EngineId& source) const;
  /// @return whether a replica of the servable may still become ready: one is ready, or the target
  /// is served and refers to the servable or the servable's version is still declared. The cell
  /// places no undeclared version and no deleted target.
  bool canBecomeReady(const std::string& target, const resource::Servable& servable) const;
  /// Handles the due moveAt of a request that waits with its state.
  void checkHolder(Request& request);
  /// Handles an engine's answer to HoldState or UploadState.
  void handleHeld(const StateHoldAnswered& event);
  /// Handles the driver's answer to StoreState.
  void handleKept(const StateStored& event);
  /// Handles the time-out of state `parking`: no definite answer arrived, or the stored state waits
  /// for an engine.
  void handleParkingTimer(Request& request);

 private:
  bool isGone(const StateHolder& holder) const;
  /// @return when the state has to be moved away from its holder; kNever if the holder stays.
  base::TimePoint moveDeadline(const StateHolder& holder) const;
  bool replicaReady(const Request& request) const;
  void park(Request& request);
  /// Asks the engine to hold the state. Asking again is safe, because an engine that already holds
  /// the copy confirms it.
  void requestHold(Request& request, const StateHolder& holder);
  bool canStoreLocally() const { return core_.storedStates < core_.options.maxStoredStates; }
  void storeLocally(Request& request);
  /// Uploads the stored state to an engine if one can hold it.
  void uploadState(Request& request);
  void beginParking(Request& request);
  void handleHoldRefusal(Request& request, const base::Error& error);
  void returnToQueue(Request& request);
  /// Ends the request with a broken stream.
  /// @param detail why the stream can't continue.
  void giveUp(Request& request, const char* detail);
  /// Ends the request if no replica can become ready for it.
  /// @return whether it ended the request.
  bool endIfUnservable(Request& request);
  /// @return whether the engine may hold a state.
  /// @param engine an engine that takes work.
  bool canHold(const resource::Engine& engine) const;
  std::optional<StateHolder> chooseHolder(const Move& move);

  RouterCore& core_;
  RequestLifecycle& lifecycle_;
};

}  // namespace walnut::routing
