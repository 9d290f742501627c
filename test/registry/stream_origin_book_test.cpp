/// Tests of the memory of where streams began, and of the leader's answers from it.

#include "registry/stream_origin_book.h"

#include "registry/cluster.h"
#include "registry/leader_duties_fixture.h"
#include "walnut/protocol/codec.h"
#include "walnut/registry/feature_level.h"

using namespace walnut;
using namespace walnut::registry;
using namespace walnut::registry::testing;

namespace {

const StreamOrigin kOld{"svc", "1.0"};
const StreamOrigin kNew{"svc", "1.1"};

}  // namespace

TEST_GROUP(StreamOriginBookTest) {
  base::TimePoint now = base::TimePoint(1000s);
  StreamOriginBook book{100};

  std::string versionOf(StreamId stream) const {
    const auto origin = book.find(stream, now);
    return origin ? origin->version : "";
  }
};

TEST(StreamOriginBookTest, aStreamIsFoundWithItsServiceAndVersion) {
  book.add({{{"svc", "1.0", {1, 2}}, {"other", "7", {3}}}}, now);
  CHECK_TRUE(kOld == book.find(2, now).value());
  CHECK_TRUE((StreamOrigin{"other", "7"}) == book.find(3, now).value());
  CHECK_FALSE(book.find(4, now).has_value());
}

TEST(StreamOriginBookTest, withoutAnIdOrAVersionNothingIsRemembered) {
  CHECK_FALSE(book.add(0, kOld, now));
  CHECK_FALSE(book.add(1, {"svc", ""}, now));
  CHECK_EQUAL(0, book.size());
}

TEST(StreamOriginBookTest, streamsAreForgottenWhenNoCallerTakesThemUp) {
  book.add(1, kOld, now);
  now += kStreamMemory;
  STRCMP_EQUAL("1.0", versionOf(1).c_str());
  now += 1ms;
  STRCMP_EQUAL("", versionOf(1).c_str());
  book.add(2, kNew, now);
  CHECK_EQUAL(1, book.size());
  CHECK_EQUAL(1, book.originCount());
}

/// Otherwise an answer could name the version of another stream.
TEST(StreamOriginBookTest, anIdReportedWithTwoOriginsIsUnknown) {
  book.add(1, kOld, now);
  CHECK_TRUE(book.add(1, kNew, now));
  STRCMP_EQUAL("", versionOf(1).c_str());
  for (const StreamOrigin& again : {kOld, kNew}) {
    CHECK_FALSE(book.add(1, again, now));
    STRCMP_EQUAL("", versionOf(1).c_str());
  }
  book.add(2, kOld, now);
  book.add(2, {"other", "1.0"}, now);
  STRCMP_EQUAL("", versionOf(2).c_str());
}

/// Gateways report all that they remember again to a new connection.
TEST(StreamOriginBookTest, anIdReportedWithTwoOriginsStaysUnknownWhileItIsReported) {
  book.add(1, kOld, now);
  book.add(1, kNew, now);
  for (int count = 0; count < 3; ++count) {
    now += kStreamMemory - 1s;
    book.add(1, kNew, now);
    STRCMP_EQUAL("", versionOf(1).c_str());
  }
}

TEST(StreamOriginBookTest, theOldestIsForgottenBeyondTheLimit) {
  for (StreamId stream = 1; stream <= 1000; ++stream) {
    book.add(stream, {"svc", std::to_string(stream)}, now);
    book.add(stream - 1, kNew, now += 1ms);
    CHECK(book.size() <= 100);
    CHECK(book.originCount() <= 101);
  }
  STRCMP_EQUAL("1000", versionOf(1000).c_str());
  STRCMP_EQUAL("", versionOf(1).c_str());
}

TEST(StreamOriginBookTest, reportsRepeatWhatIsRemembered) {
  book.add(9, kOld, now);
  now += kStreamMemory;
  book.add(9, kNew, now - kStreamMemory);
  for (StreamId stream = 1; stream <= 5; ++stream) {
    book.add(stream, kOld, now);
  }
  book.add(3, kNew, now);
  now += 1ms;
  const std::vector<StreamsBegan> reports = book.reports(4, now);
  CHECK_EQUAL(2, reports.size());
  StreamOriginBook other{100};
  for (const StreamsBegan& report : reports) {
    other.add(report, now);
  }
  CHECK_EQUAL(5, other.size());
  CHECK_TRUE(kOld == other.find(5, now).value());
  CHECK_FALSE(other.find(3, now).has_value());
}

/// The messages are sent often.
TEST(StreamOriginBookTest, aReportTakesEightBytesForEachStream) {
  const auto bytes = [](const StreamsBegan& report) {
    return protocol::encodeMessage(RegistryMessage{MessageBody(report)}).size();
  };
  StreamsBegan report{{{"svc", "1.0", {1}}}};
  const std::size_t one = bytes(report);
  report.groups.front().streams.resize(10, 1);
  CHECK_EQUAL(one + 9 * sizeof(StreamId), bytes(report));
  CHECK(one <= 64);
}

