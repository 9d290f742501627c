/// @file
/// Subcommand preset: prints one part of a preset, for scripts.

#include "rehearsal/preset.h"

#include <iostream>

#include "commands.h"
#include "walnut/runtime/settings.h"

namespace walnut::rehearsal {

namespace {

std::vector<std::string> presetNames() {
  std::vector<std::string> names;
  for (const simulator::Deployment& deployment : simulator::deployments()) {
    names.push_back(deployment.name);
  }
  return names;
}

}  // namespace

int runPreset(int argc, char** argv) {
  std::string name = presetNames().front();
  std::string part = "fleet";
  runtime::Settings settings("walnut-rehearse preset", "Prints one part of a preset.");
  settings.addChoice("name", name, presetNames(), "preset");
  settings.addChoice("part", part, {"fleet", "resources", "targets"},
                     "processes to start; declarations for walnutctl; what callers may ask for");
  const runtime::Settings::Parsed parsed = settings.parse(argc, argv);
  if (parsed.exitNow) {
    return static_cast<int>(parsed.exitCode);
  }
  const simulator::Deployment& deployment = *simulator::findDeployment(name);
  if (part == "fleet") {
    std::cout << presetFleet(deployment);
  } else if (part == "resources") {
    std::cout << presetResources(deployment);
  } else {
    std::cout << formatTargets(presetTargets(deployment));
  }
  return static_cast<int>(runtime::ExitCode::ok);
}

}  // namespace walnut::rehearsal
