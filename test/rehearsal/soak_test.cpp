/// Parts of the soak: the account of what was served, child processes, the proxy of links.

#include <csignal>
#include <filesystem>
#include <fstream>
#include <optional>

#include "net/http_client.h"
#include "net/http_server.h"
#include "rehearsal/child_process.h"
#include "rehearsal/link_proxy.h"
#include "rehearsal/soak_account.h"
#include "rehearsal/soak_stream.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::rehearsal;
using namespace std::chrono_literals;

namespace {

const base::TimePoint kBegin = base::fromMicros(1'000'000);

/// Answers each request with its body.
class Echo : public net::RequestHandler {
 public:
  void onRequest(net::HttpRequest request, net::ResponseSink& sink) override {
    net::HttpResponse response;
    response.head.status = 200;
    response.body = request.body;
    sink.respond(std::move(response));
  }
};

}  // namespace

TEST_GROUP(SoakAccountTest){};

TEST(SoakAccountTest, theShareIsThatOfRequestsSentWithinTheTime) {
  SoakAccount account(kBegin);
  account.requestEnded(kBegin + 1s, true);
  account.requestEnded(kBegin + 2s, false);
  account.requestEnded(kBegin + 3s, true);
  account.requestEnded(kBegin + 4s, false);
  DOUBLES_EQUAL(0.5, account.servedShare(kBegin, kBegin + 5s), 0.001);
  DOUBLES_EQUAL(0.0, account.servedShare(kBegin + 2s, kBegin + 3s), 0.001);
  DOUBLES_EQUAL(1.0, account.servedShare(kBegin + 5s, kBegin + 6s), 0.001);
}

TEST(SoakAccountTest, aViolationNamesItsRuleAndTime) {
  SoakAccount account(kBegin);
  CHECK_TRUE(account.passed());
  account.violation("LIMIT", kBegin + 1500ms, "too much");
  CHECK_FALSE(account.passed());
  STRCMP_EQUAL("LIMIT 1500 ms: too much", account.violations().front().c_str());
}

TEST(SoakAccountTest, aBodyRunsFirstOnce) {
  SoakAccount account(kBegin);
  CHECK_TRUE(account.runsFirst("a", kBegin));
  CHECK_FALSE(account.runsFirst("a", kBegin));
}

TEST(SoakAccountTest, theEndOfARunIsKept) {
  SoakAccount account(kBegin);
  POINTERS_EQUAL(nullptr, account.findRun("a"));
  CHECK_TRUE(account.runsFirst("a", kBegin));
  CHECK_FALSE(account.findRun("a")->endedAt.has_value());
  account.runEnded("a", kBegin + 1s);
  CHECK_TRUE(account.findRun("a")->endedAt == kBegin + 1s);
}

TEST(SoakAccountTest, takeUpsAreComparedWithNewStreams) {
  SoakAccount account(kBegin);
  for (int count = 0; count < 11; ++count) {
    account.streamTried(true, false);
    account.streamTried(false, true);
  }
  CHECK_FALSE_TEXT(account.takesUpTooFew(), "fewer than 12");
  account.streamTried(true, false);
  CHECK_TRUE(account.takesUpTooFew());
  for (int count = 0; count < 12; ++count) {
    account.streamTried(true, true);
  }
  CHECK_FALSE(account.takesUpTooFew());
}

TEST_GROUP(SoakStreamTest) { SoakStream stream; };

TEST(SoakStreamTest, onlyWholeEventsCount) {
  STRCMP_EQUAL("", stream.take("id: 1\ndata: part 1 of v1\n\nid: 2\nda", "r1").c_str());
  CHECK_EQUAL(1, stream.lastId());
  STRCMP_EQUAL("", stream.take("id: 2\ndata: part 2 of v1\n\n", "r2").c_str());
  CHECK_EQUAL(2, stream.lastId());
  STRCMP_EQUAL("r1", stream.begunBy().c_str());
}

TEST(SoakStreamTest, aMissingOrRepeatedEventIsAnError) {
  CHECK_FALSE(stream.take("id: 2\ndata: part 2 of v1\n\n", "r1").empty());
  CHECK_TRUE(stream.take("id: 1\ndata: part 1 of v1\n\n", "r1").empty());
  CHECK_FALSE(stream.take("id: 1\ndata: part 1 of v1\n\n", "r2").empty());
}

