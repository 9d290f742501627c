/// Tests of the message formats of the users' platform.

#include "platform/control_dialect.h"
#include "platform/document_reader.h"
#include "platform/request_dialect.h"
#include "platform/worker_dialect.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::platform;
using namespace std::chrono_literals;

namespace {

constexpr const char* kDocument = R"({"version":7,
  "routes":[{"name":"r1","host":"a.example","pathPrefix":"/x/","kind":"streaming","timeoutMs":25000,
    "targetLatencyMs":600,"priority":1,"trafficSplit":[{"service":"s1","weight":90},
    {"service":"s2","weight":10}],"maxAttempts":2,"sticky":true,"resumable":true,"targetGapMs":300},
    {"name":"r2","host":"a.example","pathPrefix":"/y/","kind":"non_idempotent","timeoutMs":1000,
    "service":"s2"}],
  "services":[{"name":"s1","healthPath":"/healthz","maxConns":370,"engine":{"slots":64,
    "kvCapacityTokens":129500,"weightsMb":200000.0,"adapterSlots":8,"loadsPerS":3.0,
    "models":[{"name":"m1","weightsMb":42700.0,"loadS":2.5,"adapters":37,"adapterMb":66.0,
    "warmupS":0.89,"diskS":1.2}]}},{"name":"s2","healthPath":"/healthz","maxConns":110}],
  "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
    "idleTimeoutMs":15000}})";

constexpr const char* kPlainHeartbeat =
    R"({"service":"s1","address":"10.0.0.9:8080","zone":"z","slots":64,"state":"ready","seq":4})";

std::string replaced(std::string text, const std::string& from, const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

net::HttpRequest post(const std::string& target, const std::string& body) {
  net::HttpRequest request;
  request.method = "POST";
  request.target = target;
  request.body = body;
  return request;
}

}  // namespace

TEST_GROUP(DialectTest) {
  PlatformDocumentReader documents;
  PlatformControlDialect control;
  PlatformWorkerDialect workers;
  PlatformRequestDialect requests;
};

TEST(DialectTest, aDocumentIsRead) {
  const catalog::Document document = documents.read(kDocument).value();
  CHECK_EQUAL(7, document.version);
  CHECK_TRUE(document.routes.at(0).kind == catalog::RouteKind::streaming);
  CHECK_TRUE(document.routes.at(0).repeatable());
  CHECK_TRUE(document.routes.at(0).targetLatency == 600ms);
  CHECK_EQUAL(2, document.routes.at(0).services.size());
  STRCMP_EQUAL("s2", document.routes.at(1).services.at(0).service.c_str());
  CHECK_TRUE(document.services.at(0).engine->models.at(0).storeLoadTime == 2500ms);
  CHECK_FALSE(document.services.at(1).engine.has_value());
  CHECK_TRUE(document.limits.idleTimeout == 15s);
}

TEST(DialectTest, malformedDocumentsNameTheField) {
  const struct {
    std::string text;
    base::ErrorCode code;
    const char* field;
  } cases[] = {
      {std::string(kDocument).substr(0, 300), base::ErrorCode::malformedInput, "body"},
      {"[]", base::ErrorCode::wrongType, "body"},
      {replaced(kDocument, "\"version\":7,", ""), base::ErrorCode::missingField, "version"},
      {replaced(kDocument, "\"timeoutMs\":25000,", ""), base::ErrorCode::missingField,
       "routes[0].timeoutMs"},
      {replaced(kDocument, "\"streaming\"", "\"steaming\""), base::ErrorCode::outOfRange,
       "routes[0].kind"},
      {replaced(kDocument, "\"weight\":90", "\"weight\":\"x\""), base::ErrorCode::wrongType,
       "routes[0].trafficSplit[0].weight"},
  };
  for (const auto& fault : cases) {
    const auto outcome = documents.read(fault.text);
    CHECK_TRUE(outcome.has_error());
    CHECK_TRUE_TEXT(outcome.error().code == fault.code, fault.field);
    STRCMP_EQUAL(fault.field, outcome.error().field.c_str());
  }
}

