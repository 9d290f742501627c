/// Tests of DocumentSender.

#include "registry/document_sender.h"

#include "walnut/catalog/document_codec.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::registry;
using namespace std::chrono_literals;

TEST_GROUP(DocumentSenderTest) {
  const base::TimePoint start = base::TimePoint(100s);
  DocumentSender sender;

  static std::shared_ptr<const catalog::Document> document(std::uint64_t version,
                                                           std::size_t routes) {
    auto made = std::make_shared<catalog::Document>();
    made->version = version;
    for (std::size_t number = 0; number < routes; ++number) {
      catalog::Route route;
      route.name = std::to_string(number * 0x9e3779b97f4a7c15U);
      route.host = "h";
      route.pathPrefix = "/" + route.name + "/";
      made->routes.push_back(route);
    }
    return made;
  }
  static DocumentCursor cursorAfter(const DocumentPart& part) {
    return {part.version, part.baseVersion, part.hash, part.offset + part.bytes.size()};
  }
  /// Acknowledges all parts until no more are sent. @return their bytes.
  std::string drain(protocol::ConnectionId gateway) {
    std::string bytes;
    base::TimePoint now = start;
    for (int round = 0; round < 1000; ++round) {
      now += 10ms;
      const auto parts = sender.takeParts(now);
      if (parts.empty()) {
        break;
      }
      for (const auto& sent : parts) {
        CHECK_EQUAL(bytes.size(), sent.part.offset);
        bytes += sent.part.bytes;
        sender.partTaken(gateway, cursorAfter(sent.part));
      }
    }
    return bytes;
  }
};

TEST(DocumentSenderTest, aGatewayWithoutADocumentIsSentTheWholeDocument) {
  const auto large = document(4, 4000);
  sender.setDocument(large);
  sender.subscribe({1}, 0, {});
  const std::string bytes = drain({1});
  CHECK_TRUE(catalog::unpackDocument(bytes).value() == *large);
  CHECK_TRUE(sender.takeDelivered());
  CHECK_FALSE(sender.takeDelivered());
}

TEST(DocumentSenderTest, aGatewayThatHoldsTheDocumentIsSentNothing) {
  sender.setDocument(document(4, 10));
  sender.subscribe({1}, 4, {});
  CHECK_TRUE(sender.takeParts(start).empty());
  CHECK_TRUE(sender.nextParts() == base::kNever);
}

TEST(DocumentSenderTest, aGatewayWithAPreviousDocumentIsSentTheDelta) {
  sender.setDocument(document(4, 4000));
  sender.setDocument(document(5, 4001));
  sender.subscribe({1}, 4, {});
  const std::string bytes = drain({1});
  const auto delta = catalog::unpackDelta(bytes);
  CHECK_EQUAL(4, delta.value().baseVersion);
  CHECK_EQUAL(1, delta.value().changedRoutes.size());
}

TEST(DocumentSenderTest, atMostOneWindowIsInFlightToAGateway) {
  sender.setDocument(document(4, 4000));
  sender.subscribe({1}, 0, {});
  const auto parts = sender.takeParts(start);
  CHECK_EQUAL(2, parts.size());
  CHECK_TRUE(sender.takeParts(start + 10ms).empty());
  sender.partTaken({1}, cursorAfter(parts[0].part));
  CHECK_EQUAL(1, sender.takeParts(start + 20ms).size());
}

/// The work of one event loop iteration must not grow with the number of gateways.
TEST(DocumentSenderTest, partsPerTimeSliceAreBoundedForAnyNumberOfGateways) {
  sender.setDocument(document(4, 4000));
  for (std::uint64_t gateway = 1; gateway <= 400; ++gateway) {
    sender.subscribe({gateway}, 0, {});
  }
  CHECK_EQUAL(8, sender.takeParts(start).size());
  CHECK_TRUE(sender.takeParts(start + 1ms).empty());
  CHECK_TRUE(sender.nextParts() == start + 10ms);
  CHECK_EQUAL(8, sender.takeParts(start + 10ms).size());
}

TEST(DocumentSenderTest, aTransferResumesWhereAnotherServerStopped) {
  sender.setDocument(document(4, 4000));
  sender.subscribe({1}, 0, {});
  const DocumentPart first = sender.takeParts(start).at(0).part;
  DocumentSender other;
  other.setDocument(document(4, 4000));
  other.subscribe({7}, 0, cursorAfter(first));
  CHECK_EQUAL(first.bytes.size(), other.takeParts(start).at(0).part.offset);
}

TEST(DocumentSenderTest, aCursorOfDifferentContentIsNotResumed) {
  sender.setDocument(document(4, 4000));
  sender.subscribe({1}, 0, {4, 0, 12345, 32768});
  CHECK_EQUAL(0, sender.takeParts(start).at(0).part.offset);
}

/// Otherwise changes in quick succession would starve a gateway on a slow link.
TEST(DocumentSenderTest, aTransferIsFinishedBeforeANewerDocumentIsSent) {
  sender.setDocument(document(4, 4000));
  sender.subscribe({1}, 0, {});
  const DocumentPart first = sender.takeParts(start).at(0).part;
  sender.setDocument(document(5, 4001));
  sender.partTaken({1}, cursorAfter(first));
  const auto next = sender.takeParts(start + 10ms);
  CHECK_EQUAL(4, next.at(0).part.version);
  CHECK_FALSE(sender.takeDelivered());
}

TEST(DocumentSenderTest, aTransferRestartsWhenAGatewaySubscribesAgain) {
  sender.setDocument(document(4, 4000));
  sender.subscribe({1}, 0, {});
  (void)sender.takeParts(start);
  sender.unsubscribe({1});
  sender.subscribe({1}, 0, {});
  CHECK_EQUAL(0, sender.takeParts(start + 10ms).at(0).part.offset);
}

/// A delta takes some hundred bytes, so that a large fleet must receive it within a second.
TEST(DocumentSenderTest, manySmallDeltasAreSentPerTimeSlice) {
  sender.setDocument(document(4, 10));
  constexpr std::uint64_t kGateways = 1000;
  for (std::uint64_t gateway = 1; gateway <= kGateways; ++gateway) {
    sender.subscribe({gateway}, 4, {});
  }
  sender.setDocument(document(5, 11));
  std::size_t sent = 0;
  base::TimePoint now = start;
  for (; now < start + 200ms; now += 10ms) {
    sent += sender.takeParts(now).size();
  }
  CHECK_EQUAL(kGateways, sent);
}
