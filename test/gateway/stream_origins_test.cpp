/// Tests of how a gateway finds out at which version a stream began that a caller takes up.

#include "gateway/stream_origins.h"

#include "gateway/gateway_harness.h"
#include "gateway/registry_follower.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::gateway;
using namespace walnut::gateway::testing;
using namespace std::chrono_literals;

namespace {

struct CountingMetrics : runtime::MetricsSink {
  std::map<std::string, int> counts;
  void count(const char* /*name*/, const std::string& outcome) override { ++counts[outcome]; }
  void observe(const char* /*name*/, base::Duration /*duration*/) override {}
};

}  // namespace

TEST_GROUP(StreamOriginsTest) {
  ManualScheduler scheduler;
  RecordingRegistryLink link;
  runtime::NullEventLog log;
  CountingMetrics metrics;
  TestDialect dialect;
  RecordingLauncher launcher;
  RegistrySession session{GatewayHarness::sessionOptions(), scheduler, link, log, 1};
  Gateway gateway{GatewayHarness::options(), scheduler, dialect, launcher, session, log, metrics};
  RegistryFollower follower{scheduler, session, gateway, log};
  StreamOrigins& origins = gateway.streamOrigins();
  std::vector<StreamOriginResult> results;
  std::uint64_t connection = 0;

  void setup() override { session.start(); }

  void receive(registry::MessageBody body, std::uint64_t from) {
    follower.messageReceived({from}, {std::move(body)});
    scheduler.settle();
  }
  void receiveView(std::uint32_t gateways, bool complete) {
    registry::ViewUpdate view;
    view.complete = complete;
    view.gateways = gateways;
    receive(view, connection);
  }
  void follow(std::uint32_t level = registry::kFeatureLevel, std::uint32_t gateways = 16) {
    session.opened({++connection}, link.opened.back(), level);
    receiveView(gateways, true);
  }
  void loseLeader() {
    session.closed({connection});
    const std::size_t opened = link.opened.size();
    while (link.opened.size() == opened) {
      scheduler.advance(10ms);
    }
  }
  void began(const std::string& id, const std::string& version = "1.0") {
    origins.streamBegan(id, "svc", version);
  }
  std::uint64_t find(const std::string& id) {
    return origins.find("svc", id,
                        [this](const StreamOriginResult& result) { results.push_back(result); });
  }
  /// Answers the last question.
  void answer(const std::string& version) {
    receive(registry::StreamOriginFound{link.originQuestions.back().sequence, "svc", version},
            connection);
  }
  /// Advances time while the leader calls every stream unknown.
  void advanceUnknown(base::Duration duration) {
    std::size_t answered = 0;
    for (base::Duration passed{0}; passed < duration; passed += 10ms) {
      if (link.originQuestions.size() > answered) {
        answered = link.originQuestions.size();
        answer("");
      }
      scheduler.advance(10ms);
    }
  }
  std::size_t reported() const {
    std::size_t count = 0;
    for (const registry::StreamsBegan& report : link.streams) {
      for (const registry::StreamsOfVersion& group : report.groups) {
        count += group.streams.size();
      }
    }
    return count;
  }
  void checkLast(StreamOriginStatus status, const char* version) {
    CHECK_FALSE(results.empty());
    CHECK_TRUE(results.back().status == status);
    STRCMP_EQUAL(version, results.back().origin.version.c_str());
  }
};

TEST(StreamOriginsTest, aStreamThatBeganHereIsKnownAtOnceAndWithoutALeader) {
  began("r1");
  CHECK_EQUAL(0, find("r1"));
  checkLast(StreamOriginStatus::known, "1.0");
  STRCMP_EQUAL("svc", results.back().origin.service.c_str());
  CHECK_EQUAL(1, metrics.counts["known"]);
  CHECK_EQUAL(0, metrics.counts["asked"]);
}

