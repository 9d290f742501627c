#pragma once
/// @file
/// `walnutctl explain`: reads logs, asks no controller.

#include "cli/command_line.h"
#include "cli/console.h"

namespace walnut::cli {

/// The story of a request, or the account of what was lost, from the files that are named.
runtime::ExitCode runExplain(const Invocation& invocation, Console& console);

}  // namespace walnut::cli
