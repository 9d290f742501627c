#include "walnut/catalog/document_delta.h"

#include <functional>
#include <map>
#include <set>
#include <utility>

namespace walnut::catalog {

namespace {

RouteKey routeKeyOf(const Route& route) { return {route.host, route.pathPrefix}; }

const std::string& serviceNameOf(const Service& service) { return service.name; }

const std::string& tenantNameOf(const Tenant& tenant) { return tenant.name; }

/// Compares two lists by key; appends new and changed items to `changed` and the keys of removed
/// items to `removed`.
template <class Key, class Item, class KeyOf>
void compare(const std::vector<Item>& from, const std::vector<Item>& to, KeyOf keyOf,
             std::vector<Item>& changed, std::vector<Key>& removed) {
  std::map<Key, const Item*> previous;
  for (const Item& item : from) {
    previous[keyOf(item)] = &item;
  }
  for (const Item& item : to) {
    const auto found = previous.find(keyOf(item));
    if (found == previous.end() || !(*found->second == item)) {
      changed.push_back(item);
    }
    if (found != previous.end()) {
      previous.erase(found);
    }
  }
  for (const auto& [key, item] : previous) {
    removed.push_back(key);
  }
}

/// @return the items of `from` that are neither changed nor removed, followed by the changed ones.
template <class Key, class Item, class KeyOf>
std::vector<Item> merge(const std::vector<Item>& from, KeyOf keyOf,
                        const std::vector<Item>& changed, const std::vector<Key>& removed) {
  std::set<Key> replaced(removed.begin(), removed.end());
  for (const Item& item : changed) {
    replaced.insert(keyOf(item));
  }
  std::vector<Item> merged;
  for (const Item& item : from) {
    if (replaced.count(keyOf(item)) == 0) {
      merged.push_back(item);
    }
  }
  merged.insert(merged.end(), changed.begin(), changed.end());
  return merged;
}

}  // namespace

DocumentDelta makeDelta(const Document& from, const Document& to) {
  DocumentDelta delta;
  delta.baseVersion = from.version;
  delta.version = to.version;
  compare(from.routes, to.routes, routeKeyOf, delta.changedRoutes, delta.removedRoutes);
  compare(from.services, to.services, serviceNameOf, delta.changedServices, delta.removedServices);
  compare(from.tenants, to.tenants, tenantNameOf, delta.changedTenants, delta.removedTenants);
  delta.keyed = to.keyed;
  delta.limits = to.limits;
  return delta;
}

base::Result<Document> applyDelta(const Document& base, const DocumentDelta& delta) {
  if (base.version != delta.baseVersion) {
    return base::Error{
        base::ErrorCode::outOfRange, "delta.baseVersion",
        std::to_string(delta.baseVersion) + "; held is " + std::to_string(base.version)};
  }
  Document next;
  next.version = delta.version;
  next.routes = merge(base.routes, routeKeyOf, delta.changedRoutes, delta.removedRoutes);
  next.services = merge(base.services, serviceNameOf, delta.changedServices, delta.removedServices);
  next.tenants = merge(base.tenants, tenantNameOf, delta.changedTenants, delta.removedTenants);
  next.keyed = delta.keyed;
  next.limits = delta.limits;
  return next;
}

}  // namespace walnut::catalog
