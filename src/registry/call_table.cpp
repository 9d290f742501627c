#include "registry/call_table.h"

namespace walnut::registry {

std::uint64_t CallTable::add(WaitingCall call) {
  ++last_;
  deadlines_.emplace(call.deadline, last_);
  unhanded_.insert(last_);
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
  unhanded_.erase(number);
  calls_.erase(found);
}

std::vector<std::uint64_t> CallTable::handTo(base::ServerId leader, std::size_t most) {
  if (leader != leader_) {
    leader_ = leader;
    for (const auto& [number, call] : calls_) {
      unhanded_.insert(number);
    }
  }
  std::vector<std::uint64_t> numbers;
  while (!unhanded_.empty() && numbers.size() < most) {
    numbers.push_back(*unhanded_.begin());
    unhanded_.erase(unhanded_.begin());
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
