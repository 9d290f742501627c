/// Tests of finding and following the registry's leader.

#include "gateway/registry_session.h"

#include "gateway/gateway_harness.h"
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
  std::vector<protocol::ConnectionId> closes;
  std::vector<registry::MessageBody> sent;
  void open(const base::Endpoint& server) override { opens.push_back(server); }
  void close(protocol::ConnectionId connection) override { closes.push_back(connection); }
  void send(protocol::ConnectionId, registry::MessageBody message) override {
    sent.push_back(std::move(message));
  }
};

base::Endpoint server(std::uint16_t port) { return {"10.0.0.1", port}; }

}  // namespace

TEST_GROUP(RegistrySessionTest) {
  ManualScheduler scheduler;
  RecordingLink link;
  runtime::NullEventLog log;
  RegistrySessionOptions options;
  std::unique_ptr<RegistrySession> session;

  void setup() override {
    options.servers = {server(1), server(2), server(3)};
    session = std::make_unique<RegistrySession>(options, scheduler, link, log, 1);
    session->start();
  }
  /// Opens the connection `number` to the server contacted last.
  void accept(std::uint64_t number) {
    session->opened({number}, link.opens.back(), registry::kFeatureLevel);
  }
  void follow(std::uint64_t number) {
    accept(number);
    CHECK_TRUE(session->viewReceived({number}, {}));
  }
};

TEST(RegistrySessionTest, allServersAreTriedUntilOneLeads) {
  for (std::size_t attempt = 1; attempt <= 6; ++attempt) {
    CHECK_EQUAL(attempt, link.opens.size());
    session->openFailed(link.opens.back());
    scheduler.advance(options.retryPauseMax);
  }
  CHECK_TRUE(link.opens[0] != link.opens[1] && link.opens[1] != link.opens[2]);
}

TEST(RegistrySessionTest, itSubscribesAndFollows) {
  session->setSubscription({7, {9, 0, 5, 100}});
  accept(1);
  const auto& subscribed = std::get<registry::Subscribe>(link.sent.at(0));
  CHECK_EQUAL(7, subscribed.documentVersion);
  CHECK_TRUE(subscribed.cursor == registry::DocumentCursor({9, 0, 5, 100}));
  CHECK_FALSE(session->following());
  CHECK_TRUE(session->viewReceived({1}, {}));
  CHECK_TRUE(session->following());
}

TEST(RegistrySessionTest, theNamedLeaderIsContactedNext) {
  accept(1);
  session->notLeading({1}, {{server(8), server(9)}, server(9)});
  scheduler.advance(1ms);
  CHECK_TRUE(link.opens.back() == server(9));
}

TEST(RegistrySessionTest, anUnresponsiveLeaderIsAbandoned) {
  follow(1);
  scheduler.advance(800ms);
  CHECK_TRUE(session->viewReceived({1}, {}));
  scheduler.advance(800ms);
  CHECK_TRUE(session->following());
  scheduler.advance(200ms);
  CHECK_FALSE(session->following());
  CHECK_EQUAL(2, link.opens.size());
  follow(2);
  CHECK_TRUE(link.closes == std::vector<protocol::ConnectionId>{{1}});
}

TEST(RegistrySessionTest, viewsOfAPreviousConnectionAreIgnored) {
  follow(1);
  session->closed({1});
  scheduler.advance(100ms);
  accept(2);
  CHECK_FALSE(session->viewReceived({1}, {}));
}

/// Without a leader, gateways must not slow down the election by their connections.
TEST(RegistrySessionTest, searchRoundsWithoutALeaderBackOff) {
  std::vector<std::size_t> opensBySecond;
  for (int second = 0; second < 4; ++second) {
    const std::size_t before = link.opens.size();
    for (int step = 0; step < 100; ++step) {
      scheduler.advance(10ms);
      session->openFailed(link.opens.back());
    }
    opensBySecond.push_back(link.opens.size() - before);
  }
  CHECK_TRUE(opensBySecond.front() >= 8);
  CHECK_TRUE(opensBySecond.back() <= 6);
}

TEST(RegistrySessionTest, followingALeaderResetsTheBackoff) {
  for (int attempt = 0; attempt < 20; ++attempt) {
    session->openFailed(link.opens.back());
    scheduler.advance(options.retryPauseMax);
  }
  follow(1);
  session->closed({1});
  const std::size_t before = link.opens.size();
  scheduler.advance(options.retryPause);
  CHECK_EQUAL(before + 1, link.opens.size());
}

