#pragma once
/// @file
/// Accelerators of a stand-in engine: memory, servables loaded on them, load times by tier.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "standin/checkpoint_cache.h"
#include "walnut/base/error.h"
#include "walnut/base/time.h"
#include "walnut/standin/engine.h"

namespace walnut::standin {

/// A servable on an accelerator.
struct HeldKey {
  base::AcceleratorIndex accelerator;
  resource::Servable servable;
  auto operator<=>(const HeldKey&) const = default;
};

/// States of a held servable (engine::HeldState):
///   (absent) -> loading      on a load order
///   loading -> ready         when the weights are there
///   loading -> failed        when the store read failed; its memory is free
///   failed -> loading        on a load order
///   ready, loading -> unloading  on an unload order
///   unloading -> ready       on a load order, if the unload still waits for requests to finish
///   unloading -> (absent)    `unloadTime` after it became idle; then -> loading if a load order
///                            came meanwhile
///   failed -> (absent)       on an unload order
class Accelerators {
 public:
  explicit Accelerators(const EngineModelOptions& options);

  /// Both only begin the work.
  base::Result<void> load(base::TimePoint now, const engine::Order& order);
  void unload(base::TimePoint now, const engine::Order& order);
  void storeRead(base::TimePoint now, const StoreRead& read);
  /// Finishes the loads and unloads that are due.
  void advance(base::TimePoint now);
  base::TimePoint nextWakeup() const;

  /// Takes a ready replica of the servable for a request: the one with the fewest.
  std::optional<HeldKey> acquire(const resource::Servable& servable);
  /// Gives it back; a waiting unload begins once nobody uses the replica.
  void release(base::TimePoint now, const HeldKey& key);

  std::vector<engine::HeldServable> held() const;
  std::vector<engine::CachedCheckpoint> cached() const;
  std::vector<ReadFromStore> takeReads();
  /// @return servables that have gone since the last call.
  std::vector<resource::Servable> takeUnloaded();
  std::vector<Violation> takeViolations();

 private:
  struct Entry {
    engine::Order order;  ///< The load order.
    engine::HeldState state = engine::HeldState::loading;
    std::uint32_t activeRequests = 0;
    /// End of the present load or unload; kNever while it waits for the store or for requests.
    base::TimePoint doneAt = base::kNever;
    bool waitsForStore = false;
    std::optional<engine::Order> loadAgain;  ///< A load order that came while unloading.
  };
  using Entries = std::map<HeldKey, Entry>;

  base::Result<void> checkLoad(base::TimePoint now, const HeldKey& key, const engine::Order& order);
  std::uint64_t usedBytes(base::AcceleratorIndex accelerator) const;
  bool hasReadyBase(const HeldKey& key) const;
  bool hasAdapters(const HeldKey& key) const;
  void beginLoad(base::TimePoint now, const HeldKey& key, const engine::Order& order);
  void beginUnloadIfIdle(base::TimePoint now, const HeldKey& key);
  /// An adapter is gone: its base may have waited for that.
  void unloadBaseIfIdle(base::TimePoint now, const HeldKey& adapter);
  void finishLoad(Entry& entry);
  void finishUnload(base::TimePoint now, const HeldKey& key);
  void loadExtraReplica(base::TimePoint now, const engine::Order& order);

  EngineModelOptions options_;
  CheckpointCache hostCache_;
  CheckpointCache diskCache_;
  Entries entries_;
  std::set<std::string> storeReads_;  ///< Reads that were asked for and not answered.
  std::vector<ReadFromStore> newReads_;
  std::vector<resource::Servable> unloaded_;
  std::vector<Violation> violations_;
};

}  // namespace walnut::standin
