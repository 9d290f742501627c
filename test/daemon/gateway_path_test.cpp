/// The whole path over loopback: an operator declares, a worker registers, a client is served. The
/// hosts run on threads of their own; the client and the worker run on the test's.

#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <optional>
#include <thread>

#include "daemon/gateway_host.h"
#include "daemon/raw_server.h"
#include "daemon/registry_host.h"
#include "daemon/standin_worker.h"
#include "net/http_client.h"
#include "platform/control_dialect.h"
#include "platform/document_reader.h"
#include "platform/request_dialect.h"
#include "platform/worker_dialect.h"
#include "walnut/factories.h"
#include "walnut/runtime/clock.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::daemon;
using namespace walnut::daemon::testing;
using namespace std::chrono_literals;

namespace {

constexpr int kMaxTurns = 30000;
constexpr int kNullDescriptor = -1;

/// @return a document of a plain service and a model service, under that version.
std::string documentText(int version) {
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[
    {"name":"once","host":"h","pathPrefix":"/once/","kind":"non_idempotent","timeoutMs":20000,
     "targetLatencyMs":2000,"service":"plain"},
    {"name":"stream","host":"h","pathPrefix":"/stream/","kind":"streaming","timeoutMs":20000,
     "targetLatencyMs":2000,"service":"models","maxAttempts":2,"resumable":true,"targetGapMs":500}],
   "services":[{"name":"plain","healthPath":"/healthz","maxConns":10},
    {"name":"models","healthPath":"/healthz","maxConns":10,"engine":{"slots":4,"weightsMb":100,
     "adapterSlots":2,"loadsPerS":100,"models":[{"name":"m1","weightsMb":10,"loadS":0.1},
     {"name":"m2","weightsMb":10,"loadS":0.1}]}}]})";
}

std::string temporaryFolder() {
  std::string name = (std::filesystem::temp_directory_path() / "walnut-path-XXXXXX").string();
  return ::mkdtemp(name.data());
}

}  // namespace

TEST_GROUP(GatewayPathTest) {
  platform::PlatformDocumentReader documents;
  platform::PlatformControlDialect control;
  platform::PlatformWorkerDialect workers;
  platform::PlatformRequestDialect requests;
  runtime::OutputLog log{"test", kNullDescriptor};
  runtime::OutputLog gatewayLog{"test", kNullDescriptor};
  std::string folder = temporaryFolder();
  event::Dispatcher loop;
  std::unique_ptr<net::HttpClient> client;
  std::unique_ptr<StandinWorker> plain;
  std::unique_ptr<StandinWorker> engine;
  std::unique_ptr<RegistryHost> registry;
  std::unique_ptr<GatewayHost> gateway;
  std::thread registryThread;
  std::thread gatewayThread;
  int attempts = 0;

  void setup() override {
    client = std::make_unique<net::HttpClient>(loop, net::ClientPoolOptions{});
    plain = std::make_unique<StandinWorker>(loop, "i-plain");
    engine = std::make_unique<StandinWorker>(loop, "i-engine");
    engine->models = {"m1"};
    startRegistry();
    startGateway();
  }

  void teardown() override {
    gateway->dispatcher().stop();
    gatewayThread.join();
    registry->dispatcher().stop();
    registryThread.join();
    gateway.reset();
    registry.reset();
    client.reset();
    plain.reset();
    engine.reset();
    std::filesystem::remove_all(folder);
  }

  void startRegistry() {
    RegistrySettings settings;
    settings.bootstrap = true;
    settings.seeds = {settings.listen};
    settings.logic.tolerableLosses = 0;
    settings.logic.self.peerEndpoint = settings.peer;
    settings.logic.self.resourceEndpoint = settings.listen;
    DataFolder data;
    data.files = std::move(storage::openPosixFileSystem(folder).value());
    data.storage = storage::makeLogStorage(*data.files, settings.segmentBytes);
    data.recovered = data.storage->recover(founderIdentity(settings.listen)).value();
    const RegistryDialects dialects{documents, control, workers};
    registry = std::make_unique<RegistryHost>(settings, dialects, std::move(data), log);
    CHECK_TRUE(registry->start().has_value());
    registryThread = std::thread([this] { registry->run(); });
  }

  void startGateway() {
    GatewaySettings settings;
    settings.session.servers = {registry->peerEndpoint()};
    settings.grace = 20s;
    gateway = std::make_unique<GatewayHost>(settings, requests, gatewayLog);
    CHECK_TRUE(gateway->start().has_value());
    gatewayThread = std::thread([this] { gateway->run(); });
  }

  net::HttpResponse call(const base::Endpoint& endpoint, net::HttpRequest request) {
    std::optional<net::CallOutcome> outcome;
    request.headers.set("Content-Length", std::to_string(request.body.size()));
    client->call(runtime::formatEndpoint(endpoint), endpoint, request, 25s,
                 [&outcome](net::CallOutcome result) { outcome = std::move(result); });
    for (int turn = 0; turn < kMaxTurns && !outcome; ++turn) {
      loop.runOnce(5ms);
    }
    CHECK_TRUE(outcome.has_value());
    return outcome->response.has_value() ? std::move(outcome->response.value())
                                         : net::HttpResponse{};
  }
  static net::HttpRequest request(const char* method, const std::string& target, std::string body) {
    net::HttpRequest made;
    made.method = method;
    made.target = target;
    made.headers.add("Host", "h");
    made.body = std::move(body);
    return made;
  }
  net::HttpResponse post(const std::string& target, const std::string& body) {
    return call(registry->controlEndpoint(), request("POST", target, body));
  }
  /// Repeats until the status is 200.
  void insist(const std::function<int()>& status) {
    int last = 0;
    for (int round = 0; round < 400 && last != 200; ++round) {
      last = status();
      loop.runOnce(5ms);
    }
    CHECK_EQUAL(200, last);
  }
  void beat(StandinWorker & worker, const char* service, const char* id, bool draining = false) {
    insist([&] {
      return post(std::string(platform::kHeartbeatPath) + id, worker.heartbeat(service, draining))
          .head.status;
    });
  }
  void declareAndRegister() {
    insist([this] {
      return post(std::string(platform::kConfigReplacePath), documentText(3)).head.status;
    });
    beat(*plain, "plain", "i-plain");
    beat(*engine, "models", "i-engine");
    insist([this] {
      return call(gateway->readinessEndpoint(),
                  request("GET", std::string(platform::kReadyPath), ""))
          .head.status;
    });
  }
  /// Registers a server that answers with raw bytes in place of the plain worker.
  void registerRaw(const RawServer& server) {
    std::string text = plain->heartbeat("plain", false);
    const std::string own = runtime::formatEndpoint(plain->endpoint());
    text.replace(text.find(own), own.size(), runtime::formatEndpoint(server.endpoint()));
    insist([this] {
      return post(std::string(platform::kConfigReplacePath), documentText(3)).head.status;
    });
    insist([&] { return post(std::string(platform::kHeartbeatPath) + "i-raw", text).head.status; });
  }
  /// Asks with a body that is the id of the request.
  net::HttpResponse askById() {
    return ask("/once/x", "a-" + std::to_string(attempts + 1), nullptr);
  }
  net::HttpResponse ask(const std::string& target, const std::string& body, const char* model) {
    net::HttpRequest made = request("POST", target, body);
    made.headers.add(std::string(platform::kRequestIdHeader), "a-" + std::to_string(++attempts));
    made.headers.add(std::string(platform::kDeadlineHeader), "20000");
    if (model != nullptr) {
      made.headers.add(std::string(platform::kModelHeader), model);
    }
    return call(gateway->frontEndpoint(), std::move(made));
  }
};

