#include "registry/call_table.h"

#include <iterator>

namespace walnut::registry {

std::uint64_t CallTable::add(WaitingCall call) {
  ++last_;
  deadlines_.emplace(call.deadline, last_);
  addUnhanded(last_, call);
  calls_.emplace(last_, std::move(call));
  return last_;
}

WaitingCall* CallTable::find(std::uint64_t number) {
  const auto found = calls_.find(number);
  return found == calls_.end() ? nullptr : &found->second;
}

void CallTable::erase(std::uint64_t number) {
  const auto found = calls_.find(number);
  if (found == calls_.end()) {
    return;
  }
  deadlines_.erase({found->second.deadline, number});
  const bool waits = heartbeats_.erase(number) + others_.erase(number) != 0;
  if (!waits && found->second.isHeartbeat()) {
    --handedHeartbeats_;
  }
  calls_.erase(found);
}

std::vector<std::uint64_t> CallTable::handOver(base::ServerId leader, std::size_t maxCalls,
                                               std::size_t maxWaiting) {
  if (leader != leader_) {
    leader_ = leader;
    handedHeartbeats_ = 0;
    for (const auto& [number, call] : calls_) {
      addUnhanded(number, call);
    }
  }
  std::vector<std::uint64_t> numbers;
  while (!others_.empty() && numbers.size() < maxCalls) {
    numbers.push_back(*others_.begin());
    others_.erase(others_.begin());
  }
  while (!heartbeats_.empty() && numbers.size() < maxCalls && handedHeartbeats_ < maxWaiting) {
    const auto newest = std::prev(heartbeats_.end());
    numbers.push_back(*newest);
    heartbeats_.erase(newest);
    ++handedHeartbeats_;
  }
  return numbers;
}

std::vector<std::uint64_t> CallTable::expired(base::TimePoint now) const {
  std::vector<std::uint64_t> numbers;
  for (const auto& [deadline, number] : deadlines_) {
    if (deadline > now) {
      break;
    }
    numbers.push_back(number);
  }
  return numbers;
}

}  // namespace walnut::registry
