#pragma once
/// @file
/// Help texts of walnutctl.

#include <optional>
#include <string>

#include "cli/command_line.h"

namespace walnut::cli {

/// @return the help of the command, or of the program.
std::string helpText(std::optional<Command> command);

}  // namespace walnut::cli