TEST(GatewayPathTest, aPlainRequestIsServed) {
  declareAndRegister();
  insist([this] { return ask("/once/x?q=1", "hello", nullptr).head.status; });
  const net::HttpResponse response = ask("/once/x?q=1", "hello", nullptr);
  STRCMP_EQUAL("answer to hello", response.body.c_str());
  STRCMP_EQUAL(("seal of a-" + std::to_string(attempts)).c_str(),
               response.head.headers.find(platform::kSealHeader)->c_str());
  STRCMP_EQUAL("/once/x?q=1", plain->requests.back().target.c_str());
  STRCMP_EQUAL("i-plain", plain->requests.back().headers.find(platform::kTargetHeader)->c_str());
}

TEST(GatewayPathTest, theMetricsTellTheRetryBudgetAndTheNumberOfGateways) {
  declareAndRegister();
  const std::string metrics =
      call(gateway->readinessEndpoint(), request("GET", "/metrics", "")).body;
  for (const char* line :
       {"\nwalnut_gateway_retries_used 0\n", "\nwalnut_gateway_retries_allowed 0",
        "\nwalnut_gateway_counted_gateways 1\n"}) {
    CHECK_TEXT(metrics.find(line) != std::string::npos, metrics.c_str());
  }
}

TEST(GatewayPathTest, aStreamThatBreaksGoesOnInOnePiece) {
  declareAndRegister();
  engine->breakNext = true;
  const net::HttpResponse response = ask("/stream/x", "", "m1");
  CHECK_EQUAL(200, response.head.status);
  STRCMP_EQUAL("id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n", response.body.c_str());
  CHECK_EQUAL(2, engine->requests.size());
}

TEST(GatewayPathTest, aModelThatNobodyHoldsIsLoadedForItsFirstRequest) {
  declareAndRegister();
  std::optional<net::CallOutcome> outcome;
  net::HttpRequest made = request("POST", "/stream/x", "");
  made.headers.add(std::string(platform::kRequestIdHeader), "cold");
  made.headers.add(std::string(platform::kDeadlineHeader), "20000");
  made.headers.add(std::string(platform::kModelHeader), "m2");
  made.headers.add("Content-Length", "0");
  client->call("front", gateway->frontEndpoint(), made, 25s,
               [&outcome](net::CallOutcome result) { outcome = std::move(result); });
  bool told = false;
  for (int turn = 0; turn < kMaxTurns && !outcome; ++turn) {
    loop.runOnce(5ms);
    if (!told && engine->models.count("m2") != 0) {
      told = true;
      beat(*engine, "models", "i-engine");
    }
  }
  CHECK_TRUE(outcome.has_value());
  CHECK_EQUAL(200, outcome->response.value().head.status);
  CHECK_EQUAL(1, engine->orders.size());
}

