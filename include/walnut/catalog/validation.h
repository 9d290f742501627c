#pragma once
/// @file
/// Validation of declared documents.

#include "walnut/base/error.h"
#include "walnut/catalog/document.h"

namespace walnut::catalog {

/// Checks whether a document may be accepted. Rejects:
/// - a route without services, with an undeclared service, without a time-out, or whose weights add
///   up to 0; two routes with the same host and prefix;
/// - a tenant whose name is missing, used twice or contains control characters; an empty key, or a
///   key that two tenants share.
/// @return an error that names the field with its route, service or tenant, but never a key.
base::Result<void> validate(const Document& document);

}  // namespace walnut::catalog
