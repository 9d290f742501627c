#pragma once
/// @file
/// Deployments that are simulated: machines, zones, and the models that operators declare there.

#include <cstdint>
#include <string>
#include <vector>

#include "standin/weight_store.h"
#include "walnut/resource/types.h"

namespace walnut::simulator {

struct EngineGroup {
  std::string machineClass;
  std::size_t count = 0;
  std::vector<std::uint64_t> acceleratorBytes;  ///< Of each engine.
};

struct Deployment {
  std::string name;
  std::vector<std::string> zones;
  std::size_t controllers = 3;
  std::size_t routers = 0;
  std::vector<EngineGroup> engines;
  std::size_t models = 0;
  std::size_t adapters = 0;
  standin::WeightStoreOptions store;
  double requestsPerSecond = 0;
  double writesPerSecond = 0;
};

/// @return all deployments; the first is the default.
const std::vector<Deployment>& deployments();
/// @return the deployment of that name, or null.
const Deployment* findDeployment(const std::string& name);

/// @name What operators declare at first; names are functions of the index.
/// @{
std::string modelName(std::size_t model);
std::string versionName(std::size_t model, std::size_t version);
std::string adapterName(std::size_t adapter);
std::string poolName(const Deployment& deployment, std::size_t model);

/// Number of versions of each model.
inline constexpr std::size_t kVersionsOfModel = 2;

resource::ModelSpec initialModel(const Deployment& deployment, std::size_t model);
resource::ModelVersionSpec modelVersion(std::size_t model, std::size_t version);
resource::AdapterSpec initialAdapter(const Deployment& deployment, std::size_t adapter);

/// @return the declarations in an order in which each reference is to an earlier one. Models come
/// twice: first without an active version, because versions refer to models.
std::vector<resource::Resource> initialResources(const Deployment& deployment);
/// @}

}  // namespace walnut::simulator
