#include "registry/order_times.h"

#include <algorithm>

#include "registry/cell_state.h"

namespace walnut::registry {

namespace {

/// Delay beyond the least election timeout until the previous holder's first election. Processes
/// that are started together start within some hundred ms of one another, and grant no vote before
/// the least election timeout has passed since their own start.
constexpr base::Duration kHolderFirstElection = std::chrono::milliseconds(150);
/// The same delay for the other servers, long enough for the previous holder to be elected first.
constexpr base::Duration kOthersFirstElection = std::chrono::milliseconds(600);
constexpr base::Duration kOthersSpread = std::chrono::milliseconds(50);
/// The other servers start their elections at different times, spread by their identifiers.
constexpr std::uint64_t kOthersSteps = 8;

}  // namespace

void OrderTimes::ordered(const std::vector<WorkerId>& workers, base::TimePoint now) {
  for (const WorkerId& worker : workers) {
    orderedAt_[worker] = now;
  }
}

void OrderTimes::succeeded(const WorkerId& former, const WorkerId& present) {
  const auto found = orderedAt_.find(former);
  if (found != orderedAt_.end()) {
    orderedAt_[present] = found->second;
    orderedAt_.erase(former);
  }
}

base::TimePoint OrderTimes::allowedAt(const WorkerId& worker, base::TimePoint electedAt,
                                      base::Duration lease) const {
  const auto found = orderedAt_.find(worker);
  const base::TimePoint orderedAt =
      found == orderedAt_.end() ? lastMissedOrderAt_ : std::max(found->second, lastMissedOrderAt_);
  return std::min(orderedAt + kOrderSendMargin, electedAt) + lease + kOrderLeaseMargin;
}

base::ServerId recoveredOrderHolder(const consensus::RecoveredState& recovered) {
  base::ServerId holder;
  if (recovered.snapshot) {
    CellState state;
    if (state.restore(recovered.snapshot->data).has_value()) {
      holder = state.orderHolder();
    }
  }
  for (const consensus::LogEntry& entry : recovered.entries) {
    if (entry.type != consensus::EntryType::command) {
      continue;
    }
    const auto command = decodeCommand(entry.payload);
    if (command.has_value()) {
      if (const auto* taken = std::get_if<StoreOrderHolder>(&command.value())) {
        holder = taken->server;
      }
    }
  }
  return holder;
}

base::Duration firstElectionTimeout(const consensus::RaftOptions& options, base::ServerId self,
                                    base::ServerId holder) {
  if (holder == base::ServerId{}) {
    return base::Duration::zero();
  }
  if (holder == self) {
    return options.electionTimeoutMin + kHolderFirstElection;
  }
  return options.electionTimeoutMin + kOthersFirstElection +
         kOthersSpread * (self.value % kOthersSteps);
}

}  // namespace walnut::registry
