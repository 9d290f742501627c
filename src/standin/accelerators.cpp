#include "standin/accelerators.h"

#include <algorithm>
#include <utility>

namespace walnut::standin {

using engine::HeldState;

namespace {

/// Time to move `bytes` at a rate; at least a microsecond, so that loading is seen.
base::Duration transferTime(std::uint64_t bytes, std::uint64_t bytesPerSecond) {
  const double seconds = static_cast<double>(bytes) / static_cast<double>(bytesPerSecond);
  return std::max(base::Duration(1), base::Duration(static_cast<std::int64_t>(seconds * 1e6)));
}

HeldKey keyOf(const engine::Order& order) { return {order.accelerator, order.servable}; }

}  // namespace

Accelerators::Accelerators(const EngineModelOptions& options)
    : options_(options), hostCache_(options.hostCacheBytes), diskCache_(options.diskCacheBytes) {
  for (const std::string& checkpoint : options.cachedOnDisk) {
    diskCache_.insert(checkpoint, 0);  // The size is learnt from the first load order.
  }
}

std::uint64_t Accelerators::usedBytes(base::AcceleratorIndex accelerator) const {
  std::uint64_t bytes = 0;
  for (const auto& [key, entry] : entries_) {
    if (key.accelerator == accelerator && entry.state != HeldState::failed) {
      bytes += entry.order.acceleratorBytes;
    }
  }
  return bytes;
}

bool Accelerators::hasReadyBase(const HeldKey& key) const {
  HeldKey base = key;
  base.servable.adapter.clear();
  const auto found = entries_.find(base);
  return found != entries_.end() && found->second.state == HeldState::ready;
}

bool Accelerators::hasAdapters(const HeldKey& key) const {
  if (!key.servable.adapter.empty()) {
    return false;
  }
  return std::any_of(entries_.begin(), entries_.end(), [&](const auto& held) {
    HeldKey base = held.first;
    base.servable.adapter.clear();
    return !held.first.servable.adapter.empty() && base == key;
  });
}

base::Result<void> Accelerators::checkLoad(base::TimePoint now, const HeldKey& key,
                                           const engine::Order& order) {
  if (!key.servable.adapter.empty() && !hasReadyBase(key)) {
    return base::Error{base::ErrorCode::modelNotLoaded, "servable.adapter",
                       "its model is not ready on this accelerator"};
  }
  const std::uint64_t capacity = options_.acceleratorBytes.at(key.accelerator.value);
  const std::uint64_t used = usedBytes(key.accelerator);
  if (order.acceleratorBytes > capacity - std::min(used, capacity)) {
    violations_.push_back({now, "load of " + key.servable.model + "/" + key.servable.version + "/" +
                                    key.servable.adapter + " would overcommit accelerator " +
                                    std::to_string(key.accelerator.value)});
    return base::Error{base::ErrorCode::insufficientMemory, "accelerator_bytes",
                       std::to_string(capacity - used) + " bytes are free"};
  }
  return base::success();
}

base::Result<void> Accelerators::load(base::TimePoint now, const engine::Order& order) {
  if (order.accelerator.value >= options_.acceleratorBytes.size()) {
    return base::Error{base::ErrorCode::outOfRange, "accelerator", "no such accelerator"};
  }
  const HeldKey key = keyOf(order);
  const auto held = entries_.find(key);
  if (held != entries_.end()) {
    Entry& entry = held->second;
    if (entry.state == HeldState::loading || entry.state == HeldState::ready) {
      return base::success();
    }
    if (entry.state == HeldState::unloading) {
      if (entry.doneAt == base::kNever) {
        entry.state = HeldState::ready;
      } else {
        entry.loadAgain = order;
      }
      return base::success();
    }
  }
  auto checked = checkLoad(now, key, order);
  if (checked.has_error()) {
    return checked;
  }
  beginLoad(now, key, order);
  if (options_.sabotage.loadWithoutOrder) {
    loadExtraReplica(now, order);
  }
  return base::success();
}

void Accelerators::beginLoad(base::TimePoint now, const HeldKey& key, const engine::Order& order) {
  Entry entry;
  entry.order = order;
  if (hostCache_.use(order.checkpoint)) {
    entry.doneAt = now + transferTime(order.checkpointBytes, options_.hostMemoryBytesPerSecond);
  } else if (diskCache_.contains(order.checkpoint)) {
    diskCache_.insert(order.checkpoint, order.checkpointBytes);
    entry.doneAt = now + transferTime(order.checkpointBytes, options_.localDiskBytesPerSecond);
  } else {
    entry.waitsForStore = true;
    if (storeReads_.insert(order.checkpoint).second) {
      newReads_.push_back({order.checkpoint, order.checkpointBytes});
    }
  }
  entries_[key] = std::move(entry);
}

void Accelerators::loadExtraReplica(base::TimePoint now, const engine::Order& order) {
  for (std::uint32_t index = 0; index < options_.acceleratorBytes.size(); ++index) {
    engine::Order extra = order;
    extra.accelerator.value = index;
    const HeldKey key = keyOf(extra);
    const std::uint64_t capacity = options_.acceleratorBytes[index];
    const bool fits = usedBytes(extra.accelerator) + extra.acceleratorBytes <= capacity;
    if (entries_.count(key) == 0 && fits) {
      beginLoad(now, key, extra);
      return;
    }
  }
}

void Accelerators::unload(base::TimePoint now, const engine::Order& order) {
  const HeldKey key = keyOf(order);
  const auto held = entries_.find(key);
  if (held == entries_.end()) {
    return;
  }
  Entry& entry = held->second;
  if (entry.state == HeldState::failed) {
    entries_.erase(held);
    unloadBaseIfIdle(now, key);
    return;
  }
  entry.loadAgain.reset();
  if (entry.state == HeldState::unloading) {
    return;
  }
  entry.state = HeldState::unloading;
  entry.doneAt = base::kNever;
  entry.waitsForStore = false;
  beginUnloadIfIdle(now, key);
}

void Accelerators::beginUnloadIfIdle(base::TimePoint now, const HeldKey& key) {
  const auto held = entries_.find(key);
  if (held == entries_.end()) {
    return;
  }
  Entry& entry = held->second;
  const bool waits = entry.state == HeldState::unloading && entry.doneAt == base::kNever;
  if (waits && entry.activeRequests == 0 && !hasAdapters(key)) {
    entry.doneAt = now + options_.unloadTime;
  }
}

void Accelerators::unloadBaseIfIdle(base::TimePoint now, const HeldKey& adapter) {
  HeldKey base = adapter;
  base.servable.adapter.clear();
  beginUnloadIfIdle(now, base);
}

void Accelerators::storeRead(base::TimePoint now, const StoreRead& read) {
  if (storeReads_.erase(read.checkpoint) == 0) {
    return;
  }
  for (auto& [key, entry] : entries_) {
    if (!entry.waitsForStore || entry.order.checkpoint != read.checkpoint) {
      continue;
    }
    entry.waitsForStore = false;
    if (read.ok) {
      diskCache_.insert(read.checkpoint, entry.order.checkpointBytes);
      entry.doneAt =
          now + transferTime(entry.order.checkpointBytes, options_.hostMemoryBytesPerSecond);
    } else {
      entry.state = HeldState::failed;
    }
  }
}

void Accelerators::advance(base::TimePoint now) {
  while (nextWakeup() <= now) {
    const base::TimePoint due = nextWakeup();
    const auto held = std::find_if(entries_.begin(), entries_.end(), [&](const auto& candidate) {
      return candidate.second.doneAt == due;
    });
    if (held->second.state == HeldState::loading) {
      finishLoad(held->second);
    } else {
      finishUnload(due, HeldKey(held->first));
    }
  }
}

void Accelerators::finishLoad(Entry& entry) {
  entry.state = HeldState::ready;
  entry.doneAt = base::kNever;
  hostCache_.insert(entry.order.checkpoint, entry.order.checkpointBytes);
}

void Accelerators::finishUnload(base::TimePoint now, const HeldKey& key) {
  const Entry entry = entries_.at(key);
  entries_.erase(key);
  hostCache_.use(entry.order.checkpoint);
  unloaded_.push_back(key.servable);
  unloadBaseIfIdle(now, key);
  const bool single = options_.acceleratorBytes.size() == 1;
  if (entry.loadAgain) {
    // The memory was reserved until now, so only the base of an adapter can be missing.
    if (checkLoad(now, key, *entry.loadAgain).has_value()) {
      beginLoad(now, key, *entry.loadAgain);
    }
  } else if (options_.sabotage.loadWithoutOrder && single) {
    beginLoad(now, key, entry.order);
  }
}

base::TimePoint Accelerators::nextWakeup() const {
  base::TimePoint next = base::kNever;
  for (const auto& [key, entry] : entries_) {
    next = std::min(next, entry.doneAt);
  }
  return next;
}

std::optional<HeldKey> Accelerators::acquire(const resource::Servable& servable) {
  auto best = entries_.end();
  for (auto held = entries_.begin(); held != entries_.end(); ++held) {
    if (held->first.servable != servable || held->second.state != HeldState::ready) {
      continue;
    }
    if (best == entries_.end() || held->second.activeRequests < best->second.activeRequests) {
      best = held;
    }
  }
  if (best == entries_.end()) {
    return std::nullopt;
  }
  ++best->second.activeRequests;
  return best->first;
}

void Accelerators::release(base::TimePoint now, const HeldKey& key) {
  const auto held = entries_.find(key);
  if (held != entries_.end() && held->second.activeRequests > 0) {
    --held->second.activeRequests;
    beginUnloadIfIdle(now, key);
  }
}

std::vector<engine::HeldServable> Accelerators::held() const {
  std::vector<engine::HeldServable> held;
  for (const auto& [key, entry] : entries_) {
    const std::uint64_t bytes = entry.state == HeldState::failed ? 0 : entry.order.acceleratorBytes;
    held.push_back({key.servable, key.accelerator, bytes, entry.state, entry.activeRequests});
  }
  return held;
}

std::vector<engine::CachedCheckpoint> Accelerators::cached() const {
  std::vector<engine::CachedCheckpoint> cached;
  for (const std::string& name : hostCache_.names()) {
    cached.push_back({name, engine::CacheTier::hostMemory});
  }
  for (const std::string& name : diskCache_.names()) {
    if (!hostCache_.contains(name)) {
      cached.push_back({name, engine::CacheTier::localDisk});
    }
  }
  return cached;
}

std::vector<ReadFromStore> Accelerators::takeReads() { return std::exchange(newReads_, {}); }

std::vector<resource::Servable> Accelerators::takeUnloaded() {
  return std::exchange(unloaded_, {});
}

std::vector<Violation> Accelerators::takeViolations() { return std::exchange(violations_, {}); }

}  // namespace walnut::standin