TEST(SoakStreamTest, eventsOfTwoVersionsAreAnError) {
  CHECK_TRUE(stream.take("id: 1\ndata: part 1 of v1\n\n", "r1").empty());
  CHECK_FALSE(stream.take("id: 2\ndata: part 2 of v2\n\n", "r2").empty());
}

TEST_GROUP(ChildProcessTest){};

TEST(ChildProcessTest, itsOutputAndItsEndAreTold) {
  const std::filesystem::path log = std::filesystem::temp_directory_path() / "walnut-child-test";
  std::filesystem::remove(log);
  auto child = ChildProcess::start({"/bin/sh", "-c", "echo begun; exit 3"}, log.string());
  CHECK_TRUE(child.has_value());
  child.value().wait();
  CHECK_FALSE(child.value().isRunning());
  CHECK_EQUAL(3, WEXITSTATUS(*child.value().status()));
  std::ifstream text(log);
  std::string line;
  std::getline(text, line);
  STRCMP_EQUAL("begun", line.c_str());
  std::filesystem::remove(log);
}

TEST(ChildProcessTest, itIsEndedBySignals) {
  auto child = ChildProcess::start({"/bin/sleep", "60"}, "/dev/null");
  CHECK_TRUE(child.value().isRunning());
  child.value().signal(SIGKILL);
  child.value().wait();
  CHECK_EQUAL(SIGKILL, WTERMSIG(*child.value().status()));
}

TEST(ChildProcessTest, aProgramThatIsMissingIsAnError) {
  CHECK_TRUE(ChildProcess::start({"/no/such/program"}, "/dev/null").has_error());
}

TEST_GROUP(LinkProxyTest) {
  event::Dispatcher loop;
  Echo echo;
  std::unique_ptr<net::HttpServer> server;
  std::unique_ptr<LinkProxy> proxy;
  std::unique_ptr<net::HttpClient> client;

  void setup() override {
    server = std::move(net::HttpServer::open(loop, {"127.0.0.1", 0}, {}, echo).value());
    proxy = std::move(LinkProxy::open(loop, {"127.0.0.1", 0}, server->endpoint()).value());
    client = std::make_unique<net::HttpClient>(loop, net::ClientPoolOptions{});
  }
  void teardown() override {
    client.reset();
    proxy.reset();
    server.reset();
  }
  /// @return the body of the answer; nothing if none comes within the time.
  std::optional<std::string> ask(base::Duration timeout) {
    net::HttpRequest request;
    request.method = "POST";
    request.target = "/";
    request.headers.add("Host", "h");
    request.headers.add("Content-Length", "5");
    request.body = "hello";
    std::optional<net::CallOutcome> outcome;
    client->call("proxy", proxy->endpoint(), request, timeout,
                 [&outcome](net::CallOutcome result) { outcome = std::move(result); });
    while (!outcome) {
      loop.runOnce(10ms);
    }
    return outcome->response ? std::optional<std::string>(outcome->response.value().body)
                             : std::nullopt;
  }
};

TEST(LinkProxyTest, itPassesOnInBothDirections) {
  STRCMP_EQUAL("hello", ask(5s).value_or("").c_str());
  STRCMP_EQUAL("hello", ask(5s).value_or("").c_str());
}

TEST(LinkProxyTest, itDelaysBothDirections) {
  proxy->setDelay(50ms);
  const base::TimePoint begin = loop.readClock();
  STRCMP_EQUAL("hello", ask(5s).value_or("").c_str());
  CHECK_TRUE(loop.readClock() - begin >= 100ms);
}

TEST(LinkProxyTest, whatItDropsNeverArrives) {
  for (const LinkFault fault :
       {LinkFault::dropRequests, LinkFault::dropAnswers, LinkFault::silent}) {
    proxy->setFault(fault);
    CHECK_FALSE(ask(200ms).has_value());
    proxy->setFault(LinkFault::none);
    proxy->closeAll();
    STRCMP_EQUAL("hello", ask(5s).value_or("").c_str());
  }
}
