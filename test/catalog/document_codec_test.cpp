/// Tests of the wire format of documents and deltas.

#include "walnut/catalog/document_codec.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::catalog;

TEST_GROUP(DocumentCodecTest){static Document document(std::size_t routes){Document made;
made.version = 9;
for (std::size_t number = 0; number < routes; ++number) {
  Route route;
  route.name = "route-" + std::to_string(number);
  route.host = "host.example";
  route.pathPrefix = "/" + route.name + "/";
  route.services = {{"service", 1}};
  made.routes.push_back(route);
}
return made;
}
}
;

TEST(DocumentCodecTest, documentsRoundTrip) {
  for (const std::size_t routes : {0, 1, 5000}) {
    const Document made = document(routes);
    CHECK_TRUE(unpackDocument(packDocument(made)).value() == made);
  }
}

TEST(DocumentCodecTest, deltasRoundTrip) {
  const DocumentDelta delta = makeDelta(document(3), document(50));
  CHECK_TRUE(unpackDelta(packDelta(delta)).value() == delta);
}

TEST(DocumentCodecTest, encodingIsDeterministic) {
  CHECK_TRUE(packDocument(document(100)) == packDocument(document(100)));
}

TEST(DocumentCodecTest, malformedInputIsRejected) {
  const std::string packed = packDocument(document(100));
  for (const std::string& bytes :
       {std::string(), std::string("nonsense"), packed.substr(0, packed.size() / 2),
        packed.substr(0, packed.size() - 1), packDelta({})}) {
    const auto refused = unpackDocument(bytes);
    CHECK_TRUE(refused.has_error());
    CHECK_TRUE(refused.error().code == base::ErrorCode::malformedInput);
  }
}

/// A short input can decompress to a very long one, and must not exhaust memory.
TEST(DocumentCodecTest, inputThatDecompressesBeyondTheLimitIsRejected) {
  Document large = document(0);
  Route route;
  route.host.assign(20U << 20U, 'h');
  large.routes.push_back(route);
  const auto refused = unpackDocument(packDocument(large));
  CHECK_TRUE(refused.has_error());
  CHECK_TRUE(refused.error().code == base::ErrorCode::inputTooLarge);
}
