#pragma once
/// @file
/// The walnut-router process from its settings to its end.

#include "daemon/router_settings.h"

namespace walnut::daemon {

/// Runs until the planned stop is done.
/// @return `unavailable` if the address can't be bound; `failed` if the stop timed out and requests
/// in flight were cut.
runtime::ExitCode runRouter(const RouterSettings& settings);

}  // namespace walnut::daemon
