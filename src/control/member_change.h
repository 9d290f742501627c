#pragma once
/// @file
/// Changes of the cell's membership: requests of operators, and the promotion of learners.

#include <optional>

#include "walnut/base/error.h"
#include "walnut/base/time.h"
#include "walnut/consensus/raft.h"
#include "walnut/protocol/messages.h"

namespace walnut::control {

/// @return the membership after the change; empty if it contains the change already, as after a
/// resend; `alreadyExists` if the id is in use for another server.
base::Result<std::optional<consensus::Membership>> membershipAfter(
    const consensus::Membership& current, const protocol::ChangeMember& change);

/// Promotes learners to voters, one after the other. Raft refuses until a learner's log has nearly
/// caught up with the leader's.
class LearnerPromotion {
 public:
  void tick(base::TimePoint now, consensus::Raft& raft);
  base::TimePoint nextWakeup() const { return nextAttemptAt_; }

 private:
  base::TimePoint nextAttemptAt_;
};

}  // namespace walnut::control
