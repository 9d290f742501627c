#pragma once
/// @file
/// The difference between two documents. Sending it instead of the whole document makes the cost of
/// a change proportional to its size.

#include "walnut/base/error.h"
#include "walnut/catalog/document.h"

namespace walnut::catalog {

/// Key of a route: no two routes of a valid document share both host and path prefix.
struct RouteKey {
  std::string host;
  std::string pathPrefix;
  auto operator<=>(const RouteKey&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(host, pathPrefix);
  }
};

/// The changes that turn one version of a document into another.
struct DocumentDelta {
  std::uint64_t baseVersion = 0;
  std::uint64_t version = 0;
  std::vector<Route> changedRoutes;  ///< Includes added routes.
  std::vector<RouteKey> removedRoutes;
  std::vector<Service> changedServices;  ///< Includes added services; each is sent whole.
  std::vector<std::string> removedServices;
  std::vector<Tenant> changedTenants;  ///< Includes added tenants; each is sent whole.
  std::vector<std::string> removedTenants;
  bool keyed = false;
  RequestLimits limits;

  bool operator==(const DocumentDelta&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(baseVersion, version, changedRoutes, removedRoutes, changedServices, removedServices,
            changedTenants, removedTenants, keyed, limits);
  }
};

/// @return the delta that turns `from` into `to`.
DocumentDelta makeDelta(const Document& from, const Document& to);

/// @return `base` with the changes of `delta` applied; routes, services and tenants may be in a
/// different order than in the document that the delta was made from. `outOfRange` if the delta was
/// made for another base version.
base::Result<Document> applyDelta(const Document& base, const DocumentDelta& delta);

}  // namespace walnut::catalog
