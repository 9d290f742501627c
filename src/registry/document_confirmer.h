#pragma once
/// @file
/// Batches the queries of gateways for the newest document version, so that one linearizable read
/// of the cell answers many of them.

#include <cstdint>
#include <utility>
#include <vector>

#include "walnut/protocol/messages.h"
#include "walnut/registry/messages.h"

namespace walnut::registry {

/// Batcher of document version queries; used by the leader. A query is answered by a read round
/// that began after its arrival, so the answer covers all that any leader acknowledged before the
/// query.
class DocumentConfirmer {
 public:
  /// Least time between two rounds. A round takes one message to every other server; at 20 rounds a
  /// second that is twice the number of heartbeats, however many gateways send queries.
  static constexpr base::Duration kRoundSpacing = std::chrono::milliseconds(50);

  struct Question {
    protocol::ConnectionId gateway;
    std::uint64_t sequence = 0;
  };

  void asked(protocol::ConnectionId gateway, const ConfirmDocument& question) {
    waiting_.push_back({gateway, question.sequence});
  }

  /// @return true if a round should begin now.
  bool roundDue(base::TimePoint now) const {
    return !confirming_ && !waiting_.empty() && now >= nextRound_;
  }
  /// @return when `roundDue` becomes true without further queries.
  base::TimePoint nextRound() const {
    return confirming_ || waiting_.empty() ? base::kNever : nextRound_;
  }
  /// Begins a round that answers all queries received so far.
  /// @param token token of the linearizable read.
  void begin(std::uint64_t token, base::TimePoint now) {
    token_ = token;
    confirming_ = true;
    inRound_ = std::exchange(waiting_, {});
    nextRound_ = now + kRoundSpacing;
  }

  bool confirming() const { return confirming_; }
  std::uint64_t token() const { return token_; }
  /// Ends the round, whose read is confirmed. @return the queries that it answers.
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