TEST(StreamOriginsTest, anUnknownVersionIsNotRemembered) {
  follow();
  began("r1", "");
  began("", "1.0");
  scheduler.settle();
  CHECK_TRUE(link.streams.empty());
  CHECK(find("r1") != 0);
}

TEST(StreamOriginsTest, theLeaderIsAskedAboutStreamsOfOtherGateways) {
  follow();
  CHECK(find("r1") != 0);
  CHECK_EQUAL(1, link.originQuestions.size());
  CHECK_TRUE(streamIdOf("r1") == link.originQuestions.back().stream);
  STRCMP_EQUAL("svc", link.originQuestions.back().service.c_str());
  CHECK_TRUE(results.empty());
  answer("1.1");
  checkLast(StreamOriginStatus::known, "1.1");
  answer("1.2");
  scheduler.advance(2s);
  CHECK_EQUAL(1, results.size());
  CHECK_EQUAL(1, metrics.counts["asked"]);
}

TEST(StreamOriginsTest, answersOfServersThatAreNotFollowedAreIgnored) {
  follow();
  find("r1");
  receive(registry::StreamOriginFound{link.originQuestions.back().sequence, "svc", "1.0"},
          connection + 1);
  CHECK_TRUE(results.empty());
}

/// The gateway where the stream began may not have reported it yet.
TEST(StreamOriginsTest, anUnknownStreamIsAskedForAgainOnceItsReportHasCome) {
  follow();
  find("r1");
  answer("");
  CHECK_TRUE(results.empty());
  scheduler.advance(100ms);
  CHECK_EQUAL(2, link.originQuestions.size());
  answer("1.0");
  checkLast(StreamOriginStatus::known, "1.0");
}

TEST(StreamOriginsTest, aStreamIsUnknownWhenNoReportCanBeOnItsWay) {
  follow();
  find("r1");
  advanceUnknown(150ms);
  checkLast(StreamOriginStatus::unknown, "");
  CHECK_EQUAL(2, link.originQuestions.size());
  CHECK_EQUAL(1, metrics.counts["unknown"]);
}

TEST(StreamOriginsTest, withoutAnIdTheFirstAnswerCounts) {
  follow();
  find("");
  CHECK_EQUAL(0, link.originQuestions.back().stream);
  answer("");
  checkLast(StreamOriginStatus::unknown, "");
}

TEST(StreamOriginsTest, inALargeCellReportsAreAwaitedForLonger) {
  follow(registry::kFeatureLevel, 400);
  find("r1");
  advanceUnknown(840ms);
  CHECK_TRUE(results.empty());
  advanceUnknown(160ms);
  checkLast(StreamOriginStatus::unknown, "");
}

TEST(StreamOriginsTest, withoutALeaderASearchEndsInTime) {
  find("r1");
  scheduler.advance(990ms);
  CHECK_TRUE(results.empty());
  scheduler.advance(10ms);
  checkLast(StreamOriginStatus::noLeader, "");
  CHECK_EQUAL(1, metrics.counts["no-leader"]);
}

TEST(StreamOriginsTest, aLeaderThatDoesNotAnswerIsAskedAgain) {
  follow();
  find("r1");
  scheduler.advance(200ms);
  CHECK_EQUAL(2, link.originQuestions.size());
  receive(registry::StreamOriginFound{link.originQuestions.front().sequence, "svc", "1.0"},
          connection);
  checkLast(StreamOriginStatus::known, "1.0");
  find("r2");
  scheduler.advance(1s);
  checkLast(StreamOriginStatus::noLeader, "");
}

TEST(StreamOriginsTest, theNextLeaderIsAskedAgain) {
  follow();
  find("r1");
  loseLeader();
  follow();
  CHECK_EQUAL(2, link.originQuestions.size());
  answer("1.0");
  checkLast(StreamOriginStatus::known, "1.0");
}

