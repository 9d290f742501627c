#include "standin/prefix_cache.h"

#include <xxhash.h>

#include <algorithm>

namespace walnut::standin {

std::uint64_t prefixHash(const std::string& prompt) {
  return XXH3_64bits(prompt.data(), std::min(prompt.size(), kPrefixBytes));
}

bool PrefixCache::use(base::TimePoint now, const resource::Servable& servable,
                      const std::string& prompt) {
  const Key key{servable, prefixHash(prompt)};
  const bool hit = lastUse_.count(key) > 0;
  if (!hit) {
    if (lastUse_.size() == kPrefixCacheEntries) {
      const auto oldest =
          std::min_element(lastUse_.begin(), lastUse_.end(),
                           [](const auto& a, const auto& b) { return a.second < b.second; });
      record(now, oldest->first, true);
      lastUse_.erase(oldest);
    }
    record(now, key, false);
  }
  lastUse_[key] = ++useCount_;
  return hit;
}

void PrefixCache::drop(base::TimePoint now, const resource::Servable& servable) {
  for (auto entry = lastUse_.begin(); entry != lastUse_.end();) {
    if (entry->first.servable == servable) {
      record(now, entry->first, true);
      entry = lastUse_.erase(entry);
    } else {
      ++entry;
    }
  }
}

void PrefixCache::record(base::TimePoint now, const Key& key, bool evicted) {
  ++lastSequence_;
  if (lastSequence_ % kLostEventStride != 0) {
    pending_.push_back({now + kCacheEventLag, {lastSequence_, key.servable, key.hash, evicted}});
  }
}

void PrefixCache::advance(base::TimePoint now) {
  while (!pending_.empty() && pending_.front().dueAt <= now) {
    published_.push_back(pending_.front().event);
    pending_.pop_front();
    if (published_.size() > kKeptEvents) {
      published_.pop_front();
    }
  }
}

base::TimePoint PrefixCache::nextWakeup() const {
  return pending_.empty() ? base::kNever : pending_.front().dueAt;
}

std::vector<engine::CacheEvent> PrefixCache::events(std::uint64_t after) const {
  std::vector<engine::CacheEvent> events;
  for (const engine::CacheEvent& event : published_) {
    if (event.sequence > after) {
      events.push_back(event);
    }
  }
  return events;
}

}  // namespace walnut::standin