TEST(GatewayPathTest, aFullWorkersRefusalIsPassedOnAsNotRun) {
  declareAndRegister();
  insist([this] { return ask("/once/x", "hello", nullptr).head.status; });
  const std::size_t ran = plain->requests.size();
  plain->full = true;
  const net::HttpResponse response = ask("/once/x", "hello", nullptr);
  CHECK_EQUAL(503, response.head.status);
  CHECK(response.head.headers.find("Retry-After") != nullptr);
  CHECK_EQUAL(ran, plain->requests.size());
}

// Guards against a rejection of an earlier request on the connection that is passed on as that of
// the present one: without an id the two can't be told apart.
TEST(GatewayPathTest, aRefusalWithoutIdIsPassedOnAsNotRunOnANewConnectionOnly) {
  declareAndRegister();
  insist([this] { return ask("/once/x", "hello", nullptr).head.status; });
  plain->full = true;
  plain->rejectionsHaveId = false;
  CHECK_EQUAL(502, ask("/once/x", "hello", nullptr).head.status);
  CHECK_EQUAL(503, ask("/once/x", "hello", nullptr).head.status);
}

TEST(GatewayPathTest, anInvalidDocumentIsRefusedWithItsField) {
  declareAndRegister();
  std::string broken = documentText(9);
  broken.replace(broken.find("\"service\":\"plain\""), 17, "\"service\":\"gone!\"");
  const net::HttpResponse response = post(std::string(platform::kConfigReplacePath), broken);
  CHECK_EQUAL(400, response.head.status);
  CHECK(response.body.find("routes[once].services") != std::string::npos);
  const net::HttpResponse held =
      call(registry->controlEndpoint(), request("GET", std::string(platform::kConfigReadPath), ""));
  STRCMP_EQUAL(documentText(3).c_str(), held.body.c_str());
}

TEST(GatewayPathTest, aWorkerThatIsGoneGetsNothingMore) {
  declareAndRegister();
  insist([this] { return ask("/once/x", "hello", nullptr).head.status; });
  beat(*plain, "plain", "i-plain", true);
  insist(
      [this] { return post(std::string(platform::kDeregisterPath) + "i-plain", "").head.status; });
  int status = 200;
  for (int round = 0; round < 200 && status == 200; ++round) {
    status = ask("/once/x", "hello", nullptr).head.status;
  }
  CHECK_EQUAL(503, status);
}

TEST(GatewayPathTest, malformedRequestsAreRefused) {
  declareAndRegister();
  CHECK_EQUAL(404, ask("/none/", "", nullptr).head.status);
  CHECK_EQUAL(404, post("/v1/none", "").head.status);
  CHECK_EQUAL(400, post(std::string(platform::kHeartbeatPath) + "i-x", "{").head.status);
}

TEST(GatewayPathTest, aStoppingGatewayIsNotReadyAndEnds) {
  declareAndRegister();
  gateway->dispatcher().post([this] { gateway->beginStop(runtime::now()); });
  int status = 200;
  for (int round = 0; round < 400 && status == 200; ++round) {
    status =
        call(gateway->readinessEndpoint(), request("GET", std::string(platform::kReadyPath), ""))
            .head.status;
  }
  CHECK_EQUAL(503, status);
}

/// Guards against an answer that ends within its head or its body and reaches the client as a 200
/// with an empty or short body, framed as whole.
TEST(GatewayPathTest, noPartOfAnAnswerIsPassedOnAsWhole) {
  constexpr std::size_t kWhole = 10'000;
  std::atomic<std::size_t> cutAt{kWhole};
  std::atomic<std::size_t> cuts{0};
  RawServer worker([&](RawConnection& connection) {
    while (connection.readRequest()) {
      const std::string answer = "HTTP/1.1 200 OK\r\n" + std::string(platform::kRequestIdHeader) +
                                 ": " + connection.body + "\r\n" +
                                 std::string(platform::kSealHeader) +
                                 ": seal\r\nContent-Length: 12\r\n\r\ntwelve bytes";
      connection.write(answer.substr(0, cutAt));
      if (cutAt < answer.size()) {
        ++cuts;
        return;
      }
    }
  });
  registerRaw(worker);
  insist([this] { return askById().head.status; });
  std::size_t tried = 0;
  for (bool whole = false; !whole;) {
    cutAt = tried;
    const std::size_t before = cuts;
    const net::HttpResponse response = askById();
    whole = cuts == before && response.head.status == 200;
    if (!whole) {
      const std::string text = "after byte " + std::to_string(tried);
      CHECK_TEXT(response.head.status != 200, text.c_str());
      CHECK_EQUAL_TEXT(before + 1, cuts, text.c_str());
      ++tried;
      cutAt = kWhole;
      insist([this] { return askById().head.status; });
    }
  }
  CHECK(tried > 100);
}
