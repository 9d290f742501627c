#pragma once
/// @file
/// Queues of waiting requests, by target, in the order of service.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "routing/request.h"

namespace walnut::routing {

/// Order of service: requests that were already running, then interactive ones, then batch; within
/// each rank the earliest deadline first.
enum class QueueRank : std::uint8_t { resumed = 0, interactive = 1, batch = 2 };

/// Position of a request in a queue.
struct QueueEntry {
  QueueRank rank = QueueRank::interactive;
  base::TimePoint deadline;
  std::uint64_t sequence = 0;
  Request* request = nullptr;
  bool operator<(const QueueEntry& other) const;
};

/// @return the position of the request. Depends only on fields that do not change while it waits.
QueueEntry queueEntry(Request& request);

/// Queue of the waiting requests of one target.
class TargetQueue {
 public:
  std::size_t size() const { return entries_.size(); }
  std::size_t count(QueueRank rank) const { return counts_[static_cast<std::size_t>(rank)]; }
  /// @return the entries in order of service.
  const std::set<QueueEntry>& entries() const { return entries_; }
  std::optional<base::TimePoint> earliestDeadline() const;

 private:
  friend class RequestQueue;
  std::set<QueueEntry> entries_;
  std::size_t counts_[3] = {0, 0, 0};
};

/// Queues of all targets. Invariant: contains exactly the requests that wait for a slot at a
/// replica. The admission limits count only those that were never dispatched to an engine.
class RequestQueue {
 public:
  void push(Request& request);
  void remove(Request& request);
  std::size_t size() const { return size_; }
  /// @return the number of requests that count against the total limit.
  std::size_t newRequestCount() const { return size_ - resumed_; }
  /// @return the queue of the target; an empty one if it has no waiting requests.
  const TargetQueue& target(const std::string& name) const;
  const std::map<std::string, TargetQueue>& targets() const { return targets_; }
  /// @return the batch request with the latest deadline, of the target or of all targets, or
  /// nullptr.
  Request* latestBatch(const std::string& target) const;
  Request* latestBatch() const;

 private:
  std::map<std::string, TargetQueue> targets_;
  std::set<QueueEntry> batch_;
  std::size_t size_ = 0;
  std::size_t resumed_ = 0;
};

}  // namespace walnut::routing
