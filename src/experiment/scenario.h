#pragma once
/// @file
/// What an experiment runs on: a deployment's engines, weight store, models and adapters.

#include <cstdint>
#include <string>
#include <vector>

#include "simulator/deployment.h"
#include "walnut/resource/types.h"
#include "walnut/standin/engine.h"

namespace walnut::experiment {

/// A model or an adapter over one, as callers name it.
struct Target {
  std::string model;
  std::string adapter;  ///< Empty: the model itself.
  resource::Servable servable;
  std::uint64_t checkpointBytes = 0;
  std::uint64_t acceleratorBytes = 0;
};

struct ScenarioEngine {
  base::ZoneId zone;
  std::string machineClass;
  standin::EngineModelOptions options;
};

struct Scenario {
  std::string name;
  std::size_t routers = 0;
  standin::WeightStoreOptions store;
  std::vector<ScenarioEngine> engines;
  std::vector<Target> targets;  ///< Models first, then adapters.
  std::size_t models = 0;
  std::vector<resource::Resource> resources;  ///< Each refers to earlier ones only.
};

/// The name of the budget that all models of a scenario name.
inline constexpr const char* kBudgetName = "budget";

/// @param seed draws which checkpoints are on which local disk at first: unevenly, some nowhere.
Scenario makeScenario(const simulator::Deployment& deployment,
                      const resource::CapacityBudgetSpec& budget, std::uint64_t seed);

/// @return the deployments that an experiment knows; null if there is none of that name.
const simulator::Deployment* findExperimentDeployment(const std::string& name);

}  // namespace walnut::experiment
