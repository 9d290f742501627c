#pragma once
/// @file
/// Handles claims of idempotency keys on the leader.

#include <vector>

#include "control/command_log.h"
#include "walnut/control/controller.h"

namespace walnut::control {

/// Batches the claims that arrive between two outputs into one log entry and answers each claim
/// once its entry is applied. A claim is answered `unavailable` only if it is in no log: a router
/// that gets no answer asks again, and the key is granted again to the same request.
class ClaimService {
 public:
  /// Both references outlive this object.
  ClaimService(CommandLog& log, std::vector<ControllerAction>& actions)
      : log_(log), actions_(actions) {}

  void request(protocol::ConnectionId connection, const protocol::ClaimRequest& request);
  /// Proposes the claims that have arrived.
  void flush(base::TimePoint now);
  void applied(const AppliedEntry& entry);
  /// Drops pending claims up to `index`: a snapshot hides the outcome of their entries.
  void snapshotInstalled(consensus::LogIndex index);

 private:
  struct Asker {
    protocol::ConnectionId connection;
    std::uint64_t sequence = 0;
  };
  using Askers = std::vector<Asker>;

  void answer(const Asker& asker, ClaimOutcome outcome);
  void refuse(const Askers& askers);

  CommandLog& log_;
  std::vector<ControllerAction>& actions_;
  /// Claims that arrived since the last flush, one for each of askers_.
  std::vector<ClaimKey> claims_;
  Askers askers_;
  PendingEntries<Askers> pending_;
};

}  // namespace walnut::control
