#pragma once
/// @file
/// Which change of the cell's membership is due next.

#include <map>
#include <optional>
#include <set>

#include "walnut/base/time.h"
#include "walnut/consensus/messages.h"

namespace walnut::registry {

struct CellKeeperOptions {
  /// Disks that may be lost at once. The cell has 2 * losses + 1 voters when it is whole.
  std::uint32_t tolerableLosses = 2;
  /// A voter that was silent for this long gives way to a learner.
  base::Duration silenceLimit = std::chrono::seconds(2);
  /// A learner that was silent for this long is removed.
  base::Duration learnerSilenceLimit = std::chrono::seconds(30);
  /// A request to be admitted lapses after this time; it is repeated while it is wanted.
  base::Duration requestLifetime = std::chrono::milliseconds(1500);
};

/// Leader's policy. Invariants: a voter is only removed while there is a learner that can replace
/// it at once, and never so that fewer than 2 * losses voters are left, so that each majority has
/// more members than disks may be lost.
class CellKeeper {
 public:
  CellKeeper(const CellKeeperOptions& options, base::TimePoint now);

  /// A server was heard.
  void heard(base::ServerId server, base::TimePoint now) { lastHeard_[server] = now; }
  /// A server that is not in the membership asks to be admitted. If its endpoint is that of another
  /// member, that member's disk is lost.
  void requested(const consensus::Member& member, const consensus::Membership& membership,
                 base::TimePoint now);

  /// @return the membership to change to, one member from the present one; nothing if all is well.
  std::optional<consensus::Membership> nextChange(const consensus::Membership& membership,
                                                  base::ServerId self, base::TimePoint now) const;

 private:
  struct Applicant {
    consensus::Member member;
    base::TimePoint requestedAt;
  };

  base::Duration silenceOf(base::ServerId server, base::TimePoint now) const;
  std::optional<consensus::Membership> admission(const consensus::Membership& membership,
                                                 base::TimePoint now) const;
  std::optional<consensus::Membership> replacement(const consensus::Membership& membership,
                                                   base::ServerId self, base::TimePoint now) const;
  std::optional<consensus::Membership> lapsedLearner(const consensus::Membership& membership,
                                                     base::TimePoint now) const;

  const CellKeeperOptions options_;
  const base::TimePoint since_;
  std::map<base::ServerId, base::TimePoint> lastHeard_;
  std::map<base::ServerId, Applicant> applicants_;
  std::set<base::ServerId> lost_;
};

/// @return true if the majority of the voters is more than the disks that may be lost.
bool majorityOutlivesLosses(const consensus::Membership& membership, std::uint32_t tolerableLosses);

}  // namespace walnut::registry
