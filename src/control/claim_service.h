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
  struct Requester {
    protocol::ConnectionId connection;
    std::uint64_t sequence = 0;
  };
  using Requesters = std::vector<Requester>;

  void answer(const Requester& requester, ClaimOutcome outcome);
  void refuse(const Requesters& requesters);

  CommandLog& log_;
  std::vector<ControllerAction>& actions_;
  /// Claims that arrived since the last flush, one for each of requesters_.
  std::vector<ClaimKey> claims_;
  Requesters requesters_;
  PendingEntries<Requesters> pending_;
};

}  // namespace walnut::control
