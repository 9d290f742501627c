/// Tests of the lookup of a request's route.

#include "walnut/catalog/route_table.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::catalog;

namespace {

RouteTable tableOf(std::initializer_list<std::pair<const char*, const char*>> places) {
  auto document = std::make_shared<Document>();
  for (const auto& [host, prefix] : places) {
    Route route;
    route.name = std::string(host) + prefix;
    route.host = host;
    route.pathPrefix = prefix;
    document->routes.push_back(route);
  }
  return RouteTable(document);
}

}  // namespace

TEST_GROUP(RouteTableTest){};

TEST(RouteTableTest, theLongestPrefixOfTheHostWins) {
  const RouteTable table =
      tableOf({{"a.example", "/"}, {"a.example", "/x/"}, {"a.example", "/x/y/"}});
  STRCMP_EQUAL("a.example/x/y/", table.find("a.example", "/x/y/z")->name.c_str());
  STRCMP_EQUAL("a.example/x/", table.find("a.example", "/x/yy")->name.c_str());
  STRCMP_EQUAL("a.example/", table.find("a.example", "/xx")->name.c_str());
}

TEST(RouteTableTest, anotherHostHasNoRoute) {
  const RouteTable table = tableOf({{"a.example", "/x/"}});
  POINTERS_EQUAL(nullptr, table.find("b.example", "/x/"));
  POINTERS_EQUAL(nullptr, table.find("a.example", "/x"));
}

TEST(RouteTableTest, theHostIsComparedWithoutCaseAndPort) {
  const RouteTable table = tableOf({{"a.example", "/x/"}});
  CHECK(table.find("A.Example:8080", "/x/1") != nullptr);
}
