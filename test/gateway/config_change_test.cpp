/// Tests of requests that are read but not decided when the document changes.

#include "gateway/gateway_harness.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::gateway;
using namespace walnut::gateway::testing;
using namespace std::chrono_literals;

TEST_GROUP(ConfigChangeTest) {
  GatewayHarness harness;

  static std::shared_ptr<catalog::Document> document(std::uint64_t version) {
    auto made = std::make_shared<catalog::Document>();
    made->version = version;
    made->services = {{"svc", "", 0, std::nullopt}};
    made->routes = {GatewayHarness::route("safe", catalog::RouteKind::idempotent, false, 2),
                    GatewayHarness::route("stream", catalog::RouteKind::streaming, true, 2)};
    return made;
  }
  static std::shared_ptr<catalog::Document> keyedDocument(std::uint64_t version, bool limited) {
    auto made = document(version);
    catalog::Tenant tenant;
    tenant.name = "one";
    tenant.keys = {"k1"};
    tenant.unitsPerSecond = limited ? 100 : 0;
    made->tenants = {tenant};
    made->keyed = true;
    return made;
  }
  void apply(std::shared_ptr<catalog::Document> next) {
    harness.gateway.documentReceived(std::move(next));
    harness.scheduler.settle();
  }
  void showWorkers(std::size_t count) {
    registry::ViewUpdate update;
    update.complete = true;
    for (std::size_t number = 1; number <= count; ++number) {
      update.changed.push_back(GatewayHarness::worker(number));
    }
    harness.gateway.viewReceived(update);
    harness.scheduler.settle();
  }
  void confirm(std::uint64_t version) {
    harness.gateway.documentConfirmed({harness.link.confirmRequests.back().sequence, version});
    harness.scheduler.settle();
  }
  std::unique_ptr<Caller> request(const std::string& id, const std::string& route = "safe",
                                  const std::string& model = "") {
    net::HttpRequest made;
    made.method = "POST";
    made.target = "/" + route + "/x";
    made.headers.add("Host", "h");
    made.headers.add("Id", id);
    made.headers.add("Key", "k1");
    made.headers.add("Deadline-Ms", "5000");
    if (!model.empty()) {
      made.headers.add("Model", model);
    }
    auto caller = std::make_unique<Caller>();
    harness.gateway.onRequest(std::move(made), *caller);
    harness.scheduler.settle();
    return caller;
  }
  /// Begins with a document with a limited tenant, confirmed, and one worker.
  void beginWithQuota() {
    harness.follow();
    showWorkers(1);
    apply(keyedDocument(1, true));
    confirm(1);
  }
};

/// Guards against early requests that no timer reaches, several at once.
TEST(ConfigChangeTest, everyEarlyRequestIsRefusedWithoutADocument) {
  const auto first = request("r1");
  harness.scheduler.advance(700ms);
  const auto second = request("r2");
  const auto third = request("r3");
  harness.scheduler.advance(801ms);
  CHECK_EQUAL(503, first->status);
  CHECK_EQUAL(0, second->status);
  harness.scheduler.advance(700ms);
  CHECK_EQUAL(503, second->status);
  CHECK_EQUAL(503, third->status);
}

/// Guards against losing the timer of early requests when the first of them leaves.
TEST(ConfigChangeTest, anEarlyRequestIsRefusedAlsoIfTheOneBeforeItHasLeft) {
  const auto first = request("r1");
  harness.scheduler.advance(700ms);
  const auto second = request("r2");
  first->gone();
  harness.scheduler.advance(1501ms);
  CHECK_EQUAL(0, first->status);
  CHECK_EQUAL(503, second->status);
}

/// Guards against losing early requests when the next document needs keys that are not confirmed.
TEST(ConfigChangeTest, earlyRequestsAreRefusedIfTheDocumentNeedsKeysBeforeTheyAreRouted) {
  harness.follow();
  showWorkers(1);
  const auto first = request("r1");
  const auto second = request("r2");
  harness.gateway.documentReceived(document(1));
  harness.gateway.documentReceived(keyedDocument(2, false));
  harness.scheduler.settle();
  harness.scheduler.advance(1501ms);
  CHECK_EQUAL(503, first->status);
  CHECK_EQUAL(503, second->status);
  CHECK_EQUAL(0, harness.launcher.sent.size());
}

/// Guards against losing requests that come while a document that needs keys is not confirmed.
TEST(ConfigChangeTest, aDocumentThatNeedsKeysHoldsRequestsUntilItIsConfirmedOrRefusesThem) {
  harness.follow();
  showWorkers(1);
  apply(document(1));
  const auto running = request("r0");
  apply(keyedDocument(2, false));
  const auto refused = request("r1");
  harness.scheduler.advance(1000ms);
  const auto held = request("r2");
  harness.scheduler.advance(501ms);
  CHECK_EQUAL(503, refused->status);
  CHECK_EQUAL(0, held->status);
  confirm(2);
  CHECK_EQUAL(2, harness.launcher.sent.size());
  harness.answer(*harness.launcher.sent.at(0), 200, "r0", "a");
  harness.answer(*harness.launcher.sent.at(1), 200, "r2", "a");
  CHECK_EQUAL(200, running->status);
  CHECK_EQUAL(200, held->status);
}

