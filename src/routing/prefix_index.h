#pragma once
/// @file
/// Index of the prompt prefixes that engines are thought to hold in their caches.

#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "walnut/engine/messages.h"

namespace walnut::routing {

/// Number of bytes of a prompt that are hashed as one block.
inline constexpr std::size_t kPrefixBlockBytes = 256;
/// Maximum number of blocks of a prompt that are compared; a longer common prefix makes no
/// difference.
inline constexpr std::size_t kMaxPrefixBlocks = 64;

/// Maximum number of hashes over all engines. At about 94 bytes each they take 2.3 MB of a router's
/// memory; the rest of the state leaves no more (docs/CAPACITY.md). This covers the prompts that 50
/// requests per second of 2 KB each send in 60 s.
inline constexpr std::size_t kMaxPrefixHashes = 24'576;

/// @return for each whole block the hash of the prompt up to its end: XXH3 of the block, seeded
/// with the hash of the preceding text. The first one is seeded with the hash of the servable's
/// model, version and adapter, each followed by a zero byte.
std::vector<std::uint64_t> prefixHashes(const resource::Servable& servable,
                                        const std::string& prompt);

/// Estimates which prefixes engines hold. A wrong estimate costs time, never correctness. The size
/// is bounded over all engines; the least recently used prefix is evicted first.
class PrefixIndex {
 public:
  /// Records that this router sent a prompt to the engine, which will therefore hold its prefixes.
  void recordPrompt(const base::EngineId& engine, const std::vector<std::uint64_t>& hashes);
  /// Applies cache events of an engine. Events that are not newer than the last one are ignored.
  /// After a gap in the sequence the engine's entries are dropped, because any of them may have
  /// been evicted.
  void apply(const base::EngineId& engine, const std::vector<engine::CacheEvent>& events);
  /// Drops the entries of an engine that is gone or has a new incarnation.
  void eraseEngine(const base::EngineId& engine);
  /// @return the number of leading blocks that the engine is thought to hold.
  std::size_t matchingBlocks(const base::EngineId& engine,
                             const std::vector<std::uint64_t>& hashes) const;
  /// @return the number of stored hashes.
  std::size_t size() const { return lruBlocks_.size(); }

 private:
  struct EnginePrefixes;
  /// Hash that an engine is thought to hold. `holder` stays valid, since maps don't move their
  /// values.
  struct Block {
    EnginePrefixes* holder = nullptr;
    std::uint64_t hash = 0;
  };
  struct EnginePrefixes {
    std::uint64_t lastSequence = 0;
    std::unordered_map<std::uint64_t, std::list<Block>::iterator> hashes;
  };
  void insert(EnginePrefixes& known, std::uint64_t hash);
  void erase(EnginePrefixes& known, std::uint64_t hash);
  void clear(EnginePrefixes& known);

  std::list<Block> lruBlocks_;  ///< Blocks of all engines, most recently used first.
  std::map<base::EngineId, EnginePrefixes> engines_;
};

}  // namespace walnut::routing
