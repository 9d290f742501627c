#pragma once
/// @file
/// Lease that limits for how long a gateway may rely on the keys of its document.

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>

#include "walnut/base/time.h"
#include "walnut/registry/messages.h"

namespace walnut::gateway {

/// A lease on the document. The gateway asks the leader for the newest document version; the answer
/// extends the lease from the time of the request, by the gateway's own boot clock. Whatever was
/// acknowledged before the request is covered by the answer, however late the answer comes.
///
/// Invariant: while the lease is valid at a time that was read after a request's bytes were
/// received, no key of the held document was revoked longer before the request than the lease
/// lasts.
class DocumentLease {
 public:
  explicit DocumentLease(base::Duration duration) : duration_(duration) {}

  /// @param now read from the clock, not the loop's time.
  /// @return the message to send to the leader.
  registry::ConfirmDocument makeRequest(base::TimePoint now) {
    openRequests_.push_back({++lastSequence_, now});
    if (openRequests_.size() > kMaxOpenRequests) {
      openRequests_.pop_front();
    }
    return {lastSequence_};
  }

  /// @return true if the lease was extended.
  bool confirmationReceived(const registry::DocumentConfirmed& answer, std::uint64_t heldVersion) {
    const auto found = std::find_if(openRequests_.begin(), openRequests_.end(),
                                    [&answer](const OpenRequest& openRequest) {
                                      return openRequest.sequence == answer.sequence;
                                    });
    if (found == openRequests_.end()) {
      return false;
    }
    pending_ = Pending{answer.documentVersion, found->requestedAt};
    openRequests_.erase(openRequests_.begin(), found + 1);
    return documentApplied(heldVersion);
  }

  /// Applies an answer about a newer document, which counts once that document is held.
  bool documentApplied(std::uint64_t heldVersion) {
    if (!pending_ || heldVersion < pending_->version) {
      return false;
    }
    confirmedAt_ = std::max(confirmedAt_.value_or(pending_->requestedAt), pending_->requestedAt);
    pending_.reset();
    return true;
  }

  /// @param now read from the clock after the request to be decided on has come.
  bool valid(base::TimePoint now) const { return confirmedAt_ && now - *confirmedAt_ < duration_; }
  /// @return for how long the document may have been outdated; nothing if it was never confirmed.
  std::optional<base::Duration> age(base::TimePoint now) const {
    return confirmedAt_ ? std::optional(now - *confirmedAt_) : std::nullopt;
  }
  base::Duration duration() const { return duration_; }

 private:
  /// Maximum number of unanswered requests kept: a leader answers within a few ms or never.
  static constexpr std::size_t kMaxOpenRequests = 16;

  struct OpenRequest {
    std::uint64_t sequence = 0;
    base::TimePoint requestedAt;
  };
  /// An answer that names a document which the gateway does not hold yet.
  struct Pending {
    std::uint64_t version = 0;
    base::TimePoint requestedAt;
  };

  const base::Duration duration_;
  std::uint64_t lastSequence_ = 0;
  std::deque<OpenRequest> openRequests_;
  std::optional<Pending> pending_;
  std::optional<base::TimePoint> confirmedAt_;
};

}  // namespace walnut::gateway
