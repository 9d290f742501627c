#include "registry/document_sender.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "walnut/catalog/document_codec.h"

namespace walnut::registry {

namespace {

/// Size of a part. At 10 Mbit/s, the slowest link in use, it takes 26 ms, so that view updates are
/// not delayed behind it.
constexpr std::size_t kPartBytes = 32U << 10U;
/// Most bytes in flight to one gateway: two parts keep the link busy while one is acknowledged.
constexpr std::size_t kWindowBytes = 2 * kPartBytes;
/// @name Rate limit: bytes per time slice, time between slices, least bytes that a part counts as.
/// The limit is 26 MB/s. At 10 us of a core per kilobyte (docs/incidents, figures of the leader)
/// that takes less than half of 0.6 cores, and leaves the event loop to consensus every few ms.
/// @{
constexpr std::size_t kMaxSliceBytes = 8 * kPartBytes;
constexpr base::Duration kPartsSpacing = std::chrono::milliseconds(10);
constexpr std::size_t kMinPartBytes = 4U << 10U;
/// @}
/// Most changes that a gateway may have missed and still be sent a delta.
constexpr std::size_t kMaxPreviousDocuments = 4;

}  // namespace

DocumentSender::DocumentSender() : sliceBytes_(kMaxSliceBytes, kPartsSpacing) {}

void DocumentSender::subscribe(protocol::ConnectionId id, std::uint64_t heldVersion,
                               const DocumentCursor& cursor) {
  Gateway& gateway = gateways_[id];
  const bool queued = gateway.queued;
  gateway = {};
  gateway.queued = queued;
  gateway.heldVersion = heldVersion;
  gateway.cursor = cursor;
  queueIfReady(id, gateway);
}

void DocumentSender::setDocument(std::shared_ptr<const catalog::Document> document) {
  if (document_ != nullptr) {
    previous_.push_front(std::move(document_));
    if (previous_.size() > kMaxPreviousDocuments) {
      previous_.pop_back();
    }
  }
  document_ = std::move(document);
  whole_.reset();
  contents_.clear();
  deliveryReported_ = false;
  for (auto& [id, gateway] : gateways_) {
    queueIfReady(id, gateway);
  }
}

void DocumentSender::partTaken(protocol::ConnectionId id, const DocumentCursor& cursor) {
  const auto found = gateways_.find(id);
  if (found == gateways_.end() || found->second.content == nullptr) {
    return;
  }
  Gateway& gateway = found->second;
  const Encoded& content = *gateway.content;
  if (cursor.version != content.version || cursor.hash != content.hash) {
    return;
  }
  gateway.taken = std::max(gateway.taken, std::min(cursor.received, gateway.sent));
  if (gateway.taken == content.bytes.size()) {
    gateway.heldVersion = content.version;
    gateway.content.reset();
  }
  queueIfReady(id, gateway);
}

bool DocumentSender::canReceive(const Gateway& gateway) const {
  if (gateway.content == nullptr) {
    return document_ != nullptr && gateway.heldVersion < document_->version;
  }
  return gateway.sent < gateway.content->bytes.size() &&
         gateway.sent - gateway.taken < kWindowBytes;
}

void DocumentSender::queueIfReady(protocol::ConnectionId id, Gateway& gateway) {
  if (!gateway.queued && canReceive(gateway)) {
    gateway.queued = true;
    ready_.push_back(id);
  }
}

std::vector<DocumentSender::Part> DocumentSender::takeParts(base::TimePoint now) {
  std::vector<Part> parts;
  while (!ready_.empty() && now >= sliceBytes_.next()) {
    const protocol::ConnectionId id = ready_.front();
    ready_.pop_front();
    const auto found = gateways_.find(id);
    if (found == gateways_.end()) {
      continue;
    }
    Gateway& gateway = found->second;
    gateway.queued = false;
    if (!canReceive(gateway)) {
      continue;
    }
    if (gateway.content == nullptr) {
      beginTransfer(gateway);
    }
    parts.push_back({id, nextPart(gateway)});
    sliceBytes_.take(now, std::max(kMinPartBytes, parts.back().part.bytes.size()));
    queueIfReady(id, gateway);
  }
  return parts;
}

base::TimePoint DocumentSender::nextParts() const {
  return ready_.empty() ? base::kNever : sliceBytes_.next();
}

void DocumentSender::beginTransfer(Gateway& gateway) {
  gateway.content = contentFor(gateway.heldVersion);
  const Encoded& content = *gateway.content;
  const DocumentCursor cursor = std::exchange(gateway.cursor, {});
  const bool same = cursor.version == content.version && cursor.hash == content.hash &&
                    cursor.received < content.bytes.size();
  gateway.sent = same ? cursor.received : 0;
  gateway.taken = gateway.sent;
}

DocumentPart DocumentSender::nextPart(Gateway& gateway) {
  const Encoded& content = *gateway.content;
  DocumentPart part;
  part.version = content.version;
  part.baseVersion = content.baseVersion;
  part.hash = content.hash;
  part.totalBytes = content.bytes.size();
  part.offset = gateway.sent;
  part.bytes = content.bytes.substr(gateway.sent, kPartBytes);
  gateway.sent += part.bytes.size();
  return part;
}

std::shared_ptr<const DocumentSender::Encoded> DocumentSender::contentFor(
    std::uint64_t heldVersion) {
  std::shared_ptr<const Encoded>& content = contents_[heldVersion];
  if (content == nullptr) {
    content = makeContent(heldVersion);
  }
  return content;
}

std::shared_ptr<const DocumentSender::Encoded> DocumentSender::makeContent(
    std::uint64_t heldVersion) {
  for (const auto& previous : previous_) {
    if (previous->version == heldVersion) {
      return encode(document_->version, heldVersion,
                    catalog::packDelta(catalog::makeDelta(*previous, *document_)));
    }
  }
  return wholeContent();
}

const std::shared_ptr<const DocumentSender::Encoded>& DocumentSender::wholeContent() {
  if (whole_ == nullptr) {
    whole_ = encode(document_->version, 0, catalog::packDocument(*document_));
  }
  return whole_;
}

std::shared_ptr<const DocumentSender::Encoded> DocumentSender::encode(std::uint64_t version,
                                                                      std::uint64_t baseVersion,
                                                                      std::string bytes) {
  const std::uint64_t hash = XXH3_64bits(bytes.data(), bytes.size());
  return std::make_shared<const Encoded>(Encoded{version, baseVersion, hash, std::move(bytes)});
}

bool DocumentSender::takeDelivered() {
  if (deliveryReported_ || document_ == nullptr || gateways_.empty()) {
    return false;
  }
  deliveryReported_ = std::all_of(gateways_.begin(), gateways_.end(), [this](const auto& entry) {
    return entry.second.heldVersion >= document_->version;
  });
  return deliveryReported_;
}

}  // namespace walnut::registry
