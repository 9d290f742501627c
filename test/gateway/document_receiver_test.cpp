/// Tests of reassembling documents from their parts.

#include "gateway/document_receiver.h"

#include <xxhash.h>

#include "walnut/catalog/document_codec.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::gateway;

TEST_GROUP(DocumentReceiverTest) {
  DocumentReceiver receiver;

  static catalog::Document document(std::uint64_t version) {
    catalog::Document made;
    made.version = version;
    made.services.push_back({"service", "/", 0, std::nullopt});
    return made;
  }
  static registry::DocumentPart part(const std::string& bytes, std::uint64_t version,
                                     std::size_t offset, std::size_t size) {
    registry::DocumentPart made;
    made.version = version;
    made.hash = XXH3_64bits(bytes.data(), bytes.size());
    made.totalBytes = bytes.size();
    made.offset = offset;
    made.bytes = bytes.substr(offset, size);
    return made;
  }
};

TEST(DocumentReceiverTest, theLastPartCompletesTheDocument) {
  const std::string bytes = catalog::packDocument(document(4));
  CHECK_TRUE(receiver.take(part(bytes, 4, 0, 10), nullptr).value() == nullptr);
  CHECK_EQUAL(10, receiver.cursor().received);
  const auto whole = receiver.take(part(bytes, 4, 10, bytes.size()), nullptr).value();
  CHECK_TRUE(*whole == document(4));
}

TEST(DocumentReceiverTest, aDuplicatePartIsIgnored) {
  const std::string bytes = catalog::packDocument(document(4));
  (void)receiver.take(part(bytes, 4, 0, 10), nullptr);
  (void)receiver.take(part(bytes, 4, 0, 5), nullptr);
  CHECK_EQUAL(10, receiver.cursor().received);
}

TEST(DocumentReceiverTest, anotherDocumentReplacesTheIncompleteOne) {
  const std::string previous = catalog::packDocument(document(4));
  (void)receiver.take(part(previous, 4, 0, 10), nullptr);
  const std::string bytes = catalog::packDocument(document(5));
  const auto whole = receiver.take(part(bytes, 5, 0, bytes.size()), nullptr).value();
  CHECK_EQUAL(5, whole->version);
}

TEST(DocumentReceiverTest, aDeltaIsAppliedToTheHeldDocument) {
  const catalog::Document held = document(4);
  catalog::Document next = document(6);
  next.services.push_back({"other", "/", 0, std::nullopt});
  const std::string bytes = catalog::packDelta(catalog::makeDelta(held, next));
  registry::DocumentPart delta = part(bytes, 6, 0, bytes.size());
  delta.baseVersion = 4;
  CHECK_TRUE(*receiver.take(delta, &held).value() == next);
}

TEST(DocumentReceiverTest, aDeltaForAnotherBaseIsRefusedAndDropped) {
  const std::string bytes = catalog::packDelta(catalog::makeDelta(document(4), document(6)));
  registry::DocumentPart delta = part(bytes, 6, 0, bytes.size());
  delta.baseVersion = 4;
  const catalog::Document held = document(5);
  CHECK_TRUE(receiver.take(delta, &held).has_error());
  CHECK_TRUE(receiver.take(delta, nullptr).has_error());
  CHECK_TRUE(receiver.cursor() == registry::DocumentCursor{});
}

TEST(DocumentReceiverTest, damagedAndOversizedInputIsRefused) {
  std::string bytes = catalog::packDocument(document(4));
  registry::DocumentPart damaged = part(bytes, 4, 0, bytes.size());
  damaged.bytes.back() = static_cast<char>(damaged.bytes.back() + 1);
  const auto refused = receiver.take(damaged, nullptr);
  STRCMP_EQUAL("documentPart.hash", refused.error().field.c_str());
  registry::DocumentPart oversized = part(bytes, 5, 0, 1);
  oversized.totalBytes = 1U << 30U;
  CHECK_TRUE(receiver.take(oversized, nullptr).error().code == base::ErrorCode::inputTooLarge);
}
