#pragma once
/// @file
/// Cache of recently parsed documents. Parsing is slow (48 ms of a core for 4,200 routes), and the
/// same text arrives repeatedly: as a repeated call, then as a log entry.

#include <deque>
#include <memory>
#include <string>

#include "walnut/registry/registry.h"

namespace walnut::registry {

/// Least-recently-used cache of parsed documents, keyed by a hash of their text.
class DocumentCache {
 public:
  explicit DocumentCache(const DocumentReader& reader) : reader_(reader) {}

  /// @return the document parsed from the text, not validated, or the reader's error.
  base::Result<std::shared_ptr<const catalog::Document>> read(const std::string& text);

 private:
  /// Identity of a text: its size and 128-bit XXH3 hash.
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
  std::deque<Entry> entries_;  ///< Most recently used first.
};

}  // namespace walnut::registry
