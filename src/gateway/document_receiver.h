#pragma once
/// @file
/// Puts a document together from the parts that a leader sends.

#include <memory>
#include <optional>
#include <string>

#include "walnut/base/error.h"
#include "walnut/catalog/document.h"
#include "walnut/registry/messages.h"

namespace walnut::gateway {

/// Keeps what has come across connections: the parts of one document are the same from any server.
class DocumentReceiver {
 public:
  /// @param held the document that the gateway holds; a delta applies to no other. May be null.
  /// @return the document if it is whole now; an error if what came is not one: it is then dropped
  /// and has to be sent anew.
  base::Result<std::shared_ptr<const catalog::Document>> take(const registry::DocumentPart& part,
                                                              const catalog::Document* held);
  /// @return how far the document that is being taken has come.
  const registry::DocumentCursor& cursor() const { return cursor_; }

 private:
  base::Result<catalog::Document> decode(const catalog::Document* held) const;

  registry::DocumentCursor cursor_;
  std::string bytes_;
};

}  // namespace walnut::gateway
