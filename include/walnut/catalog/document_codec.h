#pragma once
/// @file
/// Wire format of documents and deltas: serialized by cereal, then compressed by deflate, which
/// pays off because routes resemble each other (docs/CAPACITY.md has the sizes).

#include <string>
#include <string_view>

#include "walnut/base/error.h"
#include "walnut/catalog/document.h"
#include "walnut/catalog/document_delta.h"

namespace walnut::catalog {

std::string packDocument(const Document& document);
std::string packDelta(const DocumentDelta& delta);

/// @name Decoding
/// @return the decoded value; otherwise `malformedInput`, or `inputTooLarge` if the decompressed
/// size exceeds that of any document that the registry accepts. Decompression stops at that limit,
/// so no more memory than that is allocated.
/// @{
base::Result<Document> unpackDocument(std::string_view bytes);
base::Result<DocumentDelta> unpackDelta(std::string_view bytes);
/// @}

}  // namespace walnut::catalog
