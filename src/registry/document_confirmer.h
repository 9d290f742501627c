#pragma once
/// @file
/// Collects the questions of gateways which document is the newest, so that many of them are
/// answered by one confirmation of the cell.

#include <cstdint>
#include <utility>
#include <vector>

#include "walnut/protocol/messages.h"
#include "walnut/registry/messages.h"

namespace walnut::registry {

/// Kept by the leader. A question is answered by a round that began after it came: whoever led in
/// between, what it acknowledged before the question is known by then.
class DocumentConfirmer {
 public:
  /// Least time between two rounds. Each is a message to every other server: at 20 a second they
  /// are as many as twice the heartbeats, however many gateways ask.
  static constexpr base::Duration kRoundSpacing = std::chrono::milliseconds(50);

  struct Question {
    protocol::ConnectionId gateway;
    std::uint64_t sequence = 0;
  };

  void asked(protocol::ConnectionId gateway, const ConfirmDocument& question) {
    waiting_.push_back({gateway, question.sequence});
  }

  /// @return true if a round should begin.
  bool roundDue(base::TimePoint now) const {
    return !confirming_ && !waiting_.empty() && now >= nextRound_;
  }
  /// @return when `roundDue` becomes true by the passing of time.
  base::TimePoint nextRound() const {
    return confirming_ || waiting_.empty() ? base::kNever : nextRound_;
  }
  /// @param token of the read that confirms all that was asked so far.
  void begin(std::uint64_t token, base::TimePoint now) {
    token_ = token;
    confirming_ = true;
    inRound_ = std::exchange(waiting_, {});
    nextRound_ = now + kRoundSpacing;
  }

  bool confirming() const { return confirming_; }
  std::uint64_t token() const { return token_; }
  /// The read is confirmed. @return the questions that it answers.
  std::vector<Question> takeConfirmed() {
    confirming_ = false;
    return std::exchange(inRound_, {});
  }

 private:
  std::vector<Question> waiting_;
  std::vector<Question> inRound_;
  std::uint64_t token_ = 0;
  bool confirming_ = false;
  base::TimePoint nextRound_;
};

}  // namespace walnut::registry
