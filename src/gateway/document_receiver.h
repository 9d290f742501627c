#pragma once
/// @file
/// Reassembles a document from the parts that a leader sends.

#include <memory>
#include <optional>
#include <string>

#include "walnut/base/error.h"
#include "walnut/catalog/document.h"
#include "walnut/registry/messages.h"

namespace walnut::gateway {

/// Reassembles one document at a time. Parts are kept across connections: the parts of one document
/// are the same from any server.
class DocumentReceiver {
 public:
  /// @param held the document that the gateway holds, the only one to which a delta may apply. May
  /// be null.
  /// @return the document if it is complete now; null if parts are missing; an error if the
  /// received bytes are invalid: they are then dropped and have to be sent anew.
  base::Result<std::shared_ptr<const catalog::Document>> take(const registry::DocumentPart& part,
                                                              const catalog::Document* held);
  /// @return the progress of the document that is being received.
  const registry::DocumentCursor& cursor() const { return cursor_; }

 private:
  base::Result<catalog::Document> decode(const catalog::Document* held) const;

  registry::DocumentCursor cursor_;
  std::string bytes_;
};

}  // namespace walnut::gateway