TEST(DialectTest, aHeartbeatIsRead) {
  const auto call = control.readCall(
      post("/v1/Instances.Heartbeat/i-7",
           R"({"service":"s1","address":"10.0.0.9:8080","zone":"z","version":"v1","slots":64,
          "state":"draining","coldLeftMs":0,"models":[{"name":"m1","version":1,"adapters":["a2"]}],
          "seq":4,"available":{"inMemory":["m1"],"onDisk":[]}})"));
  const auto& alive = std::get<registry::ReportAlive>(call.value());
  STRCMP_EQUAL("i-7", alive.heartbeat.worker.id.value.c_str());
  CHECK_TRUE(alive.heartbeat.worker.leaving);
  CHECK_TRUE(alive.heartbeat.holdings.holds("m1", "a2"));
  CHECK_EQUAL(1, alive.heartbeat.holdings.inMemory.size());
  STRCMP_EQUAL("v1", alive.heartbeat.worker.softwareVersion.c_str());
}

TEST(DialectTest, aHeartbeatNeedsNoSoftwareVersion) {
  const auto call = control.readCall(post("/v1/Instances.Heartbeat/i-7", kPlainHeartbeat));
  const auto& alive = std::get<registry::ReportAlive>(call.value());
  STRCMP_EQUAL("", alive.heartbeat.worker.softwareVersion.c_str());
}

TEST(DialectTest, malformedVersionsAndZonesNameTheField) {
  const std::string longest(128, 'v');
  const auto withVersion = [](const std::string& value) {
    return replaced(kPlainHeartbeat, "\"slots\"", "\"version\":" + value + ",\"slots\"");
  };
  const auto read = [this](const std::string& body) {
    return control.readCall(post("/v1/Instances.Heartbeat/i-7", body));
  };
  CHECK_TRUE(read(withVersion('"' + longest + '"')).has_value());
  const struct {
    std::string text;
    base::ErrorCode code;
    const char* field;
  } cases[] = {
      {withVersion("\"v" + longest + "\""), base::ErrorCode::outOfRange, "version"},
      {withVersion("\"v\\u001f1\""), base::ErrorCode::outOfRange, "version"},
      {withVersion("\"v\\u007f\""), base::ErrorCode::outOfRange, "version"},
      {withVersion("7"), base::ErrorCode::wrongType, "version"},
      {replaced(kPlainHeartbeat, "\"z\"", "\"z\\u001fv1\""), base::ErrorCode::outOfRange, "zone"},
  };
  for (const auto& fault : cases) {
    const auto outcome = read(fault.text);
    CHECK_TRUE(outcome.has_error());
    CHECK_TRUE_TEXT(outcome.error().code == fault.code, fault.text.c_str());
    STRCMP_EQUAL(fault.field, outcome.error().field.c_str());
  }
}

TEST(DialectTest, otherCallsAreRead) {
  CHECK_TRUE(std::holds_alternative<registry::ReportGone>(
      control.readCall(post("/v1/Instances.Deregister/i-7", "")).value()));
  CHECK_TRUE(std::holds_alternative<registry::ReplaceDocument>(
      control.readCall(post("/v1/Config.Replace", "x")).value()));
  CHECK_TRUE(control.readCall(post("/v1/other", "")).has_error());
  CHECK_TRUE(control.readCall(post("/v1/Instances.Heartbeat/i-7", "{}")).has_error());
}

TEST(DialectTest, evacuationsOfZonesAreRead) {
  const auto begin = control.readCall(post("/v1/Evacuations.Begin/hel-a", "")).value();
  STRCMP_EQUAL("hel-a", std::get<registry::EvacuateZone>(begin).zone.value.c_str());
  CHECK_TRUE(std::get<registry::EvacuateZone>(begin).evacuated);
  const auto end = control.readCall(post("/v1/Evacuations.End/hel-a", "")).value();
  CHECK_FALSE(std::get<registry::EvacuateZone>(end).evacuated);
  STRCMP_EQUAL("zone", control.readCall(post("/v1/Evacuations.Begin/", "")).error().field.c_str());
}

