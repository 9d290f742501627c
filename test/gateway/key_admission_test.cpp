/// Tests of admission: keys, the lease on the document that contains them, and tenants' quotas.

#include "gateway/gateway_harness.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::gateway;
using namespace walnut::gateway::testing;
using namespace std::chrono_literals;

TEST_GROUP(KeyAdmissionTest) {
  GatewayHarness harness;

  static catalog::Tenant tenant(const char* name, std::vector<std::string> keys) {
    catalog::Tenant made;
    made.name = name;
    made.keys = std::move(keys);
    return made;
  }
  /// Declares a document with the given tenants, and with the route /free/ that needs no key.
  void declare(std::uint64_t version, std::vector<catalog::Tenant> tenants) {
    registry::ViewUpdate update;
    update.complete = true;
    update.documentVersion = version;
    update.changed = {GatewayHarness::worker(1)};
    auto document = std::make_shared<catalog::Document>();
    document->version = version;
    document->services = {{"svc", "", 0, std::nullopt}};
    document->routes = {GatewayHarness::route("safe", catalog::RouteKind::idempotent, false, 2),
                        GatewayHarness::route("free", catalog::RouteKind::idempotent, false, 2)};
    document->routes[1].open = true;
    document->tenants = std::move(tenants);
    document->keyed = true;
    harness.gateway.viewReceived(update);
    harness.gateway.documentReceived(std::move(document));
    harness.scheduler.settle();
  }
  /// Declares the tenants one (key k1, priority 3) and two (key k2).
  void declareBoth(std::uint64_t version = 1) {
    catalog::Tenant first = tenant("one", {"k1"});
    first.priority = 3;
    declare(version, {first, tenant("two", {"k2"})});
  }
  /// Answers the last confirmation request, as the leader does.
  void confirm(std::uint64_t version) {
    harness.gateway.documentConfirmed({harness.link.confirmRequests.back().sequence, version});
    harness.scheduler.settle();
  }
  void begin() {
    harness.follow();
    declareBoth();
    confirm(1);
  }
  std::unique_ptr<Caller> request(const std::string& route, const std::string& id,
                                  const std::string& key, const std::string& tokens = "") {
    net::HttpRequest made;
    made.method = "GET";
    made.target = "/" + route + "/x";
    made.headers.add("Host", "h");
    made.headers.add("Id", id);
    made.headers.add("Deadline-Ms", "5000");
    made.headers.add("Tenant", "somebody");
    if (!key.empty()) {
      made.headers.add("Key", key);
    }
    if (!tokens.empty()) {
      made.headers.add("Tokens", tokens);
    }
    auto caller = std::make_unique<Caller>();
    harness.gateway.onRequest(std::move(made), *caller);
    harness.scheduler.settle();
    return caller;
  }
  std::size_t sentCount() { return harness.launcher.sent.size(); }
  const net::HttpRequest& lastSent() { return harness.launcher.sent.back()->request; }
};

TEST(KeyAdmissionTest, aWorkerGetsTheTenantAndNeverTheKey) {
  begin();
  const auto caller = request("safe", "r1", "k1");
  CHECK_EQUAL(1, sentCount());
  STRCMP_EQUAL("one", lastSent().headers.find("Tenant")->c_str());
  POINTERS_EQUAL(nullptr, lastSent().headers.find("Key"));
}

TEST(KeyAdmissionTest, anOpenRouteNeedsNoKeyAndSendsNoTenant) {
  begin();
  const auto caller = request("free", "r1", "k1");
  CHECK_EQUAL(1, sentCount());
  POINTERS_EQUAL(nullptr, lastSent().headers.find("Key"));
  POINTERS_EQUAL(nullptr, lastSent().headers.find("Tenant"));
}

TEST(KeyAdmissionTest, anUnknownKeyIsRefused) {
  begin();
  CHECK_EQUAL(401, request("safe", "r1", "k3")->status);
  CHECK_EQUAL(401, request("safe", "r2", "")->status);
  CHECK_EQUAL(404, request("other", "r3", "k1")->status);
  CHECK_EQUAL(0, sentCount());
}

TEST(KeyAdmissionTest, keysAreNeverLogged) {
  begin();
  const auto known = request("safe", "r1", "k1");
  const auto unknown = request("safe", "r2", "k3");
  harness.lose(*harness.launcher.sent.back());
  for (const LoggedLine& line : harness.log.lines) {
    for (const auto& [name, value] : line.fields) {
      CHECK(value.find("k1") == std::string::npos);
      CHECK(value.find("k3") == std::string::npos);
    }
  }
}

TEST(KeyAdmissionTest, withoutAConfirmedDocumentNothingIsAdmitted) {
  harness.follow();
  declareBoth();
  const auto waits = request("safe", "r1", "k1");
  CHECK_EQUAL(0, sentCount());
  CHECK_EQUAL(0, waits->status);
  CHECK_FALSE(harness.gateway.ready());
  confirm(1);
  CHECK_EQUAL(1, sentCount());
  CHECK_TRUE(harness.gateway.ready());
}

