#include "rehearsal/preset.h"

#include <algorithm>

#include "engine/json_fields.h"
#include "http/resource_codec.h"

namespace walnut::rehearsal {

namespace {

constexpr std::uint64_t kGiB = 1ULL << 30U;
/// Checkpoints are cached unevenly: an engine has every third model's on its disk.
constexpr std::size_t kCachedStride = 3;

std::vector<std::string> checkpointsOnDisk(const simulator::Deployment& deployment,
                                           std::size_t engine) {
  std::vector<std::string> checkpoints;
  for (std::size_t model = engine % kCachedStride; model < deployment.models;
       model += kCachedStride) {
    checkpoints.push_back(simulator::modelVersion(model, 0).checkpoint);
  }
  return checkpoints;
}

std::string join(const std::vector<std::string>& parts) {
  std::string text;
  for (const std::string& part : parts) {
    text += text.empty() ? part : "," + part;
  }
  return text;
}

std::string engineLine(const PresetEngine& engine) {
  std::vector<std::string> accelerators;
  for (const std::uint64_t bytes : engine.acceleratorBytes) {
    accelerators.push_back(std::to_string(bytes / kGiB));
  }
  return "engine\t" + engine.id + "\t" + engine.zone + "\t" + engine.machineClass + "\t" +
         join(accelerators) + "\t" + join(engine.cachedOnDisk) + "\n";
}

}  // namespace

std::vector<PresetEngine> presetEngines(const simulator::Deployment& deployment) {
  std::vector<PresetEngine> engines;
  for (const simulator::EngineGroup& group : deployment.engines) {
    for (std::size_t member = 0; member < group.count; ++member) {
      const std::size_t index = engines.size();
      engines.push_back({"engine-" + std::to_string(index + 1),
                         deployment.zones[index % deployment.zones.size()], group.machineClass,
                         group.acceleratorBytes, checkpointsOnDisk(deployment, index)});
    }
  }
  return engines;
}

std::size_t presetRouters(const simulator::Deployment& deployment) {
  return std::max(deployment.routers, deployment.zones.size());
}

std::vector<Target> presetTargets(const simulator::Deployment& deployment) {
  std::vector<Target> targets;
  for (std::size_t model = 0; model < deployment.models; ++model) {
    const std::string name = simulator::modelName(model);
    targets.push_back({name, {{name, simulator::versionName(model, 0), ""}}});
  }
  for (std::size_t adapter = 0; adapter < deployment.adapters; ++adapter) {
    const std::size_t model = adapter % deployment.models;
    const std::string name = simulator::adapterName(adapter);
    targets.push_back(
        {name, {{simulator::modelName(model), simulator::versionName(model, 0), name}}});
  }
  return targets;
}

std::string presetResources(const simulator::Deployment& deployment) {
  std::string documents;
  for (const resource::Resource& declared : simulator::initialResources(deployment)) {
    const auto* model = std::get_if<resource::ModelSpec>(&declared.spec);
    if (model != nullptr && model->activeVersion.empty()) {
      continue;  // Its first step only; walnutctl finds the order itself.
    }
    Poco::JSON::Object document = http::encodeResource(declared);
    document.remove("version");
    documents += "---\n" + engine::stringifyJson(document) + "\n";
  }
  return documents;
}

std::string presetFleet(const simulator::Deployment& deployment) {
  std::string lines;
  for (const std::string& zone : deployment.zones) {
    lines += "zone\t" + zone + "\n";
  }
  lines += "routers\t" + std::to_string(presetRouters(deployment)) + "\n";
  lines += "store\t" + std::to_string(deployment.store.loadsPerSecond) + "\t" +
           std::to_string(deployment.store.fullSpeedStreams) + "\t" +
           std::to_string(static_cast<double>(deployment.store.bytesPerSecond) /
                          static_cast<double>(kGiB)) +
           "\n";
  for (const PresetEngine& engine : presetEngines(deployment)) {
    lines += engineLine(engine);
  }
  return lines;
}

}  // namespace walnut::rehearsal
