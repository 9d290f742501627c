#pragma once
/// @file
/// Prompt prefix cache of a stand-in engine, and its published events, which come late and with
/// gaps.

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "walnut/base/time.h"
#include "walnut/engine/messages.h"

namespace walnut::standin {

/// @return the hash that cache events carry: XXH3 of the first `kPrefixBytes` of the prompt.
std::uint64_t prefixHash(const std::string& prompt);

inline constexpr std::size_t kPrefixBytes = 128;
inline constexpr std::size_t kPrefixCacheEntries = 64;
/// How late an event is published.
inline constexpr base::Duration kCacheEventLag = std::chrono::milliseconds(500);
/// Every event with this multiple as its sequence is lost.
inline constexpr std::uint64_t kLostEventStride = 7;
/// Events kept for readers; older ones are gone.
inline constexpr std::size_t kKeptEvents = 256;

class PrefixCache {
 public:
  /// Looks the prompt's prefix up and keeps it from then on; the least recently used one goes.
  /// @return true if it was cached.
  bool use(base::TimePoint now, const resource::Servable& servable, const std::string& prompt);
  /// Drops all prefixes of a servable that is unloaded.
  void drop(base::TimePoint now, const resource::Servable& servable);
  /// Publishes the events that are due.
  void advance(base::TimePoint now);
  base::TimePoint nextWakeup() const;
  std::vector<engine::CacheEvent> events(std::uint64_t after) const;

 private:
  struct Key {
    resource::Servable servable;
    std::uint64_t hash = 0;
    auto operator<=>(const Key&) const = default;
  };
  struct PendingEvent {
    base::TimePoint dueAt;
    engine::CacheEvent event;
  };

  void record(base::TimePoint now, const Key& key, bool evicted);

  std::uint64_t useCount_ = 0;
  std::uint64_t lastSequence_ = 0;
  std::map<Key, std::uint64_t> lastUse_;  ///< At most kPrefixCacheEntries.
  std::deque<PendingEvent> pending_;      ///< In the order of dueAt.
  std::deque<engine::CacheEvent> published_;
};

}  // namespace walnut::standin
