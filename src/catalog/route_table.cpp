#include "walnut/catalog/route_table.h"

#include <Poco/String.h>

#include <algorithm>
#include <utility>

namespace walnut::catalog {

RouteTable::RouteTable(std::shared_ptr<const Document> document) : document_(std::move(document)) {
  for (const Route& route : document_->routes) {
    byHost_[Poco::toLower(route.host)].push_back(&route);
  }
  for (auto& [host, routes] : byHost_) {
    std::stable_sort(routes.begin(), routes.end(), [](const Route* left, const Route* right) {
      return left->pathPrefix.size() > right->pathPrefix.size();
    });
  }
}

const Route* RouteTable::find(std::string_view host, std::string_view path) const {
  const std::string name = Poco::toLower(std::string(host.substr(0, host.find(':'))));
  const auto found = byHost_.find(name);
  if (found == byHost_.end()) {
    return nullptr;
  }
  for (const Route* route : found->second) {
    if (path.starts_with(route->pathPrefix)) {
      return route;
    }
  }
  return nullptr;
}

}  // namespace walnut::catalog