TEST(DialectTest, answersHaveTheHttpStatusOfTheirOutcome) {
  registry::ControlAnswer answer;
  answer.status = registry::ControlStatus::done;
  answer.leader = base::Endpoint{"10.0.0.4", 8080};
  const auto beat = control.writeAnswer(registry::ReportAlive{}, answer);
  CHECK_EQUAL(200, beat.head.status);
  STRCMP_EQUAL("{\"heartbeatAddr\":\"10.0.0.4:8080\"}", beat.body.c_str());
  answer.status = registry::ControlStatus::refused;
  CHECK_EQUAL(400, control.writeAnswer(registry::ReplaceDocument{}, answer).head.status);
  answer.status = registry::ControlStatus::unavailable;
  CHECK_EQUAL(503, control.writeAnswer(registry::ReadDocument{}, answer).head.status);
}

TEST(DialectTest, anOrderContainsItsFencingTokenAndExpectedCount) {
  registry::SendOrder order;
  order.worker = {{"i-7"}, "s1", {"10.0.0.9", 8080}, {}, 64, false};
  order.model = "m1";
  order.adapter = "a2";
  order.expectedOrderCount = 3;
  order.holder = "core-1";
  order.fence = 41;
  const net::HttpRequest request = workers.writeOrder(order);
  STRCMP_EQUAL("/v1/order", request.target.c_str());
  STRCMP_EQUAL("i-7", request.headers.find("X-Walnutlead-Target-Instance")->c_str());
  CHECK_TRUE(request.body.find("\"fencingToken\":41") != std::string::npos);
  CHECK_TRUE(request.body.find("\"expectedRev\":3") != std::string::npos);
  CHECK_TRUE(request.body.find("\"operation\":\"loading\"") != std::string::npos);
}

TEST(DialectTest, orderResponsesAreMappedToOutcomes) {
  const std::pair<int, registry::OrderOutcome> cases[] = {
      {202, registry::OrderOutcome::accepted},    {200, registry::OrderOutcome::alreadyDone},
      {409, registry::OrderOutcome::busy},        {412, registry::OrderOutcome::fenced},
      {421, registry::OrderOutcome::misdirected}, {400, registry::OrderOutcome::refused},
      {500, registry::OrderOutcome::unclear},
  };
  for (const auto& [status, outcome] : cases) {
    net::HttpResponse response;
    response.head.status = status;
    CHECK_TRUE(workers.readOrderAnswer(response) == outcome);
  }
}

TEST(DialectTest, aReportIsRead) {
  net::HttpResponse response;
  response.head.status = 200;
  response.body =
      R"({"stage":"colocated","models":[{"name":"m1","version":1,"adapters":[]}],"inFlight":true,
          "seq":2,"queued":1,"active":12,"kvUsed":4,"kvTotal":9,"handles":0,"pending":["m1/a2@1"]})";
  const registry::WorkerReport report = workers.readReport(response).value();
  CHECK_TRUE(report.orderUnderWay);
  CHECK_EQUAL(2, report.orderCount);
  STRCMP_EQUAL("m1/a2", report.pendingAdapters.at(0).c_str());
  response.body = "{}";
  CHECK_TRUE(workers.readReport(response).has_error());
}

TEST(DialectTest, aRequestThatTakesAStreamUpNamesTheOneThatBeganIt) {
  net::HttpRequest request;
  request.headers.add("Last-Event-Id", "12");
  request.headers.add("Resumes", "9c41d07be2a35f68");
  const gateway::RequestFacts facts = requests.readRequest(request);
  STRCMP_EQUAL("12", facts.resumeAfter.c_str());
  STRCMP_EQUAL("9c41d07be2a35f68", facts.resumedRequest.c_str());
}

