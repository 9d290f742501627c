#include "routing/request_queue.h"

#include <algorithm>
#include <tuple>

namespace walnut::routing {

bool QueueEntry::operator<(const QueueEntry& other) const {
  return std::tie(rank, deadline, sequence) < std::tie(other.rank, other.deadline, other.sequence);
}

QueueEntry queueEntry(Request& request) {
  QueueRank rank = QueueRank::interactive;
  if (request.machine.executed() != Executed::no) {
    rank = QueueRank::resumed;
  } else if (request.caller.priority == engine::Priority::batch) {
    rank = QueueRank::batch;
  }
  return {rank, request.deadline, request.sequence, &request};
}

std::optional<base::TimePoint> TargetQueue::earliestDeadline() const {
  std::optional<base::TimePoint> earliest;
  for (const QueueRank rank : {QueueRank::resumed, QueueRank::interactive, QueueRank::batch}) {
    const auto first = entries_.lower_bound(QueueEntry{rank, base::TimePoint::min(), 0, nullptr});
    if (first != entries_.end() && (!earliest.has_value() || first->deadline < *earliest)) {
      earliest = first->deadline;
    }
  }
  return earliest;
}

void RequestQueue::push(Request& request) {
  const QueueEntry entry = queueEntry(request);
  TargetQueue& queue = targets_[request.caller.target];
  queue.entries_.insert(entry);
  ++queue.counts_[static_cast<std::size_t>(entry.rank)];
  ++size_;
  if (entry.rank == QueueRank::resumed) {
    ++resumed_;
  } else if (entry.rank == QueueRank::batch) {
    batch_.insert(entry);
  }
}

void RequestQueue::remove(Request& request) {
  const QueueEntry entry = queueEntry(request);
  const auto found = targets_.find(request.caller.target);
  if (found == targets_.end() || found->second.entries_.erase(entry) == 0) {
    return;
  }
  --found->second.counts_[static_cast<std::size_t>(entry.rank)];
  --size_;
  if (entry.rank == QueueRank::resumed) {
    --resumed_;
  } else if (entry.rank == QueueRank::batch) {
    batch_.erase(entry);
  }
  if (found->second.entries_.empty()) {
    targets_.erase(found);
  }
}

const TargetQueue& RequestQueue::target(const std::string& name) const {
  static const TargetQueue kEmpty;
  const auto found = targets_.find(name);
  return found == targets_.end() ? kEmpty : found->second;
}

Request* RequestQueue::latestBatch(const std::string& target) const {
  const TargetQueue& queue = this->target(target);
  if (queue.entries_.empty() || queue.entries_.rbegin()->rank != QueueRank::batch) {
    return nullptr;
  }
  return queue.entries_.rbegin()->request;
}

Request* RequestQueue::latestBatch() const {
  return batch_.empty() ? nullptr : batch_.rbegin()->request;
}

}  // namespace walnut::routing
