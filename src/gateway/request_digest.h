#pragma once
/// @file
/// Tells a request that is sent again from others, whatever its id.

#include <string_view>

#include "walnut/net/http_message.h"
#include "walnut/registry/request_digest.h"

namespace walnut::gateway {

/// @param caller whose request it is: a tenant, or what else tells callers apart; never a key.
/// @return what the request is known by when it is sent again: its caller, method, path and body.
/// Reads the whole body.
registry::RequestDigest digestOf(std::string_view caller, const net::HttpRequest& request);

}  // namespace walnut::gateway
