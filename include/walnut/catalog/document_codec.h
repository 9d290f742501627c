#pragma once
/// @file
/// The form in which documents and deltas go over the wire: cereal, then deflate, since routes are
/// much alike (docs/CAPACITY.md has the sizes).

#include <string>
#include <string_view>

#include "walnut/base/error.h"
#include "walnut/catalog/document.h"
#include "walnut/catalog/document_delta.h"

namespace walnut::catalog {

std::string packDocument(const Document& document);
std::string packDelta(const DocumentDelta& delta);

/// @name @return `malformedInput`, or `inputTooLarge` for what would grow beyond any document that
/// the registry takes; nothing is allocated for more than that.
/// @{
base::Result<Document> unpackDocument(std::string_view bytes);
base::Result<DocumentDelta> unpackDelta(std::string_view bytes);
/// @}

}  // namespace walnut::catalog
