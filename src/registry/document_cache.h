#pragma once
/// @file
/// Documents that were read lately. Reading takes long (48 ms of a core for 4,200 routes), and the
/// same text comes again: as a call that is repeated, then as the entry of the log.

#include <deque>
#include <memory>
#include <string>

#include "walnut/registry/registry.h"

namespace walnut::registry {

class DocumentCache {
 public:
  explicit DocumentCache(const DocumentReader& reader) : reader_(reader) {}

  /// @return the document of that text, not validated, or the reader's error.
  base::Result<std::shared_ptr<const catalog::Document>> read(const std::string& text);

 private:
  /// What tells one text from another: size and XXH3 of 128 bits.
  struct Key {
    std::size_t size = 0;
    std::uint64_t low = 0;
    std::uint64_t high = 0;
    bool operator==(const Key&) const = default;
  };
  struct Entry {
    Key key;
    std::shared_ptr<const catalog::Document> document;
  };
  static Key keyOf(const std::string& text);

  const DocumentReader& reader_;
  std::deque<Entry> entries_;  ///< The one used last is in front.
};

}  // namespace walnut::registry