/// A long document on a slow link must not look like an unresponsive leader.
TEST(RegistrySessionTest, partsOfADocumentCountAsSignsOfLife) {
  follow(1);
  for (int part = 0; part < 5; ++part) {
    scheduler.advance(800ms);
    CHECK_TRUE(session->partReceived({1}));
  }
  CHECK_TRUE(session->following());
  CHECK_FALSE(session->partReceived({2}));
}

TEST(RegistrySessionTest, partsBeforeTheFirstViewAreIgnored) {
  accept(1);
  CHECK_FALSE(session->partReceived({1}));
}

TEST(RegistrySessionTest, serversThatNameEachOtherAreContactedWithBackoff) {
  std::uint64_t number = 0;
  for (int step = 0; step < 1000; ++step) {
    if (link.opens.size() > number) {
      accept(++number);
      const bool first = link.opens.back() == server(8);
      session->notLeading({number}, {{}, first ? server(9) : server(8)});
    }
    scheduler.advance(1ms);
  }
  CHECK_TRUE(link.opens.size() <= 40);
}

// Guards against gateways that leave a leader which is held up before it can answer (RECOVER).
TEST(RegistrySessionTest, aSilentLeaderThatGoesOnIsFollowedAgain) {
  follow(1);
  scheduler.advance(1500ms);
  CHECK_FALSE(session->following());
  CHECK_EQUAL(0, link.closes.size());
  session->messageArrived({1});
  CHECK_TRUE(session->isCurrent({1}));
  CHECK_TRUE(session->viewReceived({1}, {}));
  CHECK_TRUE(session->following());
}

TEST(RegistrySessionTest, aSilentServerIsLeftOnceAnotherLeaderIsFollowed) {
  follow(1);
  scheduler.advance(1500ms);
  follow(2);
  CHECK_TRUE(link.closes == std::vector<protocol::ConnectionId>{{1}});
  session->messageArrived({1});
  CHECK_FALSE(session->viewReceived({1}, {}));
  CHECK_TRUE(session->isCurrent({2}));
}

TEST(RegistrySessionTest, theTimeoutGrowsWhileServersAreSilent) {
  follow(1);
  for (int silence = 0; silence < 3; ++silence) {
    scheduler.advance(4s);
    session->messageArrived({1});
    CHECK_TRUE(session->viewReceived({1}, {}));
  }
  scheduler.advance(3s);
  CHECK_TRUE(session->following());
}

TEST(RegistrySessionTest, aServerThatAcceptsLateIsSubscribedTo) {
  const base::Endpoint first = link.opens.back();
  scheduler.advance(1s);
  CHECK_TRUE(link.opens.back() != first);
  session->opened({1}, first, registry::kFeatureLevel);
  CHECK_TRUE(session->isCurrent({1}));
  CHECK_TRUE(session->viewReceived({1}, {}));
}

TEST(RegistrySessionTest, aServerThatAcceptsLateDoesNotDelayTheNamedLeader) {
  const base::Endpoint first = link.opens.back();
  scheduler.advance(1s);
  accept(1);
  session->notLeading({1}, {{}, server(9)});
  scheduler.advance(1ms);
  session->opened({2}, first, registry::kFeatureLevel);
  CHECK_FALSE(session->isCurrent({2}));
  accept(3);
  CHECK_TRUE(session->isCurrent({3}));
}

// Guards against gateways that drop the subscription to a held-up leader for that to another
// held-up server, so that its answer is lost (RECOVER).
TEST(RegistrySessionTest, theAnswersOfSeveralSilentServersAreAwaited) {
  accept(1);
  scheduler.advance(1500ms);
  accept(2);
  scheduler.advance(1500ms);
  CHECK_EQUAL(0, link.closes.size());
  session->messageArrived({1});
  CHECK_TRUE(session->viewReceived({1}, {}));
  CHECK_TRUE(session->following());
  CHECK_TRUE(std::count(link.closes.begin(), link.closes.end(), protocol::ConnectionId{2}) == 1);
}

TEST(RegistrySessionTest, aServerThatAcceptsLateIsSubscribedToBesideAnother) {
  const base::Endpoint first = link.opens.back();
  scheduler.advance(1s);
  accept(1);
  session->opened({2}, first, registry::kFeatureLevel);
  CHECK_TRUE(session->isCurrent({1}));
  session->messageArrived({2});
  CHECK_TRUE(session->viewReceived({2}, {}));
}

TEST(RegistrySessionTest, aSilentServerThatNoLongerLeadsDelaysNothing) {
  follow(1);
  scheduler.advance(1500ms);
  accept(2);
  session->notLeading({1}, {{}, std::nullopt});
  CHECK_TRUE(session->isCurrent({2}));
  CHECK_TRUE(link.closes == std::vector<protocol::ConnectionId>{{1}});
  CHECK_TRUE(session->viewReceived({2}, {}));
}
