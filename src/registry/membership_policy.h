#pragma once
/// @file
/// Decides which change of the cell's membership is due next.

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "walnut/base/time.h"
#include "walnut/consensus/messages.h"

namespace walnut::registry {

struct MembershipPolicyOptions {
  /// Number of disks that may be lost at once. A complete cell has 2 * losses + 1 voters.
  std::uint32_t tolerableLosses = 2;
  /// A voter that was unresponsive for longer is replaced by a learner.
  base::Duration voterTimeout = std::chrono::milliseconds(1500);
  /// The same while a server that has just asked for admission is ready: most likely it was started
  /// in place of one that is gone. What is left of the 4 s in which a replacement has to vote has
  /// room for an election and two entries on slow disks.
  base::Duration replacedVoterTimeout = std::chrono::milliseconds(700);
  /// Voters that fell silent so shortly after a failed one count as failed with it.
  base::Duration silenceSpread = std::chrono::milliseconds(150);
  /// For so long a server counts as one that has just asked. It may be silent while its first batch
  /// is synced.
  base::Duration newcomerTime = std::chrono::seconds(5);
  /// For so long a replacement waits for another such server to be ready, so that all failed voters
  /// are replaced at once.
  base::Duration newcomerWait = std::chrono::milliseconds(300);
  /// A new leader gives every voter this time to answer it, however long it was silent before.
  base::Duration answerTime = std::chrono::milliseconds(300);
  /// A learner that was unresponsive for this long is removed.
  base::Duration learnerTimeout = std::chrono::seconds(30);
  /// A join request expires after this time; servers repeat it while they need it.
  base::Duration requestLifetime = std::chrono::milliseconds(1500);
};

/// How voters may be replaced.
enum class ReplacementMethod : std::uint8_t {
  joint,     ///< All at once, by joint consensus.
  oneByOne,  ///< The failed voter is removed, then a learner promoted; known to all builds.
};

/// Membership policy of the leader: admits learners, promotes them, and replaces failed voters.
/// Invariants: a voter is removed only while a learner can replace it at once, and never so that
/// fewer than 2 * losses voters are left, so that each majority has more members than disks may be
/// lost.
class MembershipPolicy {
 public:
  /// @param leadingSince when this server began to lead.
  /// @param silentSince from when on a voter without any contact counts as silent.
  MembershipPolicy(const MembershipPolicyOptions& options, base::TimePoint leadingSince,
                   base::TimePoint silentSince);

  /// Records contact with a server.
  void recordContact(base::ServerId server, base::TimePoint now) { lastContact_[server] = now; }
  /// Records the join request of a server that is not in the membership. If its endpoint is that of
  /// a member, that member has lost its disk.
  void addJoinRequest(const consensus::Member& member, const consensus::Membership& membership,
                      base::TimePoint now);

  /// @return the next membership, which differs from the present one by one change; nothing if no
  /// change is due.
  std::optional<consensus::Membership> nextChange(const consensus::Membership& membership,
                                                  base::ServerId self, ReplacementMethod method,
                                                  base::TimePoint now) const;
  /// @return the time since the last contact with a server, or since there could have been one.
  base::Duration timeSinceContact(base::ServerId server, base::TimePoint now) const;
  /// @return how many voters are unresponsive.
  std::size_t silentVoters(const consensus::Membership& membership, base::ServerId self,
                           base::TimePoint now) const;

 private:
  struct Applicant {
    consensus::Member member;
    base::TimePoint requestedAt;
  };

  /// @return the number of voters of a complete cell.
  std::size_t requiredVoters() const {
    return 2 * static_cast<std::size_t>(options_.tolerableLosses) + 1;
  }
  std::optional<consensus::Membership> admission(const consensus::Membership& membership,
                                                 base::TimePoint now) const;
  std::optional<consensus::Membership> replacement(const consensus::Membership& membership,
                                                   base::ServerId self, ReplacementMethod method,
                                                   base::TimePoint now) const;
  std::vector<base::ServerId> readyLearners(const consensus::Membership& membership,
                                            base::TimePoint now) const;
  /// @return the silence after which a voter counts as failed, given these learners.
  base::Duration voterTimeout(const std::vector<base::ServerId>& ready, base::TimePoint now) const;
  bool isNewcomer(base::ServerId server, base::TimePoint now) const;
  /// @return true if a learner that is not ready asked for admission a moment ago.
  bool awaitsNewcomer(const consensus::Membership& membership,
                      const std::vector<base::ServerId>& ready, base::TimePoint now) const;
  /// @return the voters to replace: those whose disk is lost first, then the longest unresponsive.
  std::vector<base::ServerId> failedVoters(const consensus::Membership& membership,
                                           base::ServerId self, base::Duration timeout,
                                           base::TimePoint now) const;
  std::optional<consensus::Membership> expiredLearner(const consensus::Membership& membership,
                                                      base::TimePoint now) const;

  const MembershipPolicyOptions options_;
  const base::TimePoint leadingSince_;
  const base::TimePoint silentSince_;
  std::map<base::ServerId, base::TimePoint> lastContact_;
  std::map<base::ServerId, Applicant> applicants_;
  std::map<base::ServerId, base::TimePoint> newcomers_;  ///< When they first asked for admission.
  std::set<base::ServerId> lostServers_;
};

/// @return true if a majority of the voters, of each set of them, exceeds the number of disks that
/// may be lost.
bool majorityExceedsLosses(const consensus::Membership& membership, std::uint32_t tolerableLosses);

}  // namespace walnut::registry
