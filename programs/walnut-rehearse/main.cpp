/// @file
/// walnut-rehearse: the rehearsal kit. Dispatches to a subcommand.

#include <array>
#include <csignal>
#include <iostream>
#include <string_view>

#include "commands.h"
#include "walnut/runtime/settings.h"

namespace {

struct Command {
  std::string_view name;
  std::string_view summary;
  int (*run)(int argc, char** argv);
};

/// One row a subcommand, in the order of the help.
constexpr std::array kCommands = {
    Command{"engine", "stand-in engine", walnut::rehearsal::runEngine},
    Command{"store", "stand-in weight store", walnut::rehearsal::runStore},
    Command{"platform", "stand-in platform list", walnut::rehearsal::runPlatform},
    Command{"call", "stand-in caller: one call or a checked load run", walnut::rehearsal::runCall},
    Command{"scale", "measure what each role takes", walnut::rehearsal::runScale},
    Command{"bench", "what a router adds to a call", walnut::rehearsal::runBench},
    Command{"preset", "print what a fleet of a preset is made of", walnut::rehearsal::runPreset},
    Command{"free-ports", "print free loopback ports", walnut::rehearsal::runFreePorts},
    Command{"experiment", "cold starts against idle accelerator hours, over simulated days",
            walnut::rehearsal::runExperiment},
    Command{"fleet", "seeded runs of registry servers and gateways under virtual time",
            walnut::rehearsal::runFleet},
    Command{"serving", "seeded runs of gateways beside workers that fail, under virtual time",
            walnut::rehearsal::runServing},
    Command{"soak", "registry servers and gateways as real processes, under faults drawn by seed",
            walnut::rehearsal::runSoakCommand},
    Command{"simulate", "seeded runs of the whole system under virtual time",
            walnut::rehearsal::runSimulate},
};

void printUsage(std::ostream& output) {
  output << "Usage: walnut-rehearse COMMAND [flags]; COMMAND --help lists the flags.\n";
  for (const Command& command : kCommands) {
    output << "  " << command.name << "  " << command.summary << "\n";
  }
}

}  // namespace

int main(int argc, char** argv) {
  using walnut::runtime::ExitCode;
  // A connection that its peer has closed is an error of the write.
  std::signal(SIGPIPE, SIG_IGN);
  const std::string_view name = argc > 1 ? argv[1] : "";
  for (const Command& command : kCommands) {
    if (command.name == name) {
      return command.run(argc - 1, argv + 1);
    }
  }
  const bool helpAsked = name == "--help" || name == "help";
  printUsage(helpAsked ? std::cout : std::cerr);
  return static_cast<int>(helpAsked ? ExitCode::ok : ExitCode::usage);
}
