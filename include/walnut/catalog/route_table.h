#pragma once
/// @file
/// Finds the route of a request.

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "walnut/catalog/document.h"

namespace walnut::catalog {

/// Index over the routes of one document, which it keeps alive.
class RouteTable {
 public:
  explicit RouteTable(std::shared_ptr<const Document> document);

  /// @param host as in the Host field; its port, if any, is passed over.
  /// @return the route of that host with the longest prefix of the path, or nullptr.
  const Route* find(std::string_view host, std::string_view path) const;

  const Document& document() const { return *document_; }

 private:
  std::shared_ptr<const Document> document_;
  /// Routes of a host by descending length of their prefixes.
  std::unordered_map<std::string, std::vector<const Route*>> byHost_;
};

}  // namespace walnut::catalog
