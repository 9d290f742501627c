#include "simulator/deployment.h"

#include <algorithm>
#include <cstdio>

namespace walnut::simulator {

namespace {

constexpr std::uint64_t kGiB = 1ULL << 30U;

/// For seeds by the thousand: small, but with more models than fit.
Deployment smallDeployment() {
  Deployment small;
  small.name = "small";
  small.zones = {"zone-a", "zone-b", "zone-c"};
  small.routers = 2;
  small.engines = {{"standard", 3, {16 * kGiB, 12 * kGiB}}};
  small.models = 7;
  small.adapters = 3;
  small.store = standin::WeightStoreOptions{2, 8, 2 * kGiB};
  small.requestsPerSecond = 2;
  small.writesPerSecond = 0.3;
  return small;
}

/// Sizes of today: 9 language model workers, 50 models, 60 adapters; the store allows 2 loads a
/// second, 8 at once at full speed.
Deployment muistikorttiDeployment() {
  Deployment deployment;
  deployment.name = "muistikortti";
  deployment.zones = {"helsinki-1", "helsinki-2", "helsinki-3"};
  deployment.routers = 6;
  deployment.engines = {{"standard", 9, {24 * kGiB, 24 * kGiB}}};
  deployment.models = 50;
  deployment.adapters = 60;
  deployment.store = standin::WeightStoreOptions{2, 8, 2 * kGiB};
  deployment.requestsPerSecond = 6;
  deployment.writesPerSecond = 0.5;
  return deployment;
}

/// Sizes of today: 12 caption and 4 gallery workers, 65 models, 75 adapters; the store allows 3
/// loads a second, 11 at once at full speed.
Deployment galleryDeployment() {
  Deployment deployment;
  deployment.name = "gallery";
  deployment.zones = {"brno", "olomouc", "zlin", "ostrava"};
  deployment.routers = 8;
  deployment.engines = {{"caption", 12, {24 * kGiB, 24 * kGiB}}, {"gallery", 4, {48 * kGiB}}};
  deployment.models = 65;
  deployment.adapters = 75;
  deployment.store = standin::WeightStoreOptions{3, 11, 2 * kGiB};
  deployment.requestsPerSecond = 6;
  deployment.writesPerSecond = 0.5;
  return deployment;
}

std::string numbered(const char* prefix, std::size_t number) {
  char buffer[48];
  std::snprintf(buffer, sizeof(buffer), "%s-%02zu", prefix, number);
  return buffer;
}

resource::Resource declare(resource::Kind kind, std::string name, resource::Spec spec) {
  resource::Resource declared;
  declared.key = resource::Key{kind, std::move(name)};
  declared.spec = std::move(spec);
  return declared;
}

}  // namespace

const std::vector<Deployment>& deployments() {
  static const std::vector<Deployment> kDeployments = {smallDeployment(), muistikorttiDeployment(),
                                                       galleryDeployment()};
  return kDeployments;
}

const Deployment* findDeployment(const std::string& name) {
  const auto& all = deployments();
  const auto found = std::find_if(all.begin(), all.end(), [&](const Deployment& deployment) {
    return deployment.name == name;
  });
  return found == all.end() ? nullptr : &*found;
}

std::string modelName(std::size_t model) { return numbered("model", model); }

std::string versionName(std::size_t model, std::size_t version) {
  return modelName(model) + "-v" + std::to_string(version + 1);
}

std::string adapterName(std::size_t adapter) { return numbered("adapter", adapter); }

std::string poolName(const Deployment& deployment, std::size_t model) {
  return "pool-" + deployment.engines[model % deployment.engines.size()].machineClass;
}

resource::ModelSpec initialModel(const Deployment& deployment, std::size_t model) {
  resource::ModelSpec spec;
  spec.activeVersion = versionName(model, 0);
  spec.pool = poolName(deployment, model);
  spec.budget = "budget";
  // The most popular models may have two.
  spec.maxReplicas = 2 - static_cast<std::uint32_t>(model % 2);
  return spec;
}

resource::ModelVersionSpec modelVersion(std::size_t model, std::size_t version) {
  resource::ModelVersionSpec spec;
  spec.model = modelName(model);
  spec.checkpoint = "weights/" + versionName(model, version);
  spec.checkpointBytes = (2 + (model * 3) % 7) * kGiB;
  spec.acceleratorBytes = spec.checkpointBytes + 2 * kGiB;
  return spec;
}

resource::AdapterSpec initialAdapter(const Deployment& deployment, std::size_t adapter) {
  resource::AdapterSpec spec;
  spec.model = modelName(adapter % deployment.models);
  spec.checkpoint = "weights/" + adapterName(adapter);
  spec.checkpointBytes = kGiB / 8;
  spec.acceleratorBytes = kGiB / 4;
  return spec;
}

std::vector<resource::Resource> initialResources(const Deployment& deployment) {
  using resource::Kind;
  std::vector<resource::Resource> declared;
  for (const EngineGroup& group : deployment.engines) {
    resource::EnginePoolSpec pool;
    pool.machineClass = group.machineClass;
    pool.maxConcurrentLoads = deployment.store.fullSpeedStreams;
    pool.loadsPerSecond = deployment.store.loadsPerSecond;
    declared.push_back(declare(Kind::enginePool, "pool-" + group.machineClass, pool));
  }
  resource::CapacityBudgetSpec budget;
  budget.idleUnloadSeconds = 30;
  declared.push_back(declare(Kind::capacityBudget, "budget", budget));
  for (std::size_t model = 0; model < deployment.models; ++model) {
    resource::ModelSpec spec = initialModel(deployment, model);
    spec.activeVersion.clear();
    declared.push_back(declare(Kind::model, modelName(model), spec));
    for (std::size_t version = 0; version < kVersionsOfModel; ++version) {
      declared.push_back(
          declare(Kind::modelVersion, versionName(model, version), modelVersion(model, version)));
    }
    declared.push_back(declare(Kind::model, modelName(model), initialModel(deployment, model)));
  }
  for (std::size_t adapter = 0; adapter < deployment.adapters; ++adapter) {
    declared.push_back(
        declare(Kind::adapter, adapterName(adapter), initialAdapter(deployment, adapter)));
  }
  return declared;
}

}  // namespace walnut::simulator
