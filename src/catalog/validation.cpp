#include "walnut/catalog/validation.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>
#include <map>
#include <set>
#include <string_view>
#include <system_error>
#include <utility>

namespace walnut::catalog {

namespace {

using base::Error;
using base::ErrorCode;
using base::Result;

Error invalid(ErrorCode code, const Route& route, const std::string& field,
              const std::string& detail) {
  return {code, "routes[" + route.name + "]." + field, detail};
}

Result<void> checkServices(const Route& route, const std::set<std::string>& declared) {
  if (route.services.empty()) {
    return invalid(ErrorCode::missingField, route, "services", "the route names no service");
  }
  double total = 0;
  for (const WeightedService& part : route.services) {
    if (declared.count(part.service) == 0) {
      return invalid(ErrorCode::referenceMissing, route, "services",
                     "there is no service '" + part.service + "'");
    }
    if (!std::isfinite(part.weight) || part.weight < 0) {
      return invalid(ErrorCode::outOfRange, route, "weight", "a weight is below 0");
    }
    total += part.weight;
  }
  if (total <= 0) {
    return invalid(ErrorCode::outOfRange, route, "weight", "the weights add up to 0");
  }
  return base::success();
}

Result<void> checkRoute(const Route& route, const std::set<std::string>& declared) {
  if (route.timeout <= base::Duration::zero()) {
    return invalid(ErrorCode::outOfRange, route, "timeout", "must be above 0");
  }
  if (route.pathPrefix.empty() || route.pathPrefix.front() != '/') {
    return invalid(ErrorCode::outOfRange, route, "pathPrefix", "must begin with a slash");
  }
  return checkServices(route, declared);
}

Error invalidTenant(ErrorCode code, const Tenant& tenant, const std::string& field,
                    const std::string& detail) {
  return {code, "tenants[" + tenant.name + "]." + field, detail};
}

bool isNonNegative(double value) { return std::isfinite(value) && value >= 0; }

/// Tenant names are sent to workers in a header field: a control character could end that field and
/// inject another one.
bool hasControlCharacter(const std::string& name) {
  return std::any_of(name.begin(), name.end(),
                     [](char sign) { return std::iscntrl(static_cast<unsigned char>(sign)) != 0; });
}

Result<void> checkTenant(const Tenant& tenant) {
  if (tenant.name.empty()) {
    return invalidTenant(ErrorCode::missingField, tenant, "name", "a tenant needs a name");
  }
  if (hasControlCharacter(tenant.name)) {
    return Error{ErrorCode::outOfRange, "tenants[].name", "a name has a control character"};
  }
  if (!isNonNegative(tenant.unitsPerSecond) || !isNonNegative(tenant.burst) ||
      !isNonNegative(tenant.defaultTokens)) {
    return invalidTenant(ErrorCode::outOfRange, tenant, "quota", "a figure is below 0");
  }
  for (const std::string& key : tenant.keys) {
    if (key.empty()) {
      return invalidTenant(ErrorCode::outOfRange, tenant, "keys", "a key is empty");
    }
  }
  return base::success();
}

/// A request is assigned to a tenant by its key alone, so no two tenants may share one.
Result<void> checkTenants(const Document& document) {
  std::set<std::string> names;
  std::map<std::string_view, std::string_view> owners;
  for (const Tenant& tenant : document.tenants) {
    BOOST_OUTCOME_TRYV(checkTenant(tenant));
    if (!names.insert(tenant.name).second) {
      return invalidTenant(ErrorCode::alreadyExists, tenant, "name",
                           "the tenant is declared twice");
    }
    for (const std::string& key : tenant.keys) {
      const auto [owner, added] = owners.try_emplace(key, tenant.name);
      if (!added && owner->second != tenant.name) {
        return invalidTenant(ErrorCode::alreadyExists, tenant, "keys",
                             "shares a key with tenant '" + std::string(owner->second) + "'");
      }
    }
  }
  return base::success();
}

}  // namespace

bool ModelSpec::hasAdapter(std::string_view adapter) const {
  if (adapter.empty()) {
    return true;
  }
  std::uint32_t number = 0;
  const char* const end = adapter.data() + adapter.size();
  const auto [last, error] = std::from_chars(adapter.data() + 1, end, number);
  const bool isName = adapter.front() == 'a' && error == std::errc() && last == end;
  return isName && adapter[1] != '0' && number <= adapters;
}

const ModelSpec* EngineSpec::findModel(std::string_view name) const {
  const auto found = std::find_if(models.begin(), models.end(),
                                  [name](const ModelSpec& model) { return model.name == name; });
  return found == models.end() ? nullptr : &*found;
}

const Service* Document::findService(const std::string& name) const {
  for (const Service& service : services) {
    if (service.name == name) {
      return &service;
    }
  }
  return nullptr;
}

Result<void> validate(const Document& document) {
  std::set<std::string> declared;
  for (const Service& service : document.services) {
    if (!declared.insert(service.name).second) {
      return Error{ErrorCode::alreadyExists, "services[" + service.name + "]",
                   "the service is declared twice"};
    }
  }
  std::set<std::pair<std::string, std::string>> routeKeys;
  for (const Route& route : document.routes) {
    BOOST_OUTCOME_TRYV(checkRoute(route, declared));
    if (!routeKeys.emplace(route.host, route.pathPrefix).second) {
      return invalid(ErrorCode::alreadyExists, route, "pathPrefix",
                     "another route has this host and prefix");
    }
  }
  return checkTenants(document);
}

}  // namespace walnut::catalog
