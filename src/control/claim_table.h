#pragma once
/// @file
/// Table of claimed idempotency keys, for requests that may not be repeated.

#include <deque>
#include <map>
#include <string>

#include "walnut/base/ids.h"
#include "walnut/base/time.h"
#include "walnut/control/commands.h"

namespace walnut::control {

/// Grants each idempotency key to one request only.
/// Invariant: a key whose claim was granted is kept until no request issued before the grant can be
/// granted any more, that is for the claim window plus the clock skew.
///
/// The sum is needed because a resend carries the time of first issue. Clocks differ by at most the
/// skew, so a request issued before the grant at `t` carries at most `t + skew`. It is refused as
/// expired as soon as that time lies more than the window in the past, which is when the claim is
/// removed. A time of issue more than the skew ahead of the cell's time would outlive the claim and
/// is refused immediately.
/// A cell that replaces a lost one does not know the claims granted there, so it grants nothing
/// issued before it was founded; docs/OPERATIONS.md says how long to wait before founding it.
class ClaimTable {
 public:
  ClaimTable(base::Duration window, base::Duration clockSkew)
      : window_(window), clockSkew_(clockSkew) {}
  ~ClaimTable() = default;
  ClaimTable(const ClaimTable&) = delete;  // oldestFirst_ holds iterators into the map.
  ClaimTable& operator=(const ClaimTable&) = delete;
  ClaimTable(ClaimTable&&) = default;
  ClaimTable& operator=(ClaimTable&&) = default;

  /// Claims a key.
  /// @param now time of the state machine; never less than in an earlier call.
  ClaimOutcome claim(const ClaimKey& claim, base::TimePoint now);
  /// Sets the time at which the cell's first command was applied. A request issued earlier may have
  /// been granted by a cell that this one replaces after its disks were lost, so it is refused as
  /// expired.
  void foundedAt(base::TimePoint now) { foundedAt_ = now; }
  base::TimePoint foundedAt() const { return foundedAt_; }

  /// Removes claims that the window no longer covers, in constant time for each claim.
  void expire(base::TimePoint now);

  struct Claim {
    base::RequestId request;
    base::TimePoint claimedAt;
    template <class Archive>
    void serialize(Archive& archive) {
      archive(request, claimedAt);
    }
  };
  const std::map<std::string, Claim>& claims() const { return claims_; }
  void restore(std::map<std::string, Claim> claims);

 private:
  using Claims = std::map<std::string, Claim>;

  base::Duration window_;
  base::Duration clockSkew_;
  base::TimePoint foundedAt_;
  Claims claims_;
  std::deque<Claims::const_iterator> oldestFirst_;  ///< All claims in order of claimedAt.
};

}  // namespace walnut::control
