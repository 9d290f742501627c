/// Tests of what the leader tells gateways about models that will be available late.

#include "registry/leader_duties_fixture.h"
#include "walnut/registry/feature_level.h"

using namespace walnut;
using namespace walnut::registry;
using namespace walnut::registry::testing;

namespace {

constexpr protocol::ConnectionId kOlder{2};

}  // namespace

struct LeaderForecastsFixture : LeaderDutiesFixture {
  /// @return the messages of a type that were sent to a gateway.
  template <class Message>
  std::vector<Message> sentTo(protocol::ConnectionId gateway) const {
    std::vector<Message> found;
    for (const RegistryAction& action : actions) {
      const auto* sent = std::get_if<control::SendToConnection>(&action);
      if (sent == nullptr || sent->connection != gateway) {
        continue;
      }
      const MessageBody& body = std::get<RegistryMessage>(sent->message).body;
      if (const auto* message = std::get_if<Message>(&body)) {
        found.push_back(*message);
      }
    }
    return found;
  }
  /// Runs a leader, whose store allows a load per second, until it has ordered the first of two.
  void loadOneOfTwo() {
    lead();
    duties->subscribe(kGateway, {}, {}, feature::kModelForecasts);
    duties->subscribe(kOlder, {}, {}, feature::kWorkerTimings);
    demandModels({"a", "b"});
    for (int step = 0; step < 100 && count<SendOrder>() == 0; ++step) {
      runAnswering(50ms);
    }
  }
};

TEST_GROUP_BASE(LeaderForecastsTest, LeaderForecastsFixture){};

/// Guards against gateways of earlier builds that get a message which they can't read, or that
/// refuse callers of a model which takes 2 s.
TEST(LeaderForecastsTest, eachGatewayGetsTheMessageOfItsFeatureLevel) {
  loadOneOfTwo();
  CHECK_TRUE(!sentTo<ModelForecasts>(kGateway).empty());
  CHECK_TRUE(sentTo<LateModels>(kGateway).empty());
  CHECK_TRUE(sentTo<ModelForecasts>(kOlder).empty());
  CHECK_TRUE(!sentTo<LateModels>(kOlder).empty());
  for (const LateModels& late : sentTo<LateModels>(kOlder)) {
    for (const LateModel& model : late.models) {
      CHECK_TRUE(model.availableIn >= 4s);
    }
  }
}

/// Guards against callers that are refused at once by the time of a load that waits for others.
TEST(LeaderForecastsTest, aModelThatWaitsForTheStoreHasTheWaitOfTheNextLoad) {
  loadOneOfTwo();
  const auto messages = sentTo<ModelForecasts>(kGateway);
  CHECK_TRUE(!messages.empty());
  std::size_t loading = 0;
  std::size_t waiting = 0;
  for (const ModelForecast& forecast : messages.back().models) {
    const bool isLoading = forecast.shortestWait == base::Duration::zero();
    ++(isLoading ? loading : waiting);
    CHECK_TRUE(isLoading || forecast.shortestWait >= 2s);
    CHECK_TRUE(forecast.availableIn >= forecast.shortestWait);
  }
  CHECK_EQUAL(1, loading);
  CHECK_EQUAL(1, waiting);
}
