#pragma once
/// @file
/// The subcommands of walnutctl. Each reports its own errors.

#include "cli/command_line.h"
#include "cli/console.h"
#include "cli/controller_client.h"
#include "walnut/runtime/settings.h"

namespace walnut::cli {

runtime::ExitCode runApply(const Invocation& invocation, ControllerClient& client,
                           Console& console);
runtime::ExitCode runGet(const Invocation& invocation, ControllerClient& client, Console& console);
runtime::ExitCode runStatus(const Invocation& invocation, ControllerClient& client,
                            Console& console);
runtime::ExitCode runDelete(const Invocation& invocation, ControllerClient& client,
                            Console& console);
runtime::ExitCode runDrain(const Invocation& invocation, ControllerClient& client,
                           Console& console);
runtime::ExitCode runMember(const Invocation& invocation, ControllerClient& client,
                            Console& console);
/// Runs until the output is closed or no controller serves the watch.
runtime::ExitCode runWatch(const Invocation& invocation, ControllerClient& client,
                           Console& console);

/// Finds the kind named by an argument; reports `outOfRange` if there is none.
std::optional<resource::Kind> kindArgument(const std::string& name, Console& console);

}  // namespace walnut::cli
