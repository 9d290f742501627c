#pragma once
/// @file
/// Proof that a server still led after some moment, by a read round or by its lease.

#include <cstdint>
#include <optional>

#include "walnut/consensus/raft.h"

namespace walnut::registry {

/// Proves with a linearizable read (Raft thesis, 6.4) that a leader led after the proof was begun.
/// Replies count whenever they come, so that no moment is needed at which a majority runs, as the
/// lease needs it. While the lease is valid nothing has to be read.
class LeadershipProof {
 public:
  void begin(consensus::Raft& raft, base::TimePoint now) {
    const auto token = raft.beginRead(now);
    token_ = token ? std::optional(token.value()) : std::nullopt;
  }

  /// @return true if this server led after `begin`, and has applied what any leader had
  /// acknowledged by then.
  bool holds(consensus::Raft& raft, consensus::LogIndex appliedIndex, base::TimePoint now) const {
    if (raft.leaseValid(now)) {
      return true;
    }
    if (!token_) {
      return false;
    }
    const auto ready = raft.readReady(*token_);
    return ready && ready.value() && appliedIndex >= *ready.value();
  }
  bool isBegun() const { return token_.has_value(); }

 private:
  std::optional<std::uint64_t> token_;
};

}  // namespace walnut::registry
