#pragma once
/// @file
/// What makes a declared document invalid.

#include "walnut/base/error.h"
#include "walnut/catalog/document.h"

namespace walnut::catalog {

/// @return an error that names the field, with the name of its route, service or tenant, if the
/// document must not be taken: a route without services or with one that is not declared, two
/// routes with one host and prefix, weights that add up to nothing, no time-out; a tenant without a
/// name, with that of another or with control characters in it, an empty key or one that two
/// tenants share. Names no key.
base::Result<void> validate(const Document& document);

}  // namespace walnut::catalog
