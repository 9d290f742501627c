/// @file
/// Subcommand scale: measures what each role takes, over sweeps of sizes.

#include <Poco/Exception.h>

#include <fstream>
#include <functional>
#include <iostream>
#include <string>
#include <utility>
#include <vector>

#include "commands.h"
#include "scale/cell_traffic.h"
#include "scale/control_traffic.h"
#include "scale/controller_logic.h"
#include "scale/data_folder_builder.h"
#include "scale/data_path.h"
#include "scale/fleet_run.h"
#include "scale/measurement.h"
#include "scale/message_sizes.h"
#include "scale/router_control.h"
#include "scale/router_logic.h"
#include "scale/router_memory.h"
#include "walnut/runtime/log.h"
#include "walnut/runtime/settings.h"

namespace walnut::rehearsal {

namespace {

using scale::Series;

constexpr std::int64_t kMaxCount = 100'000;
constexpr std::int64_t kMaxMillis = 600'000;
constexpr std::int64_t kMaxPort = 65535;

/// Flags of the subcommand.
struct ScaleSettings {
  std::string experiment = "message-sizes";
  std::string output;
  std::string table;
  std::string dataFolder;
  std::vector<std::string> members;
  std::vector<base::Endpoint> apis;
  std::vector<base::Endpoint> peers;
  std::vector<base::Endpoint> routers;
  std::vector<std::string> controllerProcesses;
  std::vector<std::string> routerProcesses;
  std::vector<std::string> sweep;
  std::int64_t platformPort = 0;
  std::int64_t models = 230;
  std::int64_t adapters = 0;
  std::int64_t engines = 0;
  std::int64_t replicas = 0;
  std::int64_t hollowRouters = 100;
  bool preloaded = false;
  base::Duration measured = std::chrono::seconds(8);
  base::Duration settle = std::chrono::seconds(4);
};

using Outcome = base::Result<std::vector<Series>>;

struct Experiment {
  std::string name;
  std::function<Outcome(const ScaleSettings&)> run;
};

scale::CellSize sizeOf(const ScaleSettings& settings) {
  return {static_cast<std::size_t>(settings.models), static_cast<std::size_t>(settings.adapters),
          static_cast<std::size_t>(settings.engines), static_cast<std::size_t>(settings.replicas),
          settings.peers.size()};
}

std::vector<scale::FleetProcess> processesOf(const std::vector<std::string>& processes,
                                             const std::vector<base::Endpoint>& apis) {
  std::vector<scale::FleetProcess> all;
  for (std::size_t number = 0; number < std::min(processes.size(), apis.size()); ++number) {
    all.push_back({static_cast<pid_t>(std::stol(processes[number])), apis[number]});
  }
  return all;
}

std::vector<double> sweepOf(const ScaleSettings& settings) {
  std::vector<double> sweep;
  for (const std::string& text : settings.sweep) {
    sweep.push_back(std::stod(text));
  }
  return sweep;
}

scale::Fleet fleetOf(const ScaleSettings& settings) {
  return {processesOf(settings.controllerProcesses, settings.apis),
          processesOf(settings.routerProcesses, settings.routers)};
}

scale::FleetRunOptions fleetRunOf(const ScaleSettings& settings) {
  scale::FleetRunOptions options;
  options.fleet = fleetOf(settings);
  options.peers = settings.peers;
  options.platformPort = static_cast<std::uint16_t>(settings.platformPort);
  options.size = sizeOf(settings);
  options.preloaded = settings.preloaded;
  options.routers = static_cast<std::size_t>(settings.hollowRouters);
  options.sweep = sweepOf(settings);
  options.measured = settings.measured;
  options.settle = settings.settle;
  return options;
}

using FleetSweep = std::vector<Series> (scale::FleetRun::*)();

Experiment fleetExperiment(const std::string& name, FleetSweep sweep) {
  return {name, [sweep](const ScaleSettings& settings) -> Outcome {
            scale::FleetRun run(fleetRunOf(settings));
            BOOST_OUTCOME_TRYV(run.prepare());
            return (run.*sweep)();
          }};
}

Outcome runDataPath(const ScaleSettings& settings) {
  scale::DataPathOptions options;
  options.fleet = fleetOf(settings);
  options.platformPort = static_cast<std::uint16_t>(settings.platformPort);
  options.engines = static_cast<std::size_t>(settings.engines);
  options.models = static_cast<std::size_t>(settings.models);
  options.sweep = sweepOf(settings);
  options.measured = settings.measured;
  options.settle = settings.settle;
  if (options.fleet.routers.empty()) {
    return base::Error{base::ErrorCode::missingField, "routers", "required"};
  }
  return scale::measureDataPath(options);
}

Outcome fillFolder(const ScaleSettings& settings) {
  BOOST_OUTCOME_TRYV(
      scale::fillDataFolder(settings.dataFolder, sizeOf(settings), settings.members));
  return std::vector<Series>();
}

std::vector<Experiment> experiments() {
  return {
      {"message-sizes", [](const auto&) -> Outcome { return scale::measureMessageSizes(); }},
      {"router-memory", [](const auto&) -> Outcome { return scale::measureRouterMemory(); }},
      {"router-logic", [](const auto&) -> Outcome { return scale::measureRouterLogic(); }},
      {"router-control", [](const auto&) -> Outcome { return scale::measureRouterControl(); }},
      {"controller-logic", [](const auto&) -> Outcome { return scale::measureControllerLogic(); }},
      {"control-traffic", [](const auto&) -> Outcome { return scale::measureControlTraffic(); }},
      {"cell-traffic",
       [](const ScaleSettings& settings) -> Outcome {
         return scale::measureCellTraffic(sweepOf(settings));
       }},
      fleetExperiment("fleet-engines", &scale::FleetRun::sweepEngines),
      fleetExperiment("fleet-routers", &scale::FleetRun::sweepRouters),
      fleetExperiment("fleet-changes", &scale::FleetRun::sweepChanges),
      fleetExperiment("fleet-load", &scale::FleetRun::sweepLoad),
      fleetExperiment("fleet-restart", &scale::FleetRun::sweepRestart),
      {"data-path", runDataPath},
      {"fill-data-folder", fillFolder},
  };
}

Outcome runExperiment(const ScaleSettings& chosen) {
  for (const Experiment& experiment : experiments()) {
    if (experiment.name != chosen.experiment) {
      continue;
    }
    try {
      return experiment.run(chosen);
    } catch (const Poco::Exception& exception) {
      return base::Error{base::ErrorCode::connectFailed, "listen", exception.displayText()};
    }
  }
  return base::Error{base::ErrorCode::notFound, "experiment", chosen.experiment};
}

void declareFleet(runtime::Settings& keys, ScaleSettings& chosen) {
  keys.addEndpointList("apis", chosen.apis, "resource APIs of the controllers");
  keys.addEndpointList("peers", chosen.peers, "peer addresses of the controllers");
  keys.addEndpointList("routers", chosen.routers, "caller APIs of the real routers");
  keys.addStringList("controller-processes", chosen.controllerProcesses, "process ids, as apis");
  keys.addStringList("router-processes", chosen.routerProcesses, "process ids, as routers");
  keys.addInteger("platform-port", chosen.platformPort, 0, kMaxPort,
                  "port of the hollow platform list, as the controllers were told");
  keys.addStringList("sweep", chosen.sweep, "values of what is swept");
  keys.addInteger("models", chosen.models, 1, kMaxCount, "models declared");
  keys.addInteger("adapters", chosen.adapters, 0, kMaxCount, "adapters declared");
  keys.addInteger("engines", chosen.engines, 0, kMaxCount, "hollow engines");
  keys.addInteger("replicas", chosen.replicas, 0, kMaxCount, "replicas of a filled data folder");
  keys.addInteger("hollow-routers", chosen.hollowRouters, 0, kMaxCount,
                  "hollow routers, where they are not swept");
  keys.addBoolean("preloaded", chosen.preloaded, "the data folders hold the state");
  keys.addMillis("measured-ms", chosen.measured, 100, kMaxMillis, "length of each point");
  keys.addMillis("settle-ms", chosen.settle, 0, kMaxMillis, "wait before each point");
}

/// Writes a file, or the standard output if no file is named.
bool write(const std::string& file, const std::string& text) {
  if (file.empty()) {
    std::cout << text;
    return true;
  }
  std::ofstream stream(file);
  stream << text;
  return stream.good();
}

int report(const ScaleSettings& chosen, std::vector<Series> series,
           const std::vector<std::string>& command) {
  scale::Measurement measurement = scale::makeMeasurement(chosen.experiment, command);
  measurement.series = std::move(series);
  bool written = write(chosen.output, scale::toJson(measurement));
  if (!chosen.table.empty()) {
    written = write(chosen.table, scale::toTable(measurement)) && written;
  }
  return static_cast<int>(written ? runtime::ExitCode::ok : runtime::ExitCode::failed);
}

}  // namespace

int runScale(int argc, char** argv) {
  ScaleSettings chosen;
  std::vector<std::string> names;
  for (const Experiment& experiment : experiments()) {
    names.push_back(experiment.name);
  }
  runtime::Settings settings("walnut-rehearse scale", "Measures what each role takes.");
  settings.addChoice("experiment", chosen.experiment, names, "what is measured");
  settings.addString("output", chosen.output, "file for the JSON; empty: standard output");
  settings.addString("table", chosen.table, "file for a Markdown table; empty: none");
  settings.addString("data-folder", chosen.dataFolder, "folder to fill");
  settings.addStringList("members", chosen.members, "as the controllers' initial-members");
  declareFleet(settings, chosen);
  const runtime::Settings::Parsed parsed = settings.parse(argc, argv);
  if (parsed.exitNow) {
    return static_cast<int>(parsed.exitCode);
  }
  std::vector<std::string> command{"walnut-rehearse"};
  command.insert(command.end(), argv, argv + argc);
  const Outcome outcome = runExperiment(chosen);
  if (outcome.has_error()) {
    std::cerr << "walnut-rehearse scale: " << base::errorCodeName(outcome.error().code) << ": "
              << outcome.error().field << ": " << outcome.error().detail << "\n";
    return static_cast<int>(runtime::ExitCode::failed);
  }
  return report(chosen, outcome.value(), command);
}

}  // namespace walnut::rehearsal