TEST(DialectTest, aRequestIsReadAndForwarded) {
  net::HttpRequest request;
  request.headers.add("X-Walnutlead-Attempt-Id", "id-1");
  request.headers.add("X-Walnutlead-Deadline-Ms", "15000");
  request.headers.add("X-Walnutlead-Model", "m1/a2");
  request.headers.add("X-Walnutlead-Token-Count", "1460,80");
  request.headers.add("X-Walnutlead-Prompt-Prefix", "5c:800,91:410");
  const gateway::RequestFacts facts = requests.readRequest(request);
  STRCMP_EQUAL("m1", facts.model.c_str());
  STRCMP_EQUAL("a2", facts.adapter.c_str());
  CHECK_EQUAL(1460, facts.promptTokens);
  CHECK_EQUAL(2, facts.promptParts.size());
  CHECK_TRUE(facts.deadline == 15s);
  requests.writeAttempt(request, {"i-7", 900ms, 12, "5", ""});
  STRCMP_EQUAL("900", request.headers.find("X-Walnutlead-Deadline-Ms")->c_str());
  STRCMP_EQUAL("9", request.headers.find("X-Walnutlead-Request-Urgency")->c_str());
  STRCMP_EQUAL("5", request.headers.find("Last-Event-Id")->c_str());
}

TEST(DialectTest, aLimitOfAWorkerIsRead) {
  net::HeaderList headers;
  CHECK_FALSE(requests.readAnswer(200, headers).limit.has_value());
  headers.set("Server-Limit", "0.25");
  DOUBLES_EQUAL(0.25, *requests.readAnswer(200, headers).limit, 1e-9);
  headers.set("Server-Limit", "3");
  DOUBLES_EQUAL(3, *requests.readAnswer(503, headers).limit, 1e-9);
  headers.set("Server-Limit", "0");
  DOUBLES_EQUAL(0, *requests.readAnswer(421, headers).limit, 1e-9);
}

TEST(DialectTest, aLimitThatIsNoDecimalNumberIsRejectedNamingTheField) {
  const std::string long400(400, '9');
  for (const char* text : {"", "one", "-1", "+1", "nan", "inf", "infinity", "1e3", "1.2.3", ".",
                           "1,5", "0x10", "1 2", "1000001", long400.c_str()}) {
    net::HeaderList headers;
    headers.set("Server-Limit", text);
    const gateway::AnswerFacts facts = requests.readAnswer(200, headers);
    CHECK_FALSE_TEXT(facts.limit.has_value(), text);
    CHECK_TRUE_TEXT(facts.limitError.has_value(), text);
    STRCMP_EQUAL("Server-Limit", facts.limitError->field.c_str());
  }
}

TEST(DialectTest, severalLimitsInOneResponseAreIgnored) {
  net::HeaderList headers;
  headers.add("Server-Limit", "1");
  headers.add("server-limit", "5");
  const gateway::AnswerFacts facts = requests.readAnswer(200, headers);
  CHECK_FALSE(facts.limit.has_value());
  STRCMP_EQUAL("Server-Limit", facts.limitError->field.c_str());
}

TEST(DialectTest, notExecutedRequestsAreRecognized) {
  net::HeaderList headers;
  CHECK_FALSE(requests.readAnswer(503, headers).notExecuted);
  CHECK_TRUE(requests.readAnswer(421, headers).notExecuted);
  headers.add("X-Walnutlead-Not-Executed", "1");
  CHECK_TRUE(requests.readAnswer(503, headers).notExecuted);
}

namespace {

constexpr const char* kHeartbeat = R"({"service":"s1","address":"10.0.0.9:8080","zone":"z",
  "version":"v1","slots":64,"state":"ready","coldLeftMs":0,"seq":4,"born":1700000000123,
  "models":[{"name":"m1","version":1,"adapters":[]}]})";
constexpr const char* kTenants = R"("tenants":[{"name":"t1","apiKeys":["key-1","key-2"],
  "priority":1,"unit":"token_stream","plainTokens":200,"ratePerS":176241,"burst":7}],"services":)";

