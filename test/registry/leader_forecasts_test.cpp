/// Tests of what the leader tells gateways about models that will be available late.

#include "registry/leader_duties_fixture.h"
#include "walnut/registry/feature_level.h"

using namespace walnut;
using namespace walnut::registry;
using namespace walnut::registry::testing;

namespace {

constexpr protocol::ConnectionId kOlder{2};

}  // namespace

TEST_GROUP_BASE(LeaderForecastsTest, LeaderDutiesFixture){
    /// @return the messages of a type that were sent to a gateway.
    template <class Message> std::vector<Message> sentTo(protocol::ConnectionId gateway)
        const {std::vector<Message> found;
for (const RegistryAction& action : actions) {
  const auto* sent = std::get_if<control::SendToConnection>(&action);
  if (sent != nullptr && sent->connection == gateway) {
    if (const auto* message =
            std::get_if<Message>(&std::get<RegistryMessage>(sent->message).body)) {
      found.push_back(*message);
    }
  }
}
return found;
}
void subscribeBoth() {
  duties->subscribe(kGateway, {}, {}, feature::kModelForecasts);
  duties->subscribe(kOlder, {}, {}, feature::kWorkerTimings);
}
}
;

/// Guards against gateways of earlier builds that get a message which they can't read, or that
/// refuse callers of a model which takes 2 s.
TEST(LeaderForecastsTest, eachGatewayGetsTheMessageOfItsFeatureLevel) {
  lead();
  subscribeBoth();
  demandModels({"a", "b"});
  runAnswering(1s);
  const auto forecasts = sentTo<ModelForecasts>(kGateway);
  CHECK_TRUE(!forecasts.empty());
  CHECK_TRUE(!forecasts.back().models.empty());
  CHECK_TRUE(sentTo<LateModels>(kGateway).empty());
  CHECK_TRUE(sentTo<ModelForecasts>(kOlder).empty());
  for (const LateModels& late : sentTo<LateModels>(kOlder)) {
    CHECK_TRUE(late.models.empty());
  }
}

/// Guards against callers that are refused at once since a load for them would begin late: the
/// first one of the store, of which others may take their turn.
TEST(LeaderForecastsTest, aModelThatWaitsForTheStoreHasTheWaitOfTheNextLoad) {
  lead();
  subscribeBoth();
  demandModels({"a", "b"});
  runAnswering(1s);
  std::map<std::string, ModelForecast> last;
  for (const ModelForecast& forecast : sentTo<ModelForecasts>(kGateway).front().models) {
    last[forecast.model] = forecast;
  }
  CHECK_EQUAL(2, last.size());
  const ModelForecast& loading =
      last["a"].shortestWait == base::Duration::zero() ? last["a"] : last["b"];
  const ModelForecast& waiting =
      last["a"].shortestWait == base::Duration::zero() ? last["b"] : last["a"];
  CHECK_TRUE(loading.shortestWait == base::Duration::zero());
  CHECK_TRUE(waiting.shortestWait >= 2s);
  CHECK_TRUE(waiting.availableIn >= waiting.shortestWait);
}
