#pragma once
/// @file
/// Migration of streams away from engines that leave at a known time.

#include "routing/attempt_handler.h"
#include "routing/state_parker.h"

namespace walnut::routing {

/// Moves streams off engines whose machine is about to be reclaimed. A stream on an engine with a
/// reclaim time stays there if it is expected to end before. Otherwise it moves by export and
/// import of its key-value cache once another replica is ready; demand is reported until one is.
/// Shortly before the reclaim a repeatable request is run again on another engine from its offset;
/// any other request is exported without a target replica, and waits for one while another engine
/// holds its state (StateParker). If none can, it stays until its stream ends or breaks; so does a
/// stream whose target is no longer served. An engine that leaves without a reclaim time keeps its
/// streams.
class StreamMover {
 public:
  StreamMover(RouterCore& core, RequestLifecycle& lifecycle, AttemptHandler& attempts,
              const StateParker& parker)
      : core_(core), lifecycle_(lifecycle), attempts_(attempts), parker_(parker) {}

  /// Reconsiders the streams of an engine whose record changed.
  void engineChanged(const base::EngineId& engine);
  /// Decides whether the request moves now: its moveAt is due, or its engine changed.
  void reconsider(Request& request);
  void handleExported(const EngineExported& event);
  /// Handles the time-out of state `exporting`.
  void handleExportTimeout(Request& request);

 private:
  base::Duration remainingTime(const Request& request) const;
  bool otherReplicaReady(const Request& request) const;
  /// @return whether the request's target may still be loaded anywhere.
  bool isServed(const Request& request) const;
  /// @return whether the request's exported state could wait for a replica at another engine.
  bool canBeParked(const Request& request) const;
  void beginExport(Request& request);
  void handleExportRefusal(Request& request, const base::Error& error);

  RouterCore& core_;
  RequestLifecycle& lifecycle_;
  AttemptHandler& attempts_;
  const StateParker& parker_;
};

}  // namespace walnut::routing
