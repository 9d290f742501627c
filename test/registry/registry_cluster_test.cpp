/// Tests of a cell of registry servers under failures.

#include "registry/cluster.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::registry;
using namespace walnut::registry::testing;
using namespace std::chrono_literals;

namespace {

const std::vector<std::uint16_t> kSeeds = {1, 2, 3};

}  // namespace

TEST_GROUP(RegistryClusterTest) {
  Cluster cluster{2};

  /// Starts three founders and two servers that join them.
  void startFive() {
    for (const std::uint16_t port : kSeeds) {
      cluster.start(port, port, kSeeds, kSeeds);
    }
    cluster.start(4, 4, {}, kSeeds);
    cluster.start(5, 5, {}, kSeeds);
  }
  void declare(std::uint16_t port, const char* text) {
    CHECK_TRUE(cluster.callUntilDone(port, ReplaceDocument{text}, 20s));
  }
  std::string readAt(std::uint16_t port) {
    ControlAnswer answer;
    for (int attempt = 0; attempt < 20; ++attempt) {
      answer = cluster.call(port, ReadDocument{});
      if (answer.status == ControlStatus::done) {
        return answer.text;
      }
    }
    return "";
  }
};

TEST(RegistryClusterTest, nothingIsAcknowledgedBeforeItToleratesTheLosses) {
  for (const std::uint16_t port : kSeeds) {
    cluster.start(port, port, kSeeds, kSeeds);
  }
  cluster.run(3s);
  CHECK_TRUE(cluster.leader().has_value());
  CHECK_TRUE(cluster.call(1, ReplaceDocument{"1 one"}).status == ControlStatus::unavailable);
  cluster.start(4, 4, {}, kSeeds);
  declare(1, "1 one");
}

TEST(RegistryClusterTest, fiveServersBecomeVoters) {
  startFive();
  cluster.run(5s);
  CHECK_EQUAL(5, cluster.voterCount(*cluster.leader()));
}

TEST(RegistryClusterTest, theCellFormsWhenSeedsStartLate) {
  cluster.start(4, 4, {}, kSeeds);
  cluster.start(5, 5, {}, kSeeds);
  cluster.start(1, 1, kSeeds, kSeeds);
  cluster.run(4s);
  cluster.start(2, 2, kSeeds, kSeeds);
  cluster.run(2s);
  cluster.start(3, 3, kSeeds, kSeeds);
  cluster.run(4s);
  CHECK_EQUAL(5, cluster.voterCount(*cluster.leader()));
}

TEST(RegistryClusterTest, anyServerTakesAndReadsADocument) {
  startFive();
  for (std::uint16_t port = 1; port <= 5; ++port) {
    declare(port, (std::to_string(port) + " text").c_str());
    for (std::uint16_t reader = 1; reader <= 5; ++reader) {
      CHECK_EQUAL(std::to_string(port) + " text", readAt(reader));
    }
  }
}

TEST(RegistryClusterTest, anOlderOrEqualVersionIsAcknowledgedAndChangesNothing) {
  startFive();
  declare(1, "7 seven");
  declare(2, "6 six");
  declare(3, "7 another seven");
  STRCMP_EQUAL("7 seven", readAt(4).c_str());
}

TEST(RegistryClusterTest, anInvalidDocumentIsRefused) {
  startFive();
  declare(1, "1 one");
  CHECK_TRUE(cluster.call(1, ReplaceDocument{"no version"}).status == ControlStatus::refused);
}

TEST(RegistryClusterTest, aCutOffLeaderNeitherAcknowledgesNorReads) {
  startFive();
  declare(1, "1 one");
  const std::uint16_t old = *cluster.leader();
  cluster.partition(old);
  CHECK_TRUE(cluster.call(old, ReplaceDocument{"2 two"}).status == ControlStatus::unavailable);
  const std::uint16_t other = old == 1 ? 2 : 1;
  declare(other, "3 three");
  CHECK_TRUE(cluster.call(old, ReadDocument{}).status == ControlStatus::unavailable);
  cluster.reconnect(old);
  cluster.run(3s);
  STRCMP_EQUAL("3 three", readAt(old).c_str());
}

