/// Tests of which messages of the registry's servers change a gateway's state.

#include "gateway/registry_follower.h"

#include <xxhash.h>

#include "gateway/gateway_harness.h"
#include "walnut/catalog/document_codec.h"
#include "walnut/registry/feature_level.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::gateway;
using namespace walnut::gateway::testing;
using namespace std::chrono_literals;

namespace {

struct RecordingLink : RegistryLink {
  std::vector<base::Endpoint> opens;
  std::vector<registry::MessageBody> sent;
  std::size_t closes = 0;
  void open(const base::Endpoint& server) override { opens.push_back(server); }
  void close(protocol::ConnectionId) override { ++closes; }
  void send(protocol::ConnectionId, registry::MessageBody message) override {
    sent.push_back(std::move(message));
  }
};

}  // namespace

TEST_GROUP(RegistryFollowerTest) {
  ManualScheduler scheduler;
  RecordingLink link;
  runtime::NullEventLog log;
  runtime::NullMetricsSink metrics;
  TestDialect dialect;
  RecordingLauncher launcher;
  RegistrySession session{GatewayHarness::sessionOptions(), scheduler, link, log, 1};
  Gateway gateway{GatewayHarness::options(), scheduler, dialect, launcher, session, log, metrics};
  RegistryFollower follower{scheduler, session, gateway, log};
  std::uint64_t connection = 0;

  void setup() override { session.start(); }

  void connect() { session.opened({++connection}, link.opens.back(), registry::kFeatureLevel); }
  void receive(std::uint64_t from, registry::MessageBody body) {
    follower.messageReceived({from}, {std::move(body)});
    scheduler.settle();
  }
  void receiveView(std::uint64_t documentVersion) {
    registry::ViewUpdate view;
    view.complete = true;
    view.documentVersion = documentVersion;
    receive(connection, view);
  }
  static std::string encoded(std::uint64_t version) {
    catalog::Document document;
    document.version = version;
    return catalog::packDocument(document);
  }
  static registry::DocumentPart part(std::uint64_t version, std::size_t offset, std::size_t size) {
    const std::string bytes = encoded(version);
    registry::DocumentPart made;
    made.version = version;
    made.hash = XXH3_64bits(bytes.data(), bytes.size());
    made.totalBytes = bytes.size();
    made.offset = offset;
    made.bytes = bytes.substr(offset, size);
    return made;
  }
  static registry::DocumentPart whole(std::uint64_t version) {
    return part(version, 0, encoded(version).size());
  }
  template <class Body>
  std::vector<Body> sent() const {
    std::vector<Body> found;
    for (const registry::MessageBody& body : link.sent) {
      if (const auto* one = std::get_if<Body>(&body)) {
        found.push_back(*one);
      }
    }
    return found;
  }
};

TEST(RegistryFollowerTest, aDocumentFromTheLeaderIsAppliedAndAcknowledged) {
  connect();
  receiveView(4);
  CHECK_FALSE(gateway.ready());
  receive(connection, whole(4));
  CHECK_EQUAL(4, gateway.documentVersion());
  CHECK_TRUE(gateway.ready());
  CHECK_EQUAL(4, sent<registry::DocumentPartAck>().at(0).cursor.version);
}

/// This is the state of a restarted gateway before it has found a leader.
TEST(RegistryFollowerTest, messagesOfServersNotFollowedAreIgnored) {
  connect();
  receive(connection, whole(4));
  CHECK_EQUAL(0, gateway.documentVersion());
  receiveView(4);
  receive(connection + 1, whole(4));
  CHECK_EQUAL(0, gateway.documentVersion());
}

TEST(RegistryFollowerTest, anOlderDocumentIsIgnored) {
  connect();
  receiveView(5);
  receive(connection, whole(5));
  receive(connection, whole(4));
  CHECK_EQUAL(5, gateway.documentVersion());
}

/// The connection may break in the middle of a document, or the leader may change.
TEST(RegistryFollowerTest, theNextSubscriptionResumesTheDocument) {
  connect();
  receiveView(4);
  receive(connection, part(4, 0, 10));
  session.closed({connection});
  scheduler.advance(100ms);
  connect();
  const registry::Subscribe again = sent<registry::Subscribe>().back();
  CHECK_EQUAL(0, again.documentVersion);
  CHECK_EQUAL(4, again.cursor.version);
  CHECK_EQUAL(10, again.cursor.received);
  receiveView(4);
  receive(connection, part(4, 10, encoded(4).size()));
  CHECK_EQUAL(4, gateway.documentVersion());
}

TEST(RegistryFollowerTest, aRefusedDeltaIsReplacedByTheWholeDocument) {
  connect();
  receiveView(4);
  receive(connection, whole(4));
  registry::DocumentPart wrong = whole(6);
  wrong.baseVersion = 3;
  receive(connection, wrong);
  CHECK_EQUAL(1, link.closes);
  CHECK_EQUAL(4, gateway.documentVersion());
  scheduler.advance(100ms);
  connect();
  CHECK_EQUAL(0, sent<registry::Subscribe>().back().documentVersion);
}

TEST(RegistryFollowerTest, aMissingNewerDocumentCausesANewSubscription) {
  connect();
  receiveView(4);
  for (int view = 0; view < 7; ++view) {
    scheduler.advance(250ms);
    receiveView(4);
  }
  CHECK_EQUAL(1, link.closes);
  CHECK_FALSE(session.following());
}

TEST(RegistryFollowerTest, aSlowDocumentCausesNoNewSubscription) {
  connect();
  receiveView(4);
  for (std::size_t offset = 0; offset < 12; offset += 2) {
    scheduler.advance(800ms);
    receive(connection, part(4, offset, 2));
    receiveView(4);
  }
  CHECK_EQUAL(0, link.closes);
}

TEST(RegistryFollowerTest, aPackedViewOfTheCurrentServerIsApplied) {
  connect();
  registry::ViewUpdate view;
  view.complete = true;
  view.documentVersion = 4;
  registry::ViewCursor cursor;
  const std::string packed = registry::ViewEncoder().encode(view, cursor);
  receive(connection + 1, registry::PackedView{packed});
  CHECK_FALSE(session.following());
  receive(connection, registry::PackedView{packed});
  CHECK_TRUE(session.following());
  CHECK_TRUE(gateway.isBehind());
}

/// Names in a packed view refer to previous views, so none can be decoded after an unreadable one.
TEST(RegistryFollowerTest, anUnreadablePackedViewCausesANewSubscription) {
  connect();
  receiveView(1);
  const std::size_t closes = link.closes;
  receive(connection, registry::PackedView{"\xff"});
  CHECK_EQUAL(closes + 1, link.closes);
  CHECK_FALSE(session.following());
}