std::string withTenants(const std::string& tenants) {
  return replaced(kDocument, "\"services\":", tenants);
}

}  // namespace

TEST(DialectTest, tenantsAreRead) {
  const catalog::Document document = documents.read(withTenants(kTenants)).value();
  CHECK_TRUE(document.keyed);
  const catalog::Tenant& tenant = document.tenants.at(0);
  STRCMP_EQUAL("t1", tenant.name.c_str());
  CHECK_EQUAL(2, tenant.keys.size());
  CHECK_EQUAL(1, *tenant.priority);
  CHECK_TRUE(tenant.countsTokens);
  DOUBLES_EQUAL(176241, tenant.unitsPerSecond, 0.1);
  DOUBLES_EQUAL(7, tenant.burst, 0.1);
  DOUBLES_EQUAL(200, tenant.defaultTokens, 0.1);
  CHECK_FALSE(documents.read(kDocument).value().keyed);
  CHECK_TRUE(documents.read(withTenants("\"tenants\":[],\"services\":")).value().keyed);
  const std::string open = replaced(kDocument, "\"sticky\":true", "\"public\":true");
  CHECK_TRUE(documents.read(open).value().routes.at(0).open);
}

TEST(DialectTest, malformedTenantsNameTheFieldAndNoKey) {
  const std::pair<std::string, const char*> cases[] = {
      {replaced(kTenants, "\"name\":\"t1\",", ""), "tenants[0].name"},
      {replaced(kTenants, "\"key-2\"", "5"), "tenants[0].apiKeys[1]"},
      {replaced(kTenants, "token_stream", "bytes"), "tenants[0].unit"},
      {replaced(kTenants, "176241", "-1"), "tenants[0].ratePerS"},
      {replaced(kTenants, "\"priority\":1", "\"priority\":\"x\""), "tenants[0].priority"},
  };
  for (const auto& [tenants, field] : cases) {
    const auto outcome = documents.read(withTenants(tenants));
    CHECK_TRUE_TEXT(outcome.has_error(), field);
    STRCMP_EQUAL(field, outcome.error().field.c_str());
    CHECK_TRUE(outcome.error().detail.find("key-") == std::string::npos);
  }
}

/// Fields that the users' documentation reserves for the system are listed by their literal names.
TEST(DialectTest, systemFieldsFromCallersAreRemoved) {
  net::HttpRequest request;
  for (const char* name :
       {"X-Walnutlead-Hold", "X-Walnutlead-Pin-Ms", "X-Walnutlead-Kv-Backup", "Kv-From", "Kv-Fetch",
        "X-Walnutlead-Tenant", "X-Walnutlead-Credential", "X-Walnutlead-Target-Instance",
        "X-Walnutlead-Request-Urgency", "X-Walnutlead-Expect-Version", "x-walnutlead-credential"}) {
    request.headers.add(name, "v");
  }
  request.headers.add("X-Walnutlead-Length-Hint", "80");
  request.headers.add("X-Other", "v");
  requests.removeSystemFields(request);
  CHECK_EQUAL(2, request.headers.all().size());
}

TEST(DialectTest, aKeyAndBothTokenCountsAreRead) {
  net::HttpRequest request;
  request.headers.add("X-Walnutlead-Credential", "key-1");
  request.headers.add("X-Walnutlead-Token-Count", "1460,80");
  const gateway::RequestFacts facts = requests.readRequest(request);
  STRCMP_EQUAL("key-1", facts.key.c_str());
  CHECK_TRUE(facts.tellsTokens);
  CHECK_EQUAL(80, facts.mostTokens);
  gateway::AttemptFacts attempt;
  attempt.tenant = "t1";
  requests.writeAttempt(request, attempt);
  STRCMP_EQUAL("t1", request.headers.find("X-Walnutlead-Tenant")->c_str());
}

