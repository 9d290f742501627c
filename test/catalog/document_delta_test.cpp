/// Tests of making and applying deltas between documents.

#include "walnut/catalog/document_delta.h"

#include <algorithm>

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::catalog;

TEST_GROUP(DocumentDeltaTest) {
  static Route route(const char* prefix, const char* service) {
    Route made;
    made.name = std::string("route ") + prefix;
    made.host = "h";
    made.pathPrefix = prefix;
    made.services = {{service, 1}};
    return made;
  }
  static Document document(std::uint64_t version, std::vector<Route> routes,
                           std::vector<Service> services) {
    Document made;
    made.version = version;
    made.routes = std::move(routes);
    made.services = std::move(services);
    return made;
  }
  /// Sorts routes and services, so that documents compare equal whatever their order.
  static Document sorted(Document document) {
    std::sort(
        document.routes.begin(), document.routes.end(),
        [](const Route& left, const Route& right) { return left.pathPrefix < right.pathPrefix; });
    std::sort(document.services.begin(), document.services.end(),
              [](const Service& left, const Service& right) { return left.name < right.name; });
    return document;
  }

  const Document from = document(3, {route("/a/", "s"), route("/b/", "s"), route("/c/", "s")},
                                 {{"s", "/", 1, std::nullopt}, {"t", "/", 1, std::nullopt}});
};

TEST(DocumentDeltaTest, additionsChangesAndRemovalsMakeTheNewDocument) {
  Document to = document(8, {route("/d/", "u"), route("/a/", "s"), route("/b/", "u")},
                         {{"u", "/", 1, std::nullopt}, {"s", "/health", 2, std::nullopt}});
  to.limits.maxBodyBytes = 77;
  const DocumentDelta delta = makeDelta(from, to);
  CHECK_EQUAL(2, delta.changedRoutes.size());
  CHECK_EQUAL(1, delta.removedRoutes.size());
  const auto made = applyDelta(from, delta);
  CHECK_TRUE(made.has_value());
  CHECK_TRUE(sorted(made.value()) == sorted(to));
}

TEST(DocumentDeltaTest, unchangedItemsAreNotInTheDelta) {
  Document to = from;
  to.version = 4;
  const DocumentDelta delta = makeDelta(from, to);
  CHECK_TRUE(delta.changedRoutes.empty());
  CHECK_TRUE(delta.removedRoutes.empty());
  CHECK_TRUE(delta.changedServices.empty());
  CHECK_TRUE(delta.removedServices.empty());
  CHECK_TRUE(applyDelta(from, delta).value() == to);
}

TEST(DocumentDeltaTest, aDeltaForAnotherBaseVersionIsRejected) {
  DocumentDelta delta = makeDelta(from, from);
  delta.baseVersion = 2;
  const auto made = applyDelta(from, delta);
  CHECK_TRUE(made.has_error());
  CHECK_TRUE(made.error().code == base::ErrorCode::outOfRange);
}

TEST(DocumentDeltaTest, tenantChangesAreApplied) {
  Document earlier;
  earlier.version = 1;
  earlier.keyed = true;
  earlier.tenants = {{"one", {"a"}}, {"two", {"b"}}, {"three", {"c"}}};
  Document later = earlier;
  later.version = 2;
  later.tenants = {{"one", {"a"}}, {"two", {"d"}}};
  const DocumentDelta delta = makeDelta(earlier, later);
  CHECK_EQUAL(1, delta.changedTenants.size());
  CHECK_EQUAL(1, delta.removedTenants.size());
  const Document next = applyDelta(earlier, delta).value();
  CHECK_TRUE(next.keyed);
  CHECK_EQUAL(2, next.tenants.size());
  CHECK_TRUE(next.tenants.at(1).keys == std::vector<std::string>{"d"});
}
