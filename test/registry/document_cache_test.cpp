/// Tests of DocumentCache.

#include "registry/document_cache.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::registry;

namespace {

class CountingReader : public DocumentReader {
 public:
  base::Result<catalog::Document> read(const std::string& text) const override {
    ++reads;
    if (text == "bad") {
      return base::Error{base::ErrorCode::malformedInput, "version", text};
    }
    catalog::Document document;
    document.version = text.size();
    return document;
  }
  mutable int reads = 0;
};

}  // namespace

TEST_GROUP(DocumentCacheTest) {
  CountingReader reader;
  DocumentCache cache{reader};
};

TEST(DocumentCacheTest, aTextIsParsedOnce) {
  const auto first = cache.read("abc").value();
  CHECK_EQUAL(3, first->version);
  POINTERS_EQUAL(first.get(), cache.read("abc").value().get());
  CHECK_EQUAL(1, reader.reads);
}

TEST(DocumentCacheTest, anErrorIsNotKept) {
  CHECK_TRUE(cache.read("bad").has_error());
  CHECK_TRUE(cache.read("bad").has_error());
  CHECK_EQUAL(2, reader.reads);
}

TEST(DocumentCacheTest, theLeastRecentlyUsedDocumentIsEvicted) {
  for (const char* text : {"a", "bb", "ccc", "dddd", "a", "eeeee"}) {
    (void)cache.read(text);
  }
  CHECK_EQUAL(5, reader.reads);
  (void)cache.read("a");
  CHECK_EQUAL(5, reader.reads);
  (void)cache.read("bb");
  CHECK_EQUAL(6, reader.reads);
}
