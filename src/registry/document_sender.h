#pragma once
/// @file
/// Transfers the newest document to gateways, in parts and at a bounded rate.

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

/// Sender of the newest document to all gateways; used by the leader. Invariants: a document is
/// encoded once, however many gateways receive it; at most one window of bytes is in flight to a
/// gateway; a transfer is finished before a newer document is sent, so that changes in quick
/// succession can't starve a gateway.
class DocumentSender {
 public:
  DocumentSender();

  /// @param cursor what the gateway has received of a newer document, from this or another server.
  void subscribe(protocol::ConnectionId gateway, std::uint64_t heldVersion,
                 const DocumentCursor& cursor);
  void unsubscribe(protocol::ConnectionId gateway) { gateways_.erase(gateway); }
  /// Sets the current document.
  void setDocument(std::shared_ptr<const catalog::Document> document);
  void partTaken(protocol::ConnectionId gateway, const DocumentCursor& cursor);

  struct Part {
    protocol::ConnectionId gateway;
    DocumentPart part;
  };
  /// @return the parts to send now; their number is bounded.
  std::vector<Part> takeParts(base::TimePoint now);
  /// @return when `takeParts` next returns parts, if nothing else happens before.
  base::TimePoint nextParts() const;

  /// @return true once per document, when all gateways hold it.
  bool takeDelivered();

 private:
  /// A document, or the delta to it, in its encoding on the wire.
  struct Encoded {
    std::uint64_t version = 0;
    std::uint64_t baseVersion = 0;
    std::uint64_t hash = 0;
    std::string bytes;
  };
  struct Gateway {
    std::uint64_t heldVersion = 0;
    DocumentCursor cursor;                   ///< Where the first transfer resumes.
    std::shared_ptr<const Encoded> content;  ///< Content in transfer; null: none.
    std::uint64_t sent = 0;                  ///< Bytes of `content` sent.
    std::uint64_t taken = 0;                 ///< Bytes of `content` acknowledged.
    bool queued = false;                     ///< True if the gateway is in `ready_`.
  };

  static std::shared_ptr<const Encoded> encode(std::uint64_t version, std::uint64_t baseVersion,
                                               std::string bytes);
  std::shared_ptr<const Encoded> contentFor(std::uint64_t heldVersion);
  std::shared_ptr<const Encoded> makeContent(std::uint64_t heldVersion);
  const std::shared_ptr<const Encoded>& wholeContent();
  void queueIfReady(protocol::ConnectionId id, Gateway& gateway);
  bool canReceive(const Gateway& gateway) const;
  void beginTransfer(Gateway& gateway);
  static DocumentPart nextPart(Gateway& gateway);

  std::shared_ptr<const catalog::Document> document_;
  /// Previous documents, newest first: a gateway that holds one of them is sent a delta.
  std::deque<std::shared_ptr<const catalog::Document>> previous_;
  std::shared_ptr<const Encoded> whole_;  ///< The whole `document_`; null until it is needed.
  std::map<std::uint64_t, std::shared_ptr<const Encoded>> contents_;  ///< By held version.
  std::map<protocol::ConnectionId, Gateway> gateways_;
  std::deque<protocol::ConnectionId> ready_;  ///< Gateways to be sent a part, round robin.
  TurnLimit sliceBytes_;
  bool deliveryReported_ = true;
};

}  // namespace walnut::registry
