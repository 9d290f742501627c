#pragma once
/// @file
/// walnutctl as a function, for the program and the tests.

#include <ostream>

#include "walnut/runtime/settings.h"

namespace walnut::cli {

/// @param environmentControllers value of WALNUT_CONTROLLERS, or null.
runtime::ExitCode runProgram(int argc, char** argv, const char* environmentControllers,
                             std::ostream& out, std::ostream& error);

}  // namespace walnut::cli
