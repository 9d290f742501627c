#pragma once
/// @file
/// A deployment (simulator/deployment.h) as scripts start it with real processes.

#include <string>
#include <vector>

#include "rehearsal/target_list.h"
#include "simulator/deployment.h"

namespace walnut::rehearsal {

/// One engine process of a preset.
struct PresetEngine {
  std::string id;
  std::string zone;
  std::string machineClass;
  std::vector<std::uint64_t> acceleratorBytes;
  std::vector<std::string> cachedOnDisk;  ///< Every third model's checkpoint.
};

/// @return the engines, spread over the zones in turn.
std::vector<PresetEngine> presetEngines(const simulator::Deployment& deployment);

/// @return how many routers run: as many as the deployment says, but at least one in each zone.
std::size_t presetRouters(const simulator::Deployment& deployment);

/// @return the declared models and adapters and what answers them.
std::vector<Target> presetTargets(const simulator::Deployment& deployment);

/// @return the declarations as documents for `walnutctl apply -f`: one JSON object each, divided by
/// lines `---`. Each resource is declared once.
std::string presetResources(const simulator::Deployment& deployment);

/// @return lines `KIND TAB field TAB ...` for scripts:
///   zone NAME | routers COUNT | store LOADS_PER_SECOND FULL_SPEED_STREAMS GIB_PER_SECOND |
///   engine ID ZONE CLASS ACCELERATOR_GIB,... CHECKPOINT,...
std::string presetFleet(const simulator::Deployment& deployment);

}  // namespace walnut::rehearsal
