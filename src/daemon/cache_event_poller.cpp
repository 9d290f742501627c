#include "daemon/cache_event_poller.h"

#include <algorithm>

namespace walnut::daemon {

namespace {

/// An engine that got no attempt for this long is no longer followed.
constexpr base::Duration kForgetAfter = std::chrono::seconds(30);

}  // namespace

CacheEventPoller::CacheEventPoller(base::Duration interval, std::uint64_t seed)
    : interval_(interval), random_(seed) {}

base::TimePoint CacheEventPoller::drawNext(base::TimePoint now) {
  return now + random_.between(interval_ * 3 / 4, interval_ * 5 / 4);
}

void CacheEventPoller::used(base::TimePoint now, const base::EngineId& engine,
                            const base::Endpoint& endpoint) {
  const auto [entry, added] = engines_.try_emplace(engine);
  Followed& followed = entry->second;
  followed.endpoint = endpoint;
  followed.lastUsed = now;
  if (added) {
    followed.pollAt = drawNext(now);
  }
}

void CacheEventPoller::incarnationSeen(const base::EngineId& engine,
                                       base::Incarnation incarnation) {
  const auto found = engines_.find(engine);
  if (found != engines_.end() && found->second.incarnation != incarnation) {
    found->second.incarnation = incarnation;
    found->second.after = 0;
  }
}

void CacheEventPoller::answered(const base::EngineId& engine, std::uint64_t last) {
  const auto found = engines_.find(engine);
  if (found != engines_.end()) {
    found->second.asked = false;
    found->second.after = std::max(found->second.after, last);
  }
}

std::vector<CachePoll> CacheEventPoller::takeDue(base::TimePoint now) {
  std::vector<CachePoll> polls;
  std::erase_if(engines_,
                [now](const auto& entry) { return entry.second.lastUsed + kForgetAfter < now; });
  for (auto& [engine, followed] : engines_) {
    if (followed.pollAt > now) {
      continue;
    }
    followed.pollAt = drawNext(now);
    if (!followed.asked) {
      followed.asked = true;
      polls.push_back({engine, followed.endpoint, followed.after});
    }
  }
  return polls;
}

base::TimePoint CacheEventPoller::nextWakeup() const {
  base::TimePoint wakeup = base::kNever;
  for (const auto& [engine, followed] : engines_) {
    wakeup = std::min(wakeup, followed.pollAt);
  }
  return wakeup;
}

}  // namespace walnut::daemon
