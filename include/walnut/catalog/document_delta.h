#pragma once
/// @file
/// What differs between two documents, so that a change costs what it changes.

#include "walnut/base/error.h"
#include "walnut/catalog/document.h"

namespace walnut::catalog {

/// A route is known by its place: no two routes of a valid document share host and prefix.
struct RoutePlace {
  std::string host;
  std::string pathPrefix;
  auto operator<=>(const RoutePlace&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(host, pathPrefix);
  }
};

struct DocumentDelta {
  std::uint64_t baseVersion = 0;
  std::uint64_t version = 0;
  std::vector<Route> changedRoutes;  ///< Added ones too.
  std::vector<RoutePlace> removedRoutes;
  std::vector<Service> changedServices;  ///< Added ones too; each as a whole.
  std::vector<std::string> removedServices;
  std::vector<Tenant> changedTenants;  ///< Added ones too; each as a whole.
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

DocumentDelta makeDelta(const Document& from, const Document& to);

/// @return `base` with the changes of `delta`; its parts may stand in another order than in the
/// document that the delta was made for. `outOfRange` if the delta is for another base.
base::Result<Document> applyDelta(const Document& base, const DocumentDelta& delta);

}  // namespace walnut::catalog