/// The status is 503 and never 401: the gateway can't know whether the key is valid.
TEST(KeyAdmissionTest, anExpiredLeaseRefusesAllRequestsThatNeedAKey) {
  begin();
  harness.scheduler.advance(4499ms);
  CHECK_EQUAL(503, request("safe", "r1", "k3")->status);
  const auto known = request("safe", "r2", "k1");
  CHECK_EQUAL(1, sentCount());
  harness.scheduler.advance(2ms);
  CHECK_EQUAL(503, request("safe", "r3", "k1")->status);
  CHECK_EQUAL(503, request("safe", "r4", "k3")->status);
  CHECK_EQUAL(1, sentCount());
  CHECK_FALSE(harness.gateway.ready());
  const auto open = request("free", "r5", "");
  CHECK_EQUAL(2, sentCount());
}

/// An answer may be seconds late: its age counts from its request.
TEST(KeyAdmissionTest, theLeaseCountsFromItsRequest) {
  harness.follow();
  declareBoth();
  const std::uint64_t confirmSequence = harness.link.confirmRequests.front().sequence;
  harness.scheduler.suspendFor(4s);
  harness.gateway.documentConfirmed({confirmSequence, 1});
  harness.scheduler.suspendFor(600ms);
  CHECK_EQUAL(503, request("safe", "r1", "k1")->status);
}

TEST(KeyAdmissionTest, theLeaseExpiresDuringASuspension) {
  begin();
  harness.scheduler.suspendFor(5s);
  CHECK_EQUAL(503, request("safe", "r1", "k1")->status);
}

/// The machine is suspended after the loop has read its clock, and the request is sent during the
/// suspension.
TEST(KeyAdmissionTest, theClockIsReadAfterTheRequestHasCome) {
  begin();
  harness.scheduler.suspendWithinIteration(5s);
  CHECK_EQUAL(503, request("safe", "r1", "k1")->status);
  CHECK_EQUAL(0, sentCount());
}

TEST(KeyAdmissionTest, aConfirmationOfANewerDocumentCountsOnceItIsHeld) {
  begin();
  harness.scheduler.suspendFor(4s);
  harness.gateway.leaderFollowed(false);
  confirm(2);
  harness.scheduler.suspendFor(600ms);
  CHECK_EQUAL(503, request("safe", "r1", "k1")->status);
  declare(2, {tenant("two", {"k1"})});
  const auto caller = request("safe", "r2", "k1");
  CHECK_EQUAL(1, sentCount());
  STRCMP_EQUAL("two", lastSent().headers.find("Tenant")->c_str());
}

/// A newer document may contain the key.
TEST(KeyAdmissionTest, aGatewayWithAnOutdatedDocumentRefusesNoKeyAsUnknown) {
  begin();
  registry::ViewUpdate update;
  update.documentVersion = 2;
  harness.gateway.viewReceived(update);
  CHECK_EQUAL(503, request("safe", "r1", "k3")->status);
  const auto known = request("safe", "r2", "k1");
  CHECK_EQUAL(1, sentCount());
}

TEST(KeyAdmissionTest, aDocumentWithoutKeysNeedsNoConfirmation) {
  harness.follow();
  const std::size_t beforeDocument = harness.link.confirmRequests.size();
  harness.declare(1);
  harness.advanceFollowing(3s);
  harness.loseLeader();
  harness.scheduler.advance(1s);
  harness.followAgain();
  harness.advanceFollowing(3s);
  CHECK_EQUAL(beforeDocument, harness.link.confirmRequests.size());
  CHECK(harness.link.quotas.empty());
}

// Guards against a document that is confirmed only by a further exchange with the leader, which
// takes seconds where servers are held up (RECOVER).
TEST(KeyAdmissionTest, aRequestSentWithTheSubscriptionConfirmsTheDocument) {
  harness.follow();
  const std::uint64_t sequence = harness.link.confirmRequests.front().sequence;
  harness.gateway.documentConfirmed({sequence, 1});
  CHECK_FALSE(harness.gateway.ready());
  declareBoth();
  CHECK_TRUE(harness.gateway.ready());
  harness.advanceFollowing(3s);
  CHECK_TRUE(harness.link.confirmRequests.size() > 2);
}

TEST(KeyAdmissionTest, aConfirmationOfANewerDocumentIsNoneOfTheFirst) {
  harness.follow();
  confirm(2);
  declareBoth(1);
  CHECK_FALSE(harness.gateway.ready());
  declareBoth(2);
  CHECK_TRUE(harness.gateway.ready());
}

TEST(KeyAdmissionTest, theTenantsPriorityOverridesTheRoutes) {
  harness.follow();
  declareBoth();
  confirm(1);
  const auto first = request("safe", "r1", "k1");
  const auto second = request("safe", "r2", "k2");
  harness.advanceFollowing(600ms);
  CHECK_EQUAL(2, sentCount());
}

