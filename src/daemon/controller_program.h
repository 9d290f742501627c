#pragma once
/// @file
/// The walnut-controller process from its settings to its end.

#include "daemon/controller_settings.h"

namespace walnut::daemon {

/// `--init`: gives the data folder an identity and prints `server-id N`.
/// @return `storageFailed` if the folder is not empty or can't be written.
runtime::ExitCode initController(const ControllerSettings& settings);

/// Runs until the planned stop is done.
/// @return `storageFailed` if the data folder can't be used, `badSettings` if a pristine server is
/// told neither its cell nor to join one, `unavailable` if an address can't be bound, `failed` if
/// the stop timed out.
runtime::ExitCode runController(const ControllerSettings& settings);

}  // namespace walnut::daemon
