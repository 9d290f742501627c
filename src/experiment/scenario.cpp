#include "experiment/scenario.h"

#include <algorithm>

#include "walnut/base/random.h"

namespace walnut::experiment {

namespace {

using resource::Kind;

constexpr std::uint64_t kGiB = 1ULL << 30U;
/// One stream of the store, below a local disk: the store is shared and far away.
constexpr std::uint64_t kStoreBytesPerSecond = kGiB;
constexpr std::uint64_t kDiskBytesPerSecond = 3 * kGiB;
/// Some four checkpoints; less than a tenth of what the deployment has.
constexpr std::uint64_t kDiskCacheBytes = 20 * kGiB;
/// One or two checkpoints.
constexpr std::uint64_t kHostCacheBytes = 10 * kGiB;
/// An answer is some ten chunks of tokens; single tokens would only cost running time.
constexpr base::Duration kChunkInterval = std::chrono::milliseconds(400);
/// Probability that a checkpoint is on a given local disk at first.
constexpr double kCachedAtFirst = 0.06;

void addEngines(const simulator::Deployment& deployment, base::Random& random, Scenario& scenario) {
  for (const simulator::EngineGroup& group : deployment.engines) {
    for (std::size_t number = 0; number < group.count; ++number) {
      ScenarioEngine engine;
      engine.machineClass = group.machineClass;
      engine.zone.value = deployment.zones[scenario.engines.size() % deployment.zones.size()];
      standin::EngineModelOptions& options = engine.options;
      options.id.value = group.machineClass + "-" + std::to_string(number);
      options.incarnation.value = 1;
      options.acceleratorBytes = group.acceleratorBytes;
      options.tokenInterval = kChunkInterval;
      options.maxQueued = 1024;
      options.localDiskBytesPerSecond = kDiskBytesPerSecond;
      options.diskCacheBytes = kDiskCacheBytes;
      options.hostCacheBytes = kHostCacheBytes;
      for (std::size_t model = 0; model < deployment.models; ++model) {
        if (random.chance(kCachedAtFirst)) {
          options.cachedOnDisk.push_back(simulator::modelVersion(model, 0).checkpoint);
        }
      }
      scenario.engines.push_back(std::move(engine));
    }
  }
}

void addTargets(const simulator::Deployment& deployment, Scenario& scenario) {
  scenario.models = deployment.models;
  for (std::size_t model = 0; model < deployment.models; ++model) {
    const resource::ModelVersionSpec version = simulator::modelVersion(model, 0);
    const std::string versionName = simulator::versionName(model, 0);
    scenario.targets.push_back({version.model,
                                "",
                                {version.model, versionName, ""},
                                version.checkpointBytes,
                                version.acceleratorBytes});
  }
  for (std::size_t adapter = 0; adapter < deployment.adapters; ++adapter) {
    const resource::AdapterSpec spec = simulator::initialAdapter(deployment, adapter);
    const Target& base = scenario.targets[adapter % deployment.models];
    const std::string name = simulator::adapterName(adapter);
    scenario.targets.push_back({spec.model,
                                name,
                                {spec.model, base.servable.version, name},
                                spec.checkpointBytes,
                                spec.acceleratorBytes});
  }
}

void addResources(const simulator::Deployment& deployment,
                  const resource::CapacityBudgetSpec& budget, Scenario& scenario) {
  for (resource::Resource& declared : simulator::initialResources(deployment)) {
    if (declared.key.kind == Kind::capacityBudget) {
      declared.spec = budget;
    }
    scenario.resources.push_back(std::move(declared));
  }
}

/// Muistikortti's three application engines, beside its language model workers.
simulator::Deployment muistikortti() {
  simulator::Deployment deployment = *simulator::findDeployment("muistikortti");
  deployment.engines.push_back({"application", 3, {48 * kGiB}});
  return deployment;
}

}  // namespace

const simulator::Deployment* findExperimentDeployment(const std::string& name) {
  static const simulator::Deployment kMuistikortti = muistikortti();
  return name == kMuistikortti.name ? &kMuistikortti : simulator::findDeployment(name);
}

Scenario makeScenario(const simulator::Deployment& deployment,
                      const resource::CapacityBudgetSpec& budget, std::uint64_t seed) {
  base::Random random(seed);
  Scenario scenario;
  scenario.name = deployment.name;
  scenario.routers = deployment.routers;
  scenario.store = deployment.store;
  scenario.store.bytesPerSecond = kStoreBytesPerSecond;
  addEngines(deployment, random, scenario);
  addTargets(deployment, scenario);
  addResources(deployment, budget, scenario);
  return scenario;
}

}  // namespace walnut::experiment
