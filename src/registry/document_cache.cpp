#include "registry/document_cache.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace walnut::registry {

namespace {

/// Half the number of changes that an operator may have in progress at once: a document of
/// thousands of routes takes a megabyte or more.
constexpr std::size_t kMaxEntries = 4;

}  // namespace

DocumentCache::Key DocumentCache::keyOf(const std::string& text) {
  const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  return {text.size(), hash.low64, hash.high64};
}

base::Result<std::shared_ptr<const catalog::Document>> DocumentCache::read(
    const std::string& text) {
  const Key key = keyOf(text);
  const auto found = std::find_if(entries_.begin(), entries_.end(),
                                  [&key](const Entry& entry) { return entry.key == key; });
  if (found != entries_.end()) {
    std::rotate(entries_.begin(), found, found + 1);
    return entries_.front().document;
  }
  BOOST_OUTCOME_TRY(document, reader_.read(text));
  entries_.push_front({key, std::make_shared<const catalog::Document>(std::move(document))});
  if (entries_.size() > kMaxEntries) {
    entries_.pop_back();
  }
  return entries_.front().document;
}

}  // namespace walnut::registry
