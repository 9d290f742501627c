/// @file
/// walnutctl: the operator's command line.

#include <csignal>
#include <cstdlib>
#include <iostream>

#include "cli/program.h"

int main(int argc, char** argv) {
  // A closed output or connection is an error of the write, not the end of the program.
  std::signal(SIGPIPE, SIG_IGN);
  const char* const controllers = std::getenv("WALNUT_CONTROLLERS");
  return static_cast<int>(walnut::cli::runProgram(argc, argv, controllers, std::cout, std::cerr));
}
