#pragma once
/// @file
/// Decides which change of the cell's membership is due next.

#include <map>
#include <optional>
#include <set>

#include "walnut/base/time.h"
#include "walnut/consensus/messages.h"

namespace walnut::registry {

struct MembershipPolicyOptions {
  /// Number of disks that may be lost at once. A complete cell has 2 * losses + 1 voters.
  std::uint32_t tolerableLosses = 2;
  /// A voter that was unresponsive for this long is replaced by a learner.
  base::Duration voterTimeout = std::chrono::seconds(2);
  /// A learner that was unresponsive for this long is removed.
  base::Duration learnerTimeout = std::chrono::seconds(30);
  /// A join request expires after this time; servers repeat it while they need it.
  base::Duration requestLifetime = std::chrono::milliseconds(1500);
};

/// Membership policy of the leader: admits learners, promotes them, and replaces failed voters.
/// Invariants: a voter is removed only while a learner can replace it at once, and never so that
/// fewer than 2 * losses voters are left, so that each majority has more members than disks may be
/// lost.
class MembershipPolicy {
 public:
  MembershipPolicy(const MembershipPolicyOptions& options, base::TimePoint now);

  /// Records contact with a server.
  void recordContact(base::ServerId server, base::TimePoint now) { lastContact_[server] = now; }
  /// Records the join request of a server that is not in the membership. If its endpoint is that of
  /// a member, that member has lost its disk.
  void addJoinRequest(const consensus::Member& member, const consensus::Membership& membership,
                      base::TimePoint now);

  /// @return the next membership, which differs from the present one by one member; nothing if no
  /// change is due.
  std::optional<consensus::Membership> nextChange(const consensus::Membership& membership,
                                                  base::ServerId self, base::TimePoint now) const;
  /// @return how many voters are unresponsive.
  std::size_t silentVoters(const consensus::Membership& membership, base::ServerId self,
                           base::TimePoint now) const;

 private:
  struct Applicant {
    consensus::Member member;
    base::TimePoint requestedAt;
  };

  base::Duration timeSinceContact(base::ServerId server, base::TimePoint now) const;
  std::optional<consensus::Membership> admission(const consensus::Membership& membership,
                                                 base::TimePoint now) const;
  std::optional<consensus::Membership> replacement(const consensus::Membership& membership,
                                                   base::ServerId self, base::TimePoint now) const;
  std::optional<consensus::Membership> expiredLearner(const consensus::Membership& membership,
                                                      base::TimePoint now) const;

  const MembershipPolicyOptions options_;
  const base::TimePoint since_;
  std::map<base::ServerId, base::TimePoint> lastContact_;
  std::map<base::ServerId, Applicant> applicants_;
  std::set<base::ServerId> lostServers_;
};

/// @return true if a majority of the voters exceeds the number of disks that may be lost.
bool majorityExceedsLosses(const consensus::Membership& membership, std::uint32_t tolerableLosses);

}  // namespace walnut::registry
