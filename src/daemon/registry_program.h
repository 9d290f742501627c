#pragma once
/// @file
/// `walnut-controller registry`.

#include "daemon/registry_host.h"

namespace walnut::daemon {

/// Runs until a planned stop. @return the exit code.
int runRegistry(int argc, char** argv, const RegistryDialects& dialects);

}  // namespace walnut::daemon
