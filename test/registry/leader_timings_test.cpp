/// Tests of how the leader takes and publishes the measured speed of workers.

#include "registry/leader_duties_fixture.h"
#include "walnut/registry/feature_level.h"

using namespace walnut;
using namespace walnut::registry;
using namespace walnut::registry::testing;

namespace {

/// Returns the document of EngineReader with a streaming route and models that take 20 s to load.
class SlowReader : public DocumentReader {
 public:
  base::Result<catalog::Document> read(const std::string& text) const override {
    catalog::Document document = EngineReader().read(text).value();
    for (catalog::ModelSpec& model : document.services.front().engine->models) {
      model.storeLoadTime = 20s;
    }
    catalog::Route route;
    route.kind = catalog::RouteKind::streaming;
    route.targetLatency = 400ms;
    route.targetGap = 300ms;
    route.services = {{"svc", 1}};
    document.routes.push_back(route);
    return document;
  }
};

}  // namespace

TEST_GROUP_BASE(LeaderTimingsTest, LeaderDutiesFixture) {
  SlowReader slowReader;
  DocumentCache slowDocuments{slowReader};

  void leadSlow() {
    duties = std::make_unique<LeaderDuties>(options, slowDocuments, state, kTerm, kSelf, log, now,
                                            turns);
  }
  void report(WorkerTimingSample sample, base::Duration span = 500ms) {
    duties->timingsReported(kGateway, {span, {std::move(sample)}}, now);
  }
  /// @return the messages with estimates to a gateway since the last call.
  std::vector<WorkerTimings> published(protocol::ConnectionId gateway) {
    std::vector<WorkerTimings> found;
    for (const RegistryAction& action : actions) {
      const auto* sent = std::get_if<control::SendToConnection>(&action);
      if (sent != nullptr && sent->connection == gateway) {
        if (const auto* timings =
                std::get_if<WorkerTimings>(&std::get<RegistryMessage>(sent->message).body)) {
          found.push_back(*timings);
        }
      }
    }
    actions.clear();
    return found;
  }
  std::size_t logged(runtime::LogEvent event) const {
    return static_cast<std::size_t>(std::count(log.lines.begin(), log.lines.end(), event));
  }
};

TEST(LeaderTimingsTest, estimatesGoToGatewaysOfTheFeatureLevel) {
  leadSlow();
  constexpr protocol::ConnectionId kOlder{2};
  duties->subscribe(kGateway, {}, {}, feature::kWorkerTimings);
  duties->subscribe(kOlder, {}, {}, feature::kWorkerLimits);
  report({{"w1"}, 1, 1460, 100ms, 0});
  report({{"gone"}, 1, 1460, 100ms, 0});
  run(1s);
  const std::vector<WorkerTimings> updates = published(kGateway);
  CHECK_TRUE(updates.front().complete);
  CHECK_EQUAL(1, updates.front().workers.size());
  CHECK(updates.size() <= 4);
  run(1s);
  CHECK_TRUE(published(kOlder).empty());
}

TEST(LeaderTimingsTest, servicesWithFastReplicasAreNotMeasured) {
  lead();
  duties->subscribe(kGateway, {}, {}, feature::kWorkerTimings);
  report({{"w1"}, 1, 1460, 100ms, 0});
  run(1s);
  CHECK_TRUE(published(kGateway).empty());
}

/// A faulty gateway must not fill the log.
TEST(LeaderTimingsTest, refusedReportsAreLoggedOncePerSecond) {
  leadSlow();
  for (int count = 0; count < 10; ++count) {
    report({{"w1"}, 1, 0, 100ms, 0});
    report({{"w1"}, 1, 1460, 100ms, 0}, 3s);
    now += 50ms;
  }
  CHECK_EQUAL(1, logged(runtime::LogEvent::timingRefused));
}
