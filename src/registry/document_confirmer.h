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

  struct Query {
    protocol::ConnectionId gateway;
    std::uint64_t sequence = 0;
  };

  void addQuery(protocol::ConnectionId gateway, const ConfirmDocument& query) {
    waitingQueries_.push_back({gateway, query.sequence});
  }

  /// @return true if a round should begin now.
  bool roundDue(base::TimePoint now) const {
    return !isConfirming_ && !waitingQueries_.empty() && now >= nextRound_;
  }
  /// @return when `roundDue` becomes true without further queries.
  base::TimePoint nextRound() const {
    return isConfirming_ || waitingQueries_.empty() ? base::kNever : nextRound_;
  }
  /// Begins a round that answers all queries received so far.
  /// @param token token of the linearizable read.
  void begin(std::uint64_t token, base::TimePoint now) {
    token_ = token;
    isConfirming_ = true;
    roundQueries_ = std::exchange(waitingQueries_, {});
    nextRound_ = now + kRoundSpacing;
  }

  bool isConfirming() const { return isConfirming_; }
  std::uint64_t token() const { return token_; }
  /// Ends the round, whose read is confirmed. @return the queries that it answers.
  std::vector<Query> takeConfirmed() {
    isConfirming_ = false;
    return std::exchange(roundQueries_, {});
  }

 private:
  std::vector<Query> waitingQueries_;
  std::vector<Query> roundQueries_;
  std::uint64_t token_ = 0;
  bool isConfirming_ = false;
  base::TimePoint nextRound_;
};

}  // namespace walnut::registry
