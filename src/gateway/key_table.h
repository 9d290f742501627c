#pragma once
/// @file
/// Finds the tenant that an API key belongs to.

#include <memory>
#include <string_view>
#include <unordered_map>

#include "walnut/catalog/document.h"

namespace walnut::gateway {

/// Index of the keys of one document's tenants. It keeps the document alive.
class KeyTable {
 public:
  explicit KeyTable(std::shared_ptr<const catalog::Document> document)
      : document_(std::move(document)) {
    for (const catalog::Tenant& tenant : document_->tenants) {
      for (const std::string& key : tenant.keys) {
        tenants_.emplace(key, &tenant);
      }
    }
  }

  /// @return the tenant of the key, or nullptr if no tenant has it.
  const catalog::Tenant* find(std::string_view key) const {
    const auto found = tenants_.find(key);
    return found == tenants_.end() ? nullptr : found->second;
  }

 private:
  std::shared_ptr<const catalog::Document> document_;
  std::unordered_map<std::string_view, const catalog::Tenant*> tenants_;
};

}  // namespace walnut::gateway
