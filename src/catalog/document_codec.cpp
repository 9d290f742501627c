#include "walnut/catalog/document_codec.h"

#include <Poco/DeflatingStream.h>
#include <Poco/Exception.h>
#include <Poco/InflatingStream.h>

#include <array>
#include <sstream>

#include "base/archive.h"

namespace walnut::catalog {

namespace {

/// Limit on the decompressed size; above the encoded size of the longest document text that the
/// registry accepts (4 MB).
constexpr std::size_t kMaxDecompressedBytes = 16U << 20U;
/// Fastest compression level of zlib: a document is compressed while a change is in progress.
constexpr int kCompressionLevel = 1;
constexpr std::size_t kReadBytes = 64U << 10U;

std::string deflate(const std::string& plain) {
  std::ostringstream packed;
  Poco::DeflatingOutputStream stream(packed, Poco::DeflatingStreamBuf::STREAM_ZLIB,
                                     kCompressionLevel);
  stream.write(plain.data(), static_cast<std::streamsize>(plain.size()));
  stream.close();
  return packed.str();
}

base::Error malformed(const std::string& detail) {
  return {base::ErrorCode::malformedInput, "document", detail};
}

base::Result<std::string> inflate(std::string_view packed) {
  try {
    std::istringstream input{std::string(packed)};
    Poco::InflatingInputStream stream(input, Poco::InflatingStreamBuf::STREAM_ZLIB);
    std::string plain;
    std::array<char, kReadBytes> buffer{};
    while (stream.read(buffer.data(), buffer.size()) || stream.gcount() > 0) {
      plain.append(buffer.data(), static_cast<std::size_t>(stream.gcount()));
      if (plain.size() > kMaxDecompressedBytes) {
        return base::Error{base::ErrorCode::inputTooLarge, "document",
                           "over " + std::to_string(kMaxDecompressedBytes) + " bytes"};
      }
    }
    if (stream.bad()) {
      return malformed("not a deflated stream");
    }
    return plain;
  } catch (const Poco::Exception& exception) {
    return malformed(exception.displayText());
  }
}

template <class T>
base::Result<T> unpack(std::string_view bytes) {
  BOOST_OUTCOME_TRY(plain, inflate(bytes));
  return base::decode<T>(plain, "document");
}

}  // namespace

std::string packDocument(const Document& document) { return deflate(base::encode(document)); }

std::string packDelta(const DocumentDelta& delta) { return deflate(base::encode(delta)); }

base::Result<Document> unpackDocument(std::string_view bytes) { return unpack<Document>(bytes); }

base::Result<DocumentDelta> unpackDelta(std::string_view bytes) {
  return unpack<DocumentDelta>(bytes);
}

}  // namespace walnut::catalog