TEST(StreamOriginsTest, aCancelledSearchHasNoResult) {
  follow();
  const std::uint64_t number = find("r1");
  origins.cancel(number);
  answer("1.0");
  scheduler.advance(2s);
  CHECK_TRUE(results.empty());
  origins.cancel(number);
  CHECK_EQUAL(1, link.originQuestions.size());
}

/// A callback ends the other searches of its caller.
TEST(StreamOriginsTest, aCallbackMayCancelAndSearch) {
  std::uint64_t other = 0;
  origins.find("svc", "r1", [this, &other](const StreamOriginResult&) {
    origins.cancel(other);
    find("r3");
  });
  other = find("r2");
  scheduler.advance(1s);
  CHECK_TRUE(results.empty());
  scheduler.advance(1s);
  CHECK_EQUAL(1, results.size());
}

TEST(StreamOriginsTest, streamsAreReportedTogether) {
  follow();
  began("r1");
  CHECK_TRUE(link.streams.empty());
  scheduler.settle();
  CHECK_EQUAL(1, link.streams.size());
  for (int number = 2; number <= 11; ++number) {
    began("r" + std::to_string(number), number % 2 == 0 ? "1.0" : "1.1");
  }
  began("r11", "1.1");
  scheduler.advance(49ms);
  CHECK_EQUAL(1, link.streams.size());
  scheduler.advance(1ms);
  CHECK_EQUAL(2, link.streams.size());
  CHECK_EQUAL(2, link.streams.back().groups.size());
  CHECK_EQUAL(11, reported());
  scheduler.advance(50ms);
  began("r12");
  scheduler.settle();
  CHECK_EQUAL(3, link.streams.size());
}

TEST(StreamOriginsTest, inALargeCellReportsAreRarer) {
  follow(registry::kFeatureLevel, 400);
  for (int number = 0; number < 160; ++number) {
    began("r" + std::to_string(number));
    scheduler.settle();
    scheduler.advance(10ms);
    receiveView(400, false);
  }
  CHECK_EQUAL(2, link.streams.size() - 1);
}

TEST(StreamOriginsTest, aNewLeaderIsSentAllThatIsRemembered) {
  began("r0");
  follow();
  CHECK_EQUAL(1, reported());
  for (int number = 1; number <= 4999; ++number) {
    began("r" + std::to_string(number));
  }
  began("r7", "1.1");
  loseLeader();
  link.streams.clear();
  follow();
  CHECK_EQUAL(3, link.streams.size());
  CHECK_EQUAL(5001, reported());
  scheduler.advance(1s);
  CHECK_EQUAL(5001, reported());
}

TEST(StreamOriginsTest, anIdUsedTwiceIsNotKnownHere) {
  follow();
  began("r1", "1.0");
  began("r1", "1.1");
  scheduler.settle();
  CHECK_EQUAL(2, reported());
  CHECK(find("r1") != 0);
}

TEST(StreamOriginsTest, memoryIsBoundedByAgeAndCount) {
  for (std::size_t number = 0; number <= StreamOrigins::kMaxOwnStreams; ++number) {
    began("r" + std::to_string(number));
  }
  CHECK(find("r0") != 0);
  CHECK_EQUAL(0, find("r1"));
  scheduler.suspendFor(registry::kStreamMemory + 1ms);
  CHECK(find("r1") != 0);
  follow();
  CHECK_EQUAL(0, reported());
}

TEST(StreamOriginsTest, aLeaderOfALowerLevelIsSentNothing) {
  find("r0");
  began("r1");
  follow(registry::feature::kSoftwareVersions - 1);
  checkLast(StreamOriginStatus::unknown, "");
  began("r2");
  CHECK_EQUAL(0, find("r3"));
  scheduler.advance(500ms);
  CHECK_EQUAL(2, results.size());
  checkLast(StreamOriginStatus::unknown, "");
  CHECK_TRUE(link.streams.empty());
  CHECK_TRUE(link.originQuestions.empty());
}
