#pragma once
/// @file
/// Serves one watch of the resource API as newline-delimited JSON.

#include <optional>

#include "http/exchange.h"
#include "http/resource_api.h"

namespace walnut::http {

/// What a watch is about.
struct WatchScope {
  std::optional<resource::Kind> kind;  ///< Absent: all kinds.
  resource::Version from = 0;          ///< Changes after this version.
};

/// Streams until the peer is gone, the process stops, or an event carries an error. An error that
/// comes before any line has a status of its own; else it is the last line.
void streamWatch(Exchange& exchange, ResourceBackend& backend, const WatchScope& scope);

}  // namespace walnut::http
