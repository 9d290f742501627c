#include "standin/checkpoint_cache.h"

#include <algorithm>

namespace walnut::standin {

void CheckpointCache::insert(const std::string& checkpoint, std::uint64_t bytes) {
  const auto held = entries_.find(checkpoint);
  if (held != entries_.end()) {
    usedBytes_ -= held->second.bytes;
    entries_.erase(held);
  }
  if (bytes > capacityBytes_) {
    return;
  }
  while (usedBytes_ + bytes > capacityBytes_) {
    evictOldest();
  }
  usedBytes_ += bytes;
  entries_[checkpoint] = {bytes, ++useCount_};
}

bool CheckpointCache::use(const std::string& checkpoint) {
  const auto held = entries_.find(checkpoint);
  if (held == entries_.end()) {
    return false;
  }
  held->second.lastUse = ++useCount_;
  return true;
}

std::vector<std::string> CheckpointCache::names() const {
  std::vector<std::string> names;
  for (const auto& [name, entry] : entries_) {
    names.push_back(name);
  }
  return names;
}

void CheckpointCache::evictOldest() {
  const auto oldest = std::min_element(
      entries_.begin(), entries_.end(),
      [](const auto& a, const auto& b) { return a.second.lastUse < b.second.lastUse; });
  usedBytes_ -= oldest->second.bytes;
  entries_.erase(oldest);
}

}  // namespace walnut::standin
