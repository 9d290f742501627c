#pragma once
/// @file
/// Tells a request that is sent again from others, whatever its id.

#include "walnut/gateway/dialect.h"
#include "walnut/registry/request_digest.h"

namespace walnut::gateway {

/// @return what the request is known by when it is sent again: its caller, method, path and body.
/// Reads the whole body.
registry::RequestDigest digestOf(const RequestDialect& dialect, const net::HttpRequest& request);

}  // namespace walnut::gateway
