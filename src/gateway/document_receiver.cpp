#include "gateway/document_receiver.h"

#include <xxhash.h>

#include <utility>

#include "walnut/catalog/document_codec.h"

namespace walnut::gateway {

namespace {

/// Maximum size of a packed document: more than the largest text that the registry accepts (4 MB),
/// whose packed form is shorter.
constexpr std::uint64_t kMaxDocumentBytes = 16U << 20U;

}  // namespace

base::Result<std::shared_ptr<const catalog::Document>> DocumentReceiver::take(
    const registry::DocumentPart& part, const catalog::Document* held) {
  if (part.totalBytes > kMaxDocumentBytes) {
    return base::Error{base::ErrorCode::inputTooLarge, "documentPart.totalBytes",
                       std::to_string(part.totalBytes)};
  }
  const bool same = part.version == cursor_.version && part.hash == cursor_.hash;
  if (!same) {
    cursor_ = {part.version, part.baseVersion, part.hash, 0};
    bytes_.clear();
  }
  if (part.offset != bytes_.size()) {
    return std::shared_ptr<const catalog::Document>();  // The sender resumes at the cursor.
  }
  bytes_ += part.bytes;
  cursor_.received = bytes_.size();
  if (bytes_.size() < part.totalBytes) {
    return std::shared_ptr<const catalog::Document>();
  }
  base::Result<catalog::Document> document = decode(held);
  std::string().swap(bytes_);
  if (document.has_error()) {
    cursor_ = {};
    return document.error();
  }
  return std::make_shared<const catalog::Document>(std::move(document.value()));
}

base::Result<catalog::Document> DocumentReceiver::decode(const catalog::Document* held) const {
  if (XXH3_64bits(bytes_.data(), bytes_.size()) != cursor_.hash) {
    return base::Error{base::ErrorCode::malformedInput, "documentPart.hash", "damaged"};
  }
  if (cursor_.baseVersion == 0) {
    return catalog::unpackDocument(bytes_);
  }
  BOOST_OUTCOME_TRY(delta, catalog::unpackDelta(bytes_));
  if (held == nullptr) {
    return base::Error{base::ErrorCode::outOfRange, "documentPart.baseVersion",
                       "no document is held"};
  }
  return catalog::applyDelta(*held, delta);
}

}  // namespace walnut::gateway