TEST(DialectTest, anIncarnationOfAWorkerIsRead) {
  const auto call = control.readCall(post("/v1/Instances.Heartbeat/i-7", kHeartbeat));
  const registry::WorkerRecord& record =
      std::get<registry::ReportAlive>(call.value()).heartbeat.worker;
  STRCMP_EQUAL("i-7", record.calledName().c_str());
  CHECK_TRUE(record.bornMillis == 1700000000123);
  CHECK_TRUE(record.id == registry::workerIdOf("i-7", 1700000000123));
  registry::SendOrder order;
  order.worker = record;
  STRCMP_EQUAL("i-7",
               workers.writeOrder(order).headers.find("X-Walnutlead-Target-Instance")->c_str());
}

TEST(DialectTest, malformedHeartbeatsNameTheField) {
  const std::pair<std::string, const char*> cases[] = {
      {replaced(kHeartbeat, "\"ready\"", "\"resting\""), "state"},
      {replaced(kHeartbeat, "\"slots\":64,", ""), "slots"},
      {replaced(kHeartbeat, "\"slots\":64", "\"slots\":\"many\""), "slots"},
      {replaced(kHeartbeat, "\"seq\":4,", ""), "seq"},
      {replaced(kHeartbeat, "1700000000123", "1.5"), "born"},
      {replaced(kHeartbeat, "1700000000123", "\"x\""), "born"},
      {replaced(kHeartbeat, "\"10.0.0.9:8080\"", "7"), "address"},
      {replaced(kHeartbeat, "\"zone\":\"z\",", ""), "zone"},
      {replaced(kHeartbeat, "\"name\":\"m1\"", "\"name\":1"), "models[0].name"},
      {std::string(kHeartbeat).substr(0, 40), "body"},
      {"\xff\xfe", "body"},
  };
  for (const auto& [body, field] : cases) {
    const auto call = control.readCall(post("/v1/Instances.Heartbeat/i-7", body));
    CHECK_TRUE_TEXT(call.has_error(), field);
    STRCMP_EQUAL(field, call.error().field.c_str());
  }
  for (const char* id : {"", "i#7", "i 7"}) {
    CHECK_TRUE(control.readCall(post(std::string("/v1/Instances.Heartbeat/") + id, kHeartbeat))
                   .has_error());
  }
}

/// Fuzz test: bytes are changed, removed and inserted at random places. No reader may crash, and
/// each accepted heartbeat names a usable worker.
TEST(DialectTest, randomlyCorruptedInputIsReadOrRejected) {
  std::uint64_t random = 1;
  const auto draw = [&random](std::size_t below) {
    constexpr std::uint64_t kMultiplier = 6364136223846793005U;
    random = random * kMultiplier + 1442695040888963407U;
    return static_cast<std::size_t>((random >> 33U) % below);
  };
  const std::string texts[] = {kHeartbeat, withTenants(kTenants),
                               R"({"models":[],"inFlight":false,"seq":2,"born":5})"};
  constexpr int kRounds = 3000;
  for (int round = 0; round < kRounds; ++round) {
    std::string text = texts[draw(3)];
    for (std::size_t change = 0; change <= draw(4); ++change) {
      const std::size_t place = draw(text.size());
      switch (draw(3)) {
        case 0:
          text[place] = static_cast<char>(draw(256));
          break;
        case 1:
          text.erase(place, 1 + draw(8));
          break;
        default:
          text.insert(place, 1, static_cast<char>(draw(256)));
          break;
      }
    }
    const auto call = control.readCall(post("/v1/Instances.Heartbeat/i-7", text));
    if (call) {
      const auto& alive = std::get<registry::ReportAlive>(call.value());
      CHECK_FALSE(alive.heartbeat.worker.id.value.empty());
      CHECK_TRUE(alive.heartbeat.worker.endpoint.port != 0);
    }
    (void)documents.read(text);
    net::HttpResponse response;
    response.head.status = 200;
    response.body = text;
    (void)workers.readReport(response);
  }
}
