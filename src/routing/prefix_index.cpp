#include "routing/prefix_index.h"

#include <xxhash.h>

#include <algorithm>

namespace walnut::routing {

std::vector<std::uint64_t> prefixHashes(const resource::Servable& servable,
                                        const std::string& prompt) {
  const std::size_t blocks = std::min(prompt.size() / kPrefixBlockBytes, kMaxPrefixBlocks);
  std::vector<std::uint64_t> hashes;
  if (blocks == 0) {
    return hashes;
  }
  std::string identity;
  for (const std::string* part : {&servable.model, &servable.version, &servable.adapter}) {
    identity += *part;
    identity.push_back('\0');
  }
  std::uint64_t hash = XXH3_64bits(identity.data(), identity.size());
  hashes.reserve(blocks);
  for (std::size_t block = 0; block < blocks; ++block) {
    const char* begin = prompt.data() + block * kPrefixBlockBytes;
    hash = XXH3_64bits_withSeed(begin, kPrefixBlockBytes, hash);
    hashes.push_back(hash);
  }
  return hashes;
}

void PrefixIndex::insert(EnginePrefixes& known, std::uint64_t hash) {
  erase(known, hash);
  lruBlocks_.push_front(Block{&known, hash});
  known.hashes[hash] = lruBlocks_.begin();
  if (lruBlocks_.size() > kMaxPrefixHashes) {
    const Block oldest = lruBlocks_.back();
    erase(*oldest.holder, oldest.hash);
  }
}

void PrefixIndex::erase(EnginePrefixes& known, std::uint64_t hash) {
  const auto found = known.hashes.find(hash);
  if (found != known.hashes.end()) {
    lruBlocks_.erase(found->second);
    known.hashes.erase(found);
  }
}

void PrefixIndex::clear(EnginePrefixes& known) {
  for (const auto& [hash, block] : known.hashes) {
    lruBlocks_.erase(block);
  }
  known.hashes.clear();
}

void PrefixIndex::eraseEngine(const base::EngineId& engine) {
  const auto found = engines_.find(engine);
  if (found != engines_.end()) {
    clear(found->second);
    engines_.erase(found);
  }
}

void PrefixIndex::recordPrompt(const base::EngineId& engine,
                               const std::vector<std::uint64_t>& hashes) {
  EnginePrefixes& known = engines_[engine];
  // Inserts the last block first: a prefix is useful only with all preceding blocks, so those are
  // evicted later.
  for (auto hash = hashes.rbegin(); hash != hashes.rend(); ++hash) {
    insert(known, *hash);
  }
}

void PrefixIndex::apply(const base::EngineId& engine,
                        const std::vector<engine::CacheEvent>& events) {
  EnginePrefixes& known = engines_[engine];
  for (const engine::CacheEvent& event : events) {
    if (event.sequence <= known.lastSequence) {
      continue;
    }
    if (event.sequence != known.lastSequence + 1) {
      clear(known);
    }
    known.lastSequence = event.sequence;
    if (event.evicted) {
      erase(known, event.prefixHash);
    } else {
      insert(known, event.prefixHash);
    }
  }
}

std::size_t PrefixIndex::matchingBlocks(const base::EngineId& engine,
                                        const std::vector<std::uint64_t>& hashes) const {
  const auto found = engines_.find(engine);
  if (found == engines_.end()) {
    return 0;
  }
  const EnginePrefixes& known = found->second;
  const auto unknown = std::find_if(hashes.begin(), hashes.end(), [&known](std::uint64_t hash) {
    return !known.hashes.contains(hash);
  });
  return static_cast<std::size_t>(unknown - hashes.begin());
}

}  // namespace walnut::routing