TEST(RegistryClusterTest, twoDisksLostRightAfterAnAcknowledgementLoseNothing) {
  startFive();
  cluster.run(5s);
  for (std::uint16_t first = 1; first <= 5; ++first) {
    const std::uint16_t second = static_cast<std::uint16_t>(first % 5 + 1);
    const std::string text = std::to_string(first * 10) + " text";
    const std::uint16_t third = static_cast<std::uint16_t>(second % 5 + 1);
    declare(third, text.c_str());
    for (const std::uint16_t wiped : {first, second}) {
      cluster.stop(wiped);
      cluster.loseDisk(wiped);
    }
    cluster.run(500ms);
    for (const std::uint16_t wiped : {first, second}) {
      cluster.start(wiped, static_cast<std::uint64_t>(1000 + 100 * first + wiped), {}, kSeeds);
    }
    cluster.run(8s);
    CHECK_EQUAL(text, readAt(first));
    CHECK_EQUAL(5, cluster.voterCount(*cluster.leader()));
  }
}

TEST(RegistryClusterTest, allServersRestartWithTheirDisks) {
  startFive();
  declare(1, "1 one");
  for (std::uint16_t port = 1; port <= 5; ++port) {
    cluster.stop(port);
  }
  cluster.run(1s);
  for (std::uint16_t port = 1; port <= 5; ++port) {
    cluster.start(port, port, {}, kSeeds);
  }
  STRCMP_EQUAL("1 one", readAt(5).c_str());
}

TEST(RegistryClusterTest, aReplacementAtAnotherAddressBecomesAVoter) {
  startFive();
  declare(1, "1 one");
  cluster.run(5s);
  cluster.stop(3);
  cluster.run(1s);
  cluster.start(6, 6, {}, {1, 2, 3});
  cluster.run(4s);
  // The cell tolerates two more losses now.
  cluster.stop(1);
  cluster.stop(2);
  cluster.run(3s);
  STRCMP_EQUAL("1 one", readAt(6).c_str());
}

TEST(RegistryClusterTest, aLeavingWorkerIsAcknowledgedOnceItIsCommitted) {
  startFive();
  declare(1, "1 one");
  CHECK_TRUE(cluster.callUntilDone(2, Cluster::alive("w", 1, false, {}), 5s));
  CHECK_TRUE(cluster.callUntilDone(2, Cluster::alive("w", 2, true, {}), 5s));
  CHECK_TRUE(cluster.callUntilDone(3, ReportGone{{"w"}}, 5s));
  // A late heartbeat is acknowledged and changes nothing.
  CHECK_TRUE(cluster.callUntilDone(4, Cluster::alive("w", 1, false, {}), 5s));
}

/// Guards against stale views: the state that a follower has applied may be older than what was
/// acknowledged.
TEST(RegistryClusterTest, onlyTheLeaderSendsGatewaysViewsAndDocuments) {
  startFive();
  declare(1, "1 one");
  cluster.run(2s);
  const std::uint16_t leader = *cluster.leader();
  std::vector<std::uint16_t> ports = {1, 2, 3, 4, 5};
  // The leader comes last, as it keeps sending updates.
  std::erase(ports, leader);
  ports.push_back(leader);
  for (const std::uint16_t port : ports) {
    const auto answers = cluster.subscribe(port);
    const bool isSent = std::any_of(answers.begin(), answers.end(), [](const MessageBody& body) {
      return std::holds_alternative<PackedView>(body) || std::holds_alternative<DocumentPart>(body);
    });
    CHECK_EQUAL(port == leader, isSent);
  }
}

/// After a restart a server has only the state of its snapshot until a leader commits an entry.
TEST(RegistryClusterTest, aServerThatRestartedAloneTellsGatewaysNothing) {
  startFive();
  declare(1, "1 one");
  cluster.run(2s);
  for (std::uint16_t port = 1; port <= 5; ++port) {
    cluster.stop(port);
  }
  cluster.start(1, 1, {}, kSeeds);
  for (const MessageBody& answer : cluster.subscribe(1)) {
    CHECK_TRUE(std::holds_alternative<NotLeading>(answer));
  }
}

TEST_GROUP_BASE(QuarantineClusterTest, TEST_GROUP_CppUTestGroupRegistryClusterTest){
    /// Reports a request that was cut at three workers which have ended.
    void quarantine(){CutReport report;
for (const char* id : {"w1", "w2", "w3"}) {
  report.cuts.push_back({RequestDigest{}, {id}, false, 0s});
}
(void)cluster.sendAsGateway(*cluster.leader(), report);
}
/// Checks that the leader sends a new gateway the quarantine before anything else.
void checkListSentFirst() {
  const std::vector<MessageBody> received = cluster.subscribe(*cluster.leader());
  CHECK_FALSE(received.empty());
  const auto* list = std::get_if<SuspectList>(&received.front());
  CHECK(list != nullptr);
  CHECK_EQUAL(1, list->requests.size());
  CHECK(list->requests[0].standing == RequestStanding::quarantined);
}
}
;

