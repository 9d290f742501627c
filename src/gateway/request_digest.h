#pragma once
/// @file
/// Digest that identifies a request when its caller sends it again, whatever the request id.

#include <string_view>

#include "walnut/net/http_message.h"
#include "walnut/registry/request_digest.h"

namespace walnut::gateway {

/// @param caller identifies the caller: a tenant, or another property that distinguishes callers;
/// never a key.
/// @return the digest of caller, method, path and body, which stays the same when the request is
/// sent again. Reads the whole body.
registry::RequestDigest digestOf(std::string_view caller, const net::HttpRequest& request);

}  // namespace walnut::gateway
