#include "consensus/heartbeat_rounds.h"

namespace walnut::consensus {

std::uint64_t HeartbeatRounds::open(base::TimePoint now) {
  if (!open_) {
    open_ = true;
    ++latest_;
    openedAt_.push_back(now);
  }
  return latest_;
}

bool HeartbeatRounds::close() {
  const bool wasOpen = open_;
  open_ = false;
  return wasOpen;
}

void HeartbeatRounds::clear() {
  open_ = false;
  openedAt_.clear();
}

std::optional<base::TimePoint> HeartbeatRounds::openedAt(std::uint64_t round) const {
  if (round > latest_ || latest_ - round >= openedAt_.size()) {
    return std::nullopt;
  }
  return openedAt_[openedAt_.size() - 1 - (latest_ - round)];
}

void HeartbeatRounds::removeBefore(base::TimePoint time) {
  while (!openedAt_.empty() && openedAt_.front() < time) {
    openedAt_.pop_front();
  }
}

}  // namespace walnut::consensus