TEST_GROUP_BASE(QuotaAdmissionTest, TEST_GROUP_CppUTestGroupKeyAdmissionTest){
    void beginLimited(){catalog::Tenant limited = tenant("one", {"k1"});
limited.unitsPerSecond = 100;
limited.countsTokens = true;
limited.defaultTokens = 20;
harness.follow();
declare(1, {limited});
confirm(1);
}
/// Spends the cost of one request, and leaves as much quota held as the next one costs.
std::unique_ptr<Caller> spendAndHold() {
  beginLimited();
  auto caller = request("safe", "r1", "k1", "50");
  grant(100);
  return caller;
}
void grant(double amount, base::Duration retryAfter = 0ms) {
  harness.gateway.quotaGranted(
      {harness.link.quotas.back().sequence, {{"one", amount, retryAfter}}});
  harness.scheduler.settle();
}
}
;

TEST(QuotaAdmissionTest, aRequestIsSentOnceItsQuotaIsGranted) {
  beginLimited();
  const auto caller = request("safe", "r1", "k1", "50");
  CHECK_EQUAL(0, sentCount());
  DOUBLES_EQUAL(50, harness.link.quotas.back().claims.at(0).needed, 0.1);
  grant(50);
  CHECK_EQUAL(1, sentCount());
}

TEST(QuotaAdmissionTest, heldQuotaIsUsedWithoutAskingTheLeader) {
  const auto first = spendAndHold();
  const std::size_t requestCount = harness.link.quotas.size();
  const auto second = request("safe", "r2", "k1", "50");
  CHECK_EQUAL(2, sentCount());
  CHECK_EQUAL(requestCount, harness.link.quotas.size());
}

TEST(QuotaAdmissionTest, aRequestWithoutATokenCountCostsTheDefault) {
  beginLimited();
  const auto caller = request("safe", "r1", "k1");
  DOUBLES_EQUAL(20, harness.link.quotas.back().claims.at(0).needed, 0.1);
}

TEST(QuotaAdmissionTest, aRequestOverQuotaIsRefusedWithRetryAfter) {
  beginLimited();
  const auto first = request("safe", "r1", "k1", "50");
  grant(50);
  const auto second = request("safe", "r2", "k1", "50");
  grant(0, 500ms);
  CHECK_EQUAL(1, sentCount());
  CHECK_EQUAL(429, second->status);
  STRCMP_EQUAL("0.50", second->headers.find("Retry-After")->c_str());
}

/// The leader did not know of the request when it answered.
TEST(QuotaAdmissionTest, aRequestNotCoveredByAGrantWaitsForTheNextOne) {
  beginLimited();
  const auto first = request("safe", "r1", "k1", "50");
  const std::uint64_t sequence = harness.link.quotas.back().sequence;
  const auto second = request("safe", "r2", "k1", "50");
  harness.gateway.quotaGranted({sequence, {{"one", 0, 500ms}}});
  harness.scheduler.settle();
  CHECK_EQUAL(429, first->status);
  CHECK_EQUAL(0, second->status);
  grant(50);
  CHECK_EQUAL(1, sentCount());
}

TEST(QuotaAdmissionTest, withoutAGrantTheRefusalIsNotForExceedingTheQuota) {
  beginLimited();
  const auto caller = request("safe", "r1", "k1", "50");
  harness.advanceFollowing(600ms);
  CHECK_EQUAL(503, caller->status);
  CHECK_EQUAL(0, sentCount());
}

TEST(QuotaAdmissionTest, heldQuotaExpiresWithItsLease) {
  const auto first = spendAndHold();
  harness.scheduler.suspendFor(registry::kQuotaLease);
  const auto second = request("safe", "r2", "k1", "50");
  CHECK_EQUAL(1, sentCount());
}

/// The lease on the document lasts longer than that on held quota, so only the latter expires here.
TEST(QuotaAdmissionTest, heldQuotaExpiresByTheClockReadAfterTheRequestHasCome) {
  const auto first = spendAndHold();
  harness.scheduler.suspendWithinIteration(registry::kQuotaLease);
  const auto second = request("safe", "r2", "k1", "50");
  CHECK_EQUAL(1, sentCount());
}

TEST(QuotaAdmissionTest, theCostOfARequestThatDidNotRunIsRefunded) {
  beginLimited();
  const auto first = request("safe", "r1", "k1", "50");
  grant(50);
  for (std::size_t index = 0; index < 9 && first->status == 0; ++index) {
    harness.refuse(*harness.launcher.sent.back(), 503, "r1");
    harness.scheduler.advance(200ms);
  }
  CHECK_EQUAL(503, first->status);
  const std::size_t sent = sentCount();
  const auto second = request("safe", "r2", "k1", "50");
  CHECK_EQUAL(sent + 1, sentCount());
}

TEST(QuotaAdmissionTest, aDisconnectedCallersRequestIsNotSent) {
  beginLimited();
  const auto caller = request("safe", "r1", "k1", "50");
  caller->gone();
  grant(50);
  CHECK_EQUAL(0, sentCount());
}
