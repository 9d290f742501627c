/// Tests of the digest that identifies a request sent again under another id.

#include "gateway/request_digest.h"

#include "gateway/gateway_harness.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::gateway;
using namespace walnut::gateway::testing;

TEST_GROUP(RequestDigestTest) {
  TestDialect dialect;
  net::HttpRequest request;

  void setup() override {
    request.method = "POST";
    request.target = "/a/b?c";
    request.headers.add("Caller", "one");
    request.headers.add("Id", "r1");
    request.headers.add("Deadline-Ms", "5000");
    request.body = "body";
  }
  void checkDiffers(const net::HttpRequest& other) {
    CHECK(digestOf(dialect.callerOf(request), request) != digestOf(dialect.callerOf(other), other));
  }
};

TEST(RequestDigestTest, fieldsThatChangeBetweenAttemptsAreNotDigested) {
  net::HttpRequest again = request;
  again.headers.set("Id", "r2");
  again.headers.set("Deadline-Ms", "3100");
  CHECK(digestOf(dialect.callerOf(request), request) == digestOf(dialect.callerOf(again), again));
}

TEST(RequestDigestTest, callerMethodPathAndBodyAreDigested) {
  net::HttpRequest other = request;
  other.headers.set("Caller", "two");
  checkDiffers(other);
  other = request;
  other.method = "PUT";
  checkDiffers(other);
  other = request;
  other.target = "/a/b?d";
  checkDiffers(other);
  other = request;
  other.body = "body2";
  checkDiffers(other);
}

TEST(RequestDigestTest, bytesMovedBetweenPartsChangeTheDigest) {
  net::HttpRequest other = request;
  other.target = "/a/b?cb";
  other.body = "ody";
  checkDiffers(other);
}

TEST(RequestDigestTest, aCutRequestIsLoggedWithTheSameDigestEachTime) {
  GatewayHarness harness;
  harness.declare(2);
  harness.follow();
  const auto first = harness.request("once", "r1", "", "same");
  harness.lose(*harness.launcher.sent.back());
  const auto second = harness.request("once", "r2", "", "same");
  harness.lose(*harness.launcher.sent.back());
  const std::vector<LoggedLine> lines = harness.log.of(runtime::LogEvent::requestCut);
  CHECK_EQUAL(2, lines.size());
  STRCMP_EQUAL("r1", lines[0].fields.at("request").c_str());
  STRCMP_EQUAL("r2", lines[1].fields.at("request").c_str());
  STRCMP_EQUAL(lines[0].fields.at("digest").c_str(), lines[1].fields.at("digest").c_str());
}

TEST(RequestDigestTest, aCutRequestIsLoggedWithThePartsThatItsPromptShares) {
  GatewayHarness harness;
  harness.declare(2);
  harness.follow();
  const auto first = harness.request("bound", "r1", "", "one", "first,middle,own1");
  harness.lose(*harness.launcher.sent.back());
  const auto second = harness.request("bound", "r2", "", "two", "first,middle,own2");
  harness.lose(*harness.launcher.sent.back());
  const std::vector<LoggedLine> lines = harness.log.of(runtime::LogEvent::requestCut);
  CHECK_EQUAL(2, lines.size());
  const std::string parts = lines[0].fields.at("parts");
  CHECK(parts.find(',') != std::string::npos);
  STRCMP_EQUAL(parts.c_str(), lines[1].fields.at("parts").c_str());
}

TEST(RequestDigestTest, partsOfAnotherServiceHaveOtherDigests) {
  CHECK(sharedPartsOf("one", {"part", "own"}) != sharedPartsOf("two", {"part", "own"}));
  CHECK(sharedPartsOf("one", {"own"}).empty());
  CHECK_EQUAL(kMaxSharedParts, sharedPartsOf("one", std::vector<std::string>(100)).size());
}
