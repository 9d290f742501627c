#pragma once
/// @file
/// Lookup of the route that matches a request.

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "walnut/catalog/document.h"

namespace walnut::catalog {

/// Index of the routes of one document by host and path prefix. Shares ownership of the document.
class RouteTable {
 public:
  explicit RouteTable(std::shared_ptr<const Document> document);

  /// @param host value of the Host field; a port, if present, is ignored.
  /// @return the route of that host with the longest matching path prefix, or nullptr.
  const Route* find(std::string_view host, std::string_view path) const;

  const Document& document() const { return *document_; }

 private:
  std::shared_ptr<const Document> document_;
  /// Routes of each host, by descending length of their prefixes.
  std::unordered_map<std::string, std::vector<const Route*>> byHost_;
};

}  // namespace walnut::catalog
