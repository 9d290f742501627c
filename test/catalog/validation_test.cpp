/// Tests that invalid documents with a single fault each are rejected, and valid ones accepted.

#include "walnut/catalog/validation.h"

#include <functional>

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::catalog;
using namespace std::chrono_literals;

namespace {

Document validDocument() {
  Document document;
  document.version = 1;
  document.services = {{"svc-a", "/health", 10, std::nullopt},
                       {"svc-b", "/health", 10, std::nullopt}};
  Route route;
  route.name = "route";
  route.host = "host.example";
  route.pathPrefix = "/a/";
  route.timeout = 1s;
  route.services = {{"svc-a", 1.0}};
  document.routes = {route};
  return document;
}

struct FaultCase {
  const char* name;
  std::function<void(Document&)> plant;
  base::ErrorCode code;
  const char* field;
};

}  // namespace

TEST_GROUP(ValidationTest){};

TEST(ValidationTest, aValidDocumentIsTaken) { CHECK_TRUE(validate(validDocument()).has_value()); }

TEST(ValidationTest, eachFaultIsRefusedWithItsField) {
  const FaultCase cases[] = {
      {"unknown service",
       [](Document& document) {
         document.routes[0].services = {{"none", 1}};
       },
       base::ErrorCode::referenceMissing, "routes[route].services"},
      {"no service", [](Document& document) { document.routes[0].services.clear(); },
       base::ErrorCode::missingField, "routes[route].services"},
      {"weights of 0",
       [](Document& document) {
         document.routes[0].services = {{"svc-a", 0}, {"svc-b", 0}};
       },
       base::ErrorCode::outOfRange, "routes[route].weight"},
      {"no time-out", [](Document& document) { document.routes[0].timeout = 0s; },
       base::ErrorCode::outOfRange, "routes[route].timeout"},
      {"no slash", [](Document& document) { document.routes[0].pathPrefix = "a/"; },
       base::ErrorCode::outOfRange, "routes[route].pathPrefix"},
      {"same place",
       [](Document& document) {
         document.routes.push_back(document.routes[0]);
         document.routes[1].name = "other";
       },
       base::ErrorCode::alreadyExists, "routes[other].pathPrefix"},
      {"service twice", [](Document& document) { document.services[1].name = "svc-a"; },
       base::ErrorCode::alreadyExists, "services[svc-a]"},
  };
  for (const FaultCase& fault : cases) {
    Document document = validDocument();
    fault.plant(document);
    const auto outcome = validate(document);
    CHECK_TRUE_TEXT(outcome.has_error(), fault.name);
    CHECK_TRUE_TEXT(outcome.error().code == fault.code, fault.name);
    STRCMP_EQUAL_TEXT(fault.field, outcome.error().field.c_str(), fault.name);
  }
}

TEST(ValidationTest, invalidTenantsNameTheFieldAndNoKey) {
  const FaultCase cases[] = {
      {"no name", [](Document& document) { document.tenants[0].name.clear(); },
       base::ErrorCode::missingField, "tenants[].name"},
      {"a name that ends a header field",
       [](Document& document) { document.tenants[0].name = "one\r\nOther: x"; },
       base::ErrorCode::outOfRange, "tenants[].name"},
      {"a name twice", [](Document& document) { document.tenants[1].name = "one"; },
       base::ErrorCode::alreadyExists, "tenants[one].name"},
      {"a shared key",
       [](Document& document) {
         document.tenants[1].keys = {"x", "secret"};
       },
       base::ErrorCode::alreadyExists, "tenants[two].keys"},
      {"an empty key", [](Document& document) { document.tenants[1].keys = {""}; },
       base::ErrorCode::outOfRange, "tenants[two].keys"},
      {"a rate below 0", [](Document& document) { document.tenants[0].unitsPerSecond = -1; },
       base::ErrorCode::outOfRange, "tenants[one].quota"},
  };
  Document valid = validDocument();
  valid.keyed = true;
  valid.tenants = {{"one", {"secret", "secret"}}, {"two", {}}};
  CHECK_TRUE(validate(valid).has_value());
  for (const FaultCase& fault : cases) {
    Document document = valid;
    fault.plant(document);
    const auto outcome = validate(document);
    CHECK_TRUE_TEXT(outcome.has_error(), fault.name);
    CHECK_TRUE_TEXT(outcome.error().code == fault.code, fault.name);
    STRCMP_EQUAL(fault.field, outcome.error().field.c_str());
    CHECK_TRUE(outcome.error().detail.find("secret") == std::string::npos);
  }
}

TEST(ValidationTest, adaptersAreNumberedFromOne) {
  ModelSpec model;
  model.adapters = 12;
  for (const char* name : {"", "a1", "a9", "a12"}) {
    CHECK_TRUE(model.hasAdapter(name));
  }
  for (const char* name : {"a", "a0", "a01", "a13", "b1", "a1x", "a-1", "1", "a99999999999"}) {
    CHECK_FALSE(model.hasAdapter(name));
  }
}
