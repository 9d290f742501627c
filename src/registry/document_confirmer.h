#pragma once
/// @file
/// Batches the queries of gateways for the newest document version, so that one linearizable read
/// of the cell answers many of them.

#include <cstdint>
#include <deque>
#include <utility>
#include <vector>

#include "walnut/protocol/messages.h"
#include "walnut/registry/messages.h"

namespace walnut::registry {

/// Batcher of document version queries; used by the leader. A query is answered by a read round
/// that began after its arrival, so the answer covers all that any leader acknowledged before the
/// query. Rounds overlap: where servers are slow, a query must not wait for the end of the round
/// before its own.
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
    return !waitingQueries_.empty() && now >= nextRound_ && rounds_.size() < kMaxRounds;
  }
  /// @return when `roundDue` becomes true without further queries.
  base::TimePoint nextRound() const {
    return waitingQueries_.empty() || rounds_.size() >= kMaxRounds ? base::kNever : nextRound_;
  }
  /// Begins a round that answers all queries received so far.
  /// @param token token of the linearizable read.
  void begin(std::uint64_t token, base::TimePoint now) {
    rounds_.push_back({token, std::exchange(waitingQueries_, {})});
    nextRound_ = now + kRoundSpacing;
  }

  bool isConfirming() const { return !rounds_.empty(); }
  /// @return the token of the oldest round.
  std::uint64_t token() const { return rounds_.front().token; }
  /// Ends the oldest round, whose read is confirmed. @return the queries that it answers.
  std::vector<Query> takeConfirmed() {
    std::vector<Query> queries = std::move(rounds_.front().queries);
    rounds_.pop_front();
    return queries;
  }

 private:
  /// Queries that come while so many rounds are open share the next one.
  static constexpr std::size_t kMaxRounds = 64;

  struct Round {
    std::uint64_t token = 0;
    std::vector<Query> queries;
  };

  std::vector<Query> waitingQueries_;
  std::deque<Round> rounds_;  ///< Oldest first; confirmed in this order.
  base::TimePoint nextRound_;
};

}  // namespace walnut::registry