/// Guards against early requests that wait on for the keys of a document that is replaced by one
/// without keys.
TEST(ConfigChangeTest, earlyRequestsAreRoutedOnceADocumentNeedsNoKeys) {
  harness.follow();
  showWorkers(1);
  apply(keyedDocument(1, false));
  const auto caller = request("r1");
  CHECK_EQUAL(0, harness.launcher.sent.size());
  apply(document(2));
  CHECK_EQUAL(1, harness.launcher.sent.size());
}

/// Guards against early requests whose route vanishes.
TEST(ConfigChangeTest, anEarlyRequestWithoutARouteIsRefused) {
  showWorkers(1);
  const auto caller = request("r1", "other");
  apply(document(1));
  CHECK_EQUAL(404, caller->status);
}

/// Guards against requests that wait for a quota of a tenant which the next document has without a
/// limit, or not at all.
TEST(ConfigChangeTest, aRequestThatWaitsForAQuotaIsDecidedIfItsLimitOrTenantVanishes) {
  beginWithQuota();
  const auto limited = request("r1");
  CHECK_EQUAL(0, harness.launcher.sent.size());
  apply(keyedDocument(2, false));
  const auto unlimited = request("r2");
  CHECK_EQUAL(1, harness.launcher.sent.size());
  apply(document(3));
  harness.advanceFollowing(2500ms);
  CHECK_EQUAL(503, limited->status);
  CHECK_TRUE(limited->complete);
}

/// Guards against a grant that finds the route of a waiting request gone.
TEST(ConfigChangeTest, aRequestThatWaitsForAQuotaIsAdmittedByTheDocumentOfItsArrival) {
  beginWithQuota();
  const auto caller = request("r1");
  auto next = keyedDocument(2, true);
  next->routes.clear();
  next->services.clear();
  next->tenants.clear();
  apply(std::move(next));
  registry::QuotaShare share;
  share.owner = "one";
  share.granted = 10;
  harness.gateway.quotaGranted({harness.link.quotas.back().sequence, {share}});
  harness.scheduler.settle();
  CHECK_EQUAL(1, harness.launcher.sent.size());
  harness.answer(*harness.launcher.sent.at(0), 200, "r1", "a");
  CHECK_EQUAL(200, caller->status);
}

/// Guards against requests that wait for a worker of a service which the next document lacks.
TEST(ConfigChangeTest, aRequestThatWaitsForAWorkerIsDecidedIfItsServiceVanishes) {
  harness.follow();
  showWorkers(0);
  apply(document(1));
  const auto plain = request("r1");
  const auto stream = request("r2", "stream");
  const auto model = request("r3", "stream", "m");
  const auto whole = request("r4", "safe", "m");
  auto next = document(2);
  next->routes.clear();
  next->services.clear();
  apply(std::move(next));
  harness.advanceFollowing(5100ms);
  CHECK_EQUAL(503, plain->status);
  CHECK_EQUAL(503, stream->status);
  CHECK_EQUAL(503, model->status);
  CHECK_EQUAL(503, whole->status);
  CHECK_EQUAL(0, harness.gateway.exchangeCount());
}

/// Guards against a change of the document that ends what runs by the former one.
TEST(ConfigChangeTest, aRunningStreamGoesOnIfItsRouteAndServiceVanish) {
  harness.follow();
  showWorkers(1);
  apply(document(1));
  const auto caller = request("r1", "stream");
  harness.head(*harness.launcher.sent.at(0), 200, "r1", true);
  harness.launcher.sent.at(0)->callbacks->onResponseBody("id: 1\n\n");
  auto next = document(2);
  next->routes.clear();
  next->services.clear();
  apply(std::move(next));
  harness.launcher.sent.at(0)->callbacks->onResponseBody("id: 2\n\n");
  harness.launcher.sent.at(0)->callbacks->onResponseComplete();
  harness.scheduler.settle();
  CHECK_TRUE(caller->complete);
  STRCMP_EQUAL("id: 1\n\nid: 2\n\n", caller->body.c_str());
}

/// Guards against requests that wait for a share of a limit while their service vanishes.
TEST(ConfigChangeTest, aRequestThatWaitsForAShareIsDecidedIfItsServiceVanishes) {
  harness.follow();
  showWorkers(1);
  apply(document(1));
  registry::ViewUpdate update;
  update.changed = {GatewayHarness::worker(1)};
  update.changed[0].limit = 1;
  harness.gateway.viewReceived(update);
  harness.scheduler.settle();
  const auto granted = request("r1");
  const auto waiting = request("r2", "stream");
  CHECK_EQUAL(0, harness.launcher.sent.size());
  auto next = document(2);
  next->routes.clear();
  next->services.clear();
  apply(std::move(next));
  harness.gateway.sharesGranted({{harness.link.shares.back().sequence, {{"w1", 1, 0ms}}}, {}});
  harness.scheduler.settle();
  CHECK_EQUAL(1, harness.launcher.sent.size());
  harness.answer(*harness.launcher.sent.at(0), 200, "r1", "a");
  harness.advanceFollowing(5100ms);
  CHECK_EQUAL(200, granted->status);
  CHECK_EQUAL(503, waiting->status);
  CHECK_EQUAL(0, harness.gateway.exchangeCount());
}
