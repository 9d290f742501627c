#pragma once
/// @file
/// Brings gateways the newest document, in parts, a bounded number at a time.

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "registry/turn_limit.h"
#include "walnut/catalog/document.h"
#include "walnut/protocol/messages.h"
#include "walnut/registry/messages.h"

namespace walnut::registry {

/// Kept by the leader. Invariants: a document is encoded once, however many gateways take it; at
/// most a window of bytes is under way to a gateway; a transfer that has begun is finished before a
/// newer document is sent, so that changes in quick succession can't starve a gateway.
class DocumentSender {
 public:
  DocumentSender();

  /// @param cursor what the gateway has of a newer document, from this or another server.
  void subscribe(protocol::ConnectionId gateway, std::uint64_t heldVersion,
                 const DocumentCursor& cursor);
  void unsubscribe(protocol::ConnectionId gateway) { gateways_.erase(gateway); }
  /// The document in force.
  void setDocument(std::shared_ptr<const catalog::Document> document);
  void partTaken(protocol::ConnectionId gateway, const DocumentCursor& cursor);

  struct Part {
    protocol::ConnectionId gateway;
    DocumentPart part;
  };
  /// @return what to send now; a few parts at a time.
  std::vector<Part> takeParts(base::TimePoint now);
  /// @return when `takeParts` has something, unless a call comes before.
  base::TimePoint nextParts() const;

  /// @return true once all gateways hold the document, after each change of it.
  bool takeDelivered();

 private:
  /// A document, or the delta to it, as it goes over the wire.
  struct Encoded {
    std::uint64_t version = 0;
    std::uint64_t baseVersion = 0;
    std::uint64_t hash = 0;
    std::string bytes;
  };
  struct Gateway {
    std::uint64_t heldVersion = 0;
    DocumentCursor cursor;                   ///< To go on from, until the first transfer.
    std::shared_ptr<const Encoded> content;  ///< Under way; null: nothing is.
    std::uint64_t sent = 0;                  ///< Bytes of `content`.
    std::uint64_t taken = 0;
    bool queued = false;  ///< In `ready_`.
  };

  static std::shared_ptr<const Encoded> encode(std::uint64_t version, std::uint64_t baseVersion,
                                               std::string bytes);
  std::shared_ptr<const Encoded> contentFor(std::uint64_t heldVersion);
  std::shared_ptr<const Encoded> makeContent(std::uint64_t heldVersion);
  const std::shared_ptr<const Encoded>& wholeContent();
  void queueIfReady(protocol::ConnectionId id, Gateway& gateway);
  bool mayTake(const Gateway& gateway) const;
  void beginTransfer(Gateway& gateway);
  static DocumentPart nextPart(Gateway& gateway);

  std::shared_ptr<const catalog::Document> document_;
  /// Former documents, the newest in front: gateways that hold one are sent the delta.
  std::deque<std::shared_ptr<const catalog::Document>> former_;
  std::shared_ptr<const Encoded> whole_;  ///< Of `document_`, if needed.
  std::map<std::uint64_t, std::shared_ptr<const Encoded>> contents_;  ///< By held version.
  std::map<protocol::ConnectionId, Gateway> gateways_;
  std::deque<protocol::ConnectionId> ready_;  ///< Gateways that may be sent a part, in turn.
  TurnLimit turnBytes_;
  bool deliveryReported_ = true;
};

}  // namespace walnut::registry