TEST(QuarantineClusterTest, aQuarantineSurvivesAChangeOfLeader) {
  startFive();
  cluster.run(5s);
  declare(1, "1 one");
  quarantine();
  checkListSentFirst();
  cluster.stop(*cluster.leader());
  cluster.run(5s);
  checkListSentFirst();
}

TEST(QuarantineClusterTest, aQuarantineSurvivesARestartOfAllServers) {
  startFive();
  cluster.run(5s);
  declare(1, "1 one");
  quarantine();
  for (const std::uint16_t port : {1, 2, 3, 4, 5}) {
    cluster.stop(port);
  }
  for (const std::uint16_t port : {1, 2, 3, 4, 5}) {
    cluster.start(port, port, {}, kSeeds);
  }
  cluster.run(5s);
  checkListSentFirst();
}

TEST(QuarantineClusterTest, withoutSuspectsNoListIsSent) {
  startFive();
  cluster.run(5s);
  declare(1, "1 one");
  for (const MessageBody& body : cluster.subscribe(*cluster.leader())) {
    CHECK_FALSE(std::holds_alternative<SuspectList>(body));
  }
}

/// Guards against a resumed leader that answers its first message under an expired lease.
TEST(RegistryClusterTest, aLeaderThatWasSuspendedSendsGatewaysNoView) {
  startFive();
  cluster.run(5s);
  declare(1, "1 one");
  const std::uint16_t former = *cluster.leader();
  cluster.suspend(former);
  cluster.run(5s);
  const std::vector<MessageBody> received = cluster.subscribe(former, 0s);
  for (const MessageBody& body : received) {
    CHECK_FALSE(std::holds_alternative<PackedView>(body));
  }
  cluster.resume(former);
  cluster.run(2s);
  CHECK(cluster.leader() != former);
}

TEST(RegistryClusterTest, aLeaderThatWasSuspendedReadsNothingOlderThanWhatWasAcknowledged) {
  startFive();
  cluster.run(5s);
  declare(1, "1 one");
  const std::uint16_t former = *cluster.leader();
  cluster.suspend(former);
  cluster.run(3s);
  const std::uint16_t other = former == 1 ? 2 : 1;
  declare(other, "2 two");
  cluster.resume(former);
  const ControlAnswer answer = cluster.call(former, ReadDocument{});
  CHECK(answer.status != ControlStatus::done || answer.text == "2 two");
}

namespace {

/// @return the version that was confirmed; nothing if none was.
std::optional<std::uint64_t> confirmedVersion(const std::vector<MessageBody>& messages) {
  for (const MessageBody& body : messages) {
    if (const auto* confirmed = std::get_if<DocumentConfirmed>(&body)) {
      return confirmed->documentVersion;
    }
  }
  return std::nullopt;
}

}  // namespace

TEST(RegistryClusterTest, onlyTheLeaderConfirmsADocument) {
  startFive();
  cluster.run(5s);
  declare(1, "4 four");
  const std::uint16_t leader = *cluster.leader();
  CHECK(confirmedVersion(cluster.sendAsGateway(leader, ConfirmDocument{1})) == 4U);
  const std::uint16_t other = leader == 1 ? 2 : 1;
  CHECK(!confirmedVersion(cluster.sendAsGateway(other, ConfirmDocument{2})));
  cluster.partition(leader);
  CHECK(!confirmedVersion(cluster.sendAsGateway(leader, ConfirmDocument{3}, 200ms)));
}

/// The query arrives before the resumed server learns that another one leads.
TEST(RegistryClusterTest, aLeaderThatWasSuspendedConfirmsNothingOlderThanWhatWasAcknowledged) {
  startFive();
  cluster.run(5s);
  declare(1, "1 one");
  const std::uint16_t former = *cluster.leader();
  cluster.suspend(former);
  cluster.run(3s);
  declare(former == 1 ? 2 : 1, "2 two");
  cluster.resume(former);
  CHECK(confirmedVersion(cluster.sendAsGateway(former, ConfirmDocument{1})).value_or(2) == 2);
}