TEST_GROUP_BASE(LeaderStreamsTest,
                LeaderDutiesFixture){void setup() override{LeaderDutiesFixture::setup();
lead();
now += 5s;
}
/// @return the answer to a gateway's question.
std::optional<StreamOriginFound> ask(StreamId stream, bool valid = true,
                                     const char* service = "svc") {
  duties->findStreamOrigin(kGateway, {8, stream, service}, now, valid);
  for (const RegistryAction& action : duties->takeActions()) {
    const auto* sent = std::get_if<control::SendToConnection>(&action);
    if (sent != nullptr && sent->connection == kGateway) {
      return std::get<StreamOriginFound>(std::get<RegistryMessage>(sent->message).body);
    }
  }
  return std::nullopt;
}
std::size_t logged() const {
  return static_cast<std::size_t>(
      std::count(log.lines.begin(), log.lines.end(), runtime::LogEvent::streamOriginFound));
}
}
;

TEST(LeaderStreamsTest, theLeaderTellsWhereAStreamOfAnotherGatewayBegan) {
  duties->streamsBegan({{{"svc", "1.0", {42}}}}, now);
  const StreamOriginFound answer = ask(42).value();
  CHECK_EQUAL(8, answer.sequence);
  STRCMP_EQUAL("svc", answer.service.c_str());
  STRCMP_EQUAL("1.0", answer.version.c_str());
  CHECK_EQUAL(1, logged());
}

TEST(LeaderStreamsTest, theLeaderNeverGuesses) {
  duties->streamsBegan({{{"svc", "1.0", {42}}, {"svc", "1.1", {42}}}}, now);
  STRCMP_EQUAL("", ask(42).value().version.c_str());
  STRCMP_EQUAL("", ask(43).value().version.c_str());
}

/// A fact stays true whoever leads; what this server does not know, a newer leader may.
TEST(LeaderStreamsTest, withoutALeaseOnlyReportedStreamsAreAnswered) {
  duties->streamsBegan({{{"svc", "1.0", {42}}}}, now);
  STRCMP_EQUAL("1.0", ask(42, false).value().version.c_str());
  CHECK_FALSE(ask(43, false).has_value());
  CHECK_EQUAL(2, logged());
}

TEST(LeaderStreamsTest, aNewLeaderCallsNothingUnknownBeforeGatewaysHaveReported) {
  lead();
  CHECK_FALSE(ask(42).has_value());
  STRCMP_EQUAL("", ask(0).value().version.c_str());
  duties->streamsBegan({{{"svc", "1.0", {42}}}}, now);
  STRCMP_EQUAL("1.0", ask(42).value().version.c_str());
  now += 1s;
  STRCMP_EQUAL("", ask(43).value().version.c_str());
}

/// Guards against a version that is taken for the only one by a server which may have been replaced
/// as leader, or in a service that had another one.
TEST(LeaderStreamsTest, theOnlyVersionOfAServiceIsToldUnderALeaseOnly) {
  state.apply(RaiseFeatureLevel{feature::kSoftwareVersions});
  WorkerRecord worker;
  worker.id = {"one-1"};
  worker.service = "one";
  worker.endpoint = {"10.9.0.1", 80};
  worker.softwareVersion = "1.0";
  state.apply(StoreWorker{worker});
  STRCMP_EQUAL("1.0", ask(43, true, "one").value().version.c_str());
  STRCMP_EQUAL("1.0", ask(0, true, "one").value().version.c_str());
  CHECK_FALSE(ask(43, false, "one").has_value());
  worker.id = {"one-2"};
  worker.endpoint = {"10.9.0.2", 80};
  worker.softwareVersion = "1.1";
  state.apply(StoreWorker{worker});
  STRCMP_EQUAL("", ask(43, true, "one").value().version.c_str());
  STRCMP_EQUAL("", ask(0, true, "one").value().version.c_str());
}

TEST_GROUP(LeaderStreamsClusterTest) {
  Cluster cluster{2};

  void setup() override {
    const std::vector<std::uint16_t> seeds = {1, 2, 3};
    for (const std::uint16_t port : seeds) {
      cluster.start(port, port, seeds, seeds);
    }
    cluster.start(4, 4, {}, seeds);
    cluster.start(5, 5, {}, seeds);
    cluster.run(6s);
  }
  void report(std::uint16_t server) {
    cluster.sendAsGateway(server, StreamsBegan{{{"svc", "1.0", {42}}}}, 10ms);
  }
  /// @return the version that the server answers; nothing if it does not answer.
  std::optional<std::string> ask(std::uint16_t server, StreamId stream) {
    for (const MessageBody& body :
         cluster.sendAsGateway(server, FindStreamOrigin{1, stream, "svc"}, 10ms)) {
      if (const auto* answer = std::get_if<StreamOriginFound>(&body)) {
        return answer->version;
      }
    }
    return std::nullopt;
  }
};

TEST(LeaderStreamsClusterTest, onlyTheLeaderAnswers) {
  const std::uint16_t leader = *cluster.leader();
  const std::uint16_t other = leader == 1 ? 2 : 1;
  report(leader);
  report(other);
  CHECK_TRUE(ask(leader, 42) == "1.0");
  CHECK_TRUE(ask(leader, 43) == "");
  CHECK_FALSE(ask(other, 42).has_value());
}

TEST(LeaderStreamsClusterTest, theNextLeaderKnowsWhatIsReportedToIt) {
  const std::uint16_t former = *cluster.leader();
  report(former);
  cluster.partition(former);
  cluster.run(5s);
  CHECK_FALSE(ask(former, 43).has_value());
  cluster.stop(former);
  const std::uint16_t leader = *cluster.leader();
  CHECK_TRUE(ask(leader, 42) == "");
  report(leader);
  CHECK_TRUE(ask(leader, 42) == "1.0");
}
