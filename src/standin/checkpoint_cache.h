#pragma once
/// @file
/// Cache of checkpoints of one tier, bounded in bytes, least recently used first out.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace walnut::standin {

class CheckpointCache {
 public:
  /// @param capacityBytes bound over all checkpoints held.
  explicit CheckpointCache(std::uint64_t capacityBytes) : capacityBytes_(capacityBytes) {}

  /// Adds or renews a checkpoint and evicts others to make room. One that is larger than the whole
  /// cache is not kept.
  void insert(const std::string& checkpoint, std::uint64_t bytes);
  /// Renews the checkpoint.
  /// @return false if it is not cached.
  bool use(const std::string& checkpoint);
  bool contains(const std::string& checkpoint) const { return entries_.count(checkpoint) > 0; }
  std::vector<std::string> names() const;
  std::uint64_t usedBytes() const { return usedBytes_; }

 private:
  struct Entry {
    std::uint64_t bytes = 0;
    std::uint64_t lastUse = 0;
  };

  void evictOldest();

  std::uint64_t capacityBytes_;
  std::uint64_t usedBytes_ = 0;  ///< Sum over entries_; at most capacityBytes_.
  std::uint64_t useCount_ = 0;
  std::map<std::string, Entry> entries_;
};

}  // namespace walnut::standin
