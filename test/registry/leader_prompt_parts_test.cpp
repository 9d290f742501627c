/// Tests of what a leader tells gateways about parts of prompts that crash workers, and of what
/// remains of it after a change of leader or a restart.

#include "registry/cluster.h"
#include "registry/leader_duties_fixture.h"
#include "walnut/registry/feature_level.h"

using namespace walnut;
using namespace walnut::registry;
using namespace walnut::registry::testing;

namespace {

constexpr protocol::ConnectionId kEarlierGateway{2};
const PromptPartDigest kPart{{1}};

/// Three different requests with the part were cut at workers that have ended.
std::pair<CutPartsReport, CutReport> threeCuts() {
  CutPartsReport parts;
  CutReport cuts;
  for (const std::uint8_t number : {1, 2, 3}) {
    const RequestDigest request{{number}};
    const WorkerId worker{"gone" + std::to_string(number)};
    parts.cuts.push_back({request, worker, {kPart}});
    cuts.cuts.push_back({request, worker, true, number * 200ms});
  }
  return {parts, cuts};
}

const SuspectPartList* listIn(const MessageBody& body) {
  return std::get_if<SuspectPartList>(&body);
}

}  // namespace

TEST_GROUP_BASE(LeaderPromptPartsTest,
                LeaderDutiesFixture){void setup() override{LeaderDutiesFixture::setup();
lead();
duties->subscribe(kGateway, {}, {}, feature::kPromptParts);
duties->subscribe(kEarlierGateway, {}, {}, feature::kPromptParts - 1);
run(1s);
actions.clear();
}
void crashThree() {
  const auto [parts, cuts] = threeCuts();
  duties->cutPartsReported(parts);
  duties->cutsReported(cuts, now);
  run(2s);
}
/// @return the last list that the gateway was sent.
std::optional<SuspectPartList> listOf(protocol::ConnectionId gateway) const {
  std::optional<SuspectPartList> list;
  for (const RegistryAction& action : actions) {
    const auto* sent = std::get_if<control::SendToConnection>(&action);
    if (sent == nullptr || sent->connection != gateway) {
      continue;
    }
    if (const auto* found = listIn(std::get<RegistryMessage>(sent->message).body)) {
      list = *found;
    }
  }
  return list;
}
}
;

TEST(LeaderPromptPartsTest, gatewaysAreToldOfARefusedPartUnlessTheyAreOfAnEarlierLevel) {
  crashThree();
  const auto list = listOf(kGateway);
  CHECK_TRUE(list.has_value());
  CHECK(list->parts[0].part == kPart);
  CHECK(list->parts[0].standing == PartStanding::refused);
  CHECK_FALSE(listOf(kEarlierGateway).has_value());
}

TEST(LeaderPromptPartsTest, aGatewayThatStartsIsToldBeforeItsFirstView) {
  crashThree();
  actions.clear();
  constexpr protocol::ConnectionId kNewGateway{3};
  duties->subscribe(kNewGateway, {}, {}, feature::kPromptParts);
  run(1s);
  for (const RegistryAction& action : actions) {
    const auto* sent = std::get_if<control::SendToConnection>(&action);
    if (sent != nullptr && sent->connection == kNewGateway) {
      CHECK(listIn(std::get<RegistryMessage>(sent->message).body) != nullptr);
      return;
    }
  }
  FAIL("nothing was sent");
}

/// The requests were merely the ones that had the part.
TEST(LeaderPromptPartsTest, crashesThatAPartExplainsAreNoEvidenceAgainstRequests) {
  state.apply(RaiseFeatureLevel{feature::kPromptParts});
  crashThree();
  CHECK_TRUE(state.requestCrashes().empty());
  CHECK_EQUAL(1, state.refusedParts().size());
}

TEST_GROUP(RefusedPartClusterTest) {
  Cluster cluster{2};

  void startAll(bool again) {
    const std::vector<std::uint16_t> seeds = {1, 2, 3};
    for (std::uint16_t port = 1; port <= 5; ++port) {
      const bool founds = port <= 3 && !again;
      cluster.start(port, port, founds ? seeds : std::vector<std::uint16_t>{}, seeds);
    }
    cluster.run(5s);
  }
  void setup() override {
    startAll(false);
    CHECK(cluster.call(1, ReplaceDocument{"1 one"}).status == ControlStatus::done);
  }
  void crashThree() {
    const auto [parts, cuts] = threeCuts();
    (void)cluster.sendAsGateway(*cluster.leader(), parts);
    (void)cluster.sendAsGateway(*cluster.leader(), cuts);
    cluster.run(3s);
  }
  void checkListSentFirst() {
    const std::uint16_t leader = *cluster.leader();
    cluster.connectGateway(leader, feature::kPromptParts);
    const std::vector<MessageBody> received = cluster.subscribe(leader);
    CHECK_FALSE(received.empty());
    const SuspectPartList* list = listIn(received.front());
    CHECK(list != nullptr);
    CHECK(list->parts[0].standing == PartStanding::refused);
  }
};

TEST(RefusedPartClusterTest, aRefusalSurvivesAChangeOfLeader) {
  crashThree();
  checkListSentFirst();
  cluster.stop(*cluster.leader());
  cluster.run(5s);
  checkListSentFirst();
}

TEST(RefusedPartClusterTest, aRefusalSurvivesARestartOfAllServers) {
  crashThree();
  for (const std::uint16_t port : {1, 2, 3, 4, 5}) {
    cluster.stop(port);
  }
  startAll(true);
  checkListSentFirst();
}
