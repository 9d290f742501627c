#pragma once
/// @file
/// The machines of one run.

#include <memory>
#include <vector>

#include "simulator/controller_node.h"
#include "simulator/deployment.h"
#include "simulator/engine_node.h"
#include "simulator/platform_node.h"
#include "simulator/router_node.h"
#include "simulator/weight_store_node.h"

namespace walnut::simulator {

struct Fleet {
  Fleet(Environment& environment, const Deployment& deployment);

  void startAll();
  /// @return the controller that leads, as far as it knows itself; null: none.
  ControllerNode* leader() const;

  std::unique_ptr<PlatformNode> platform;
  std::unique_ptr<WeightStoreNode> store;
  std::vector<std::unique_ptr<ControllerNode>> controllers;
  std::vector<std::unique_ptr<RouterNode>> routers;
  std::vector<std::unique_ptr<EngineNode>> engines;

 private:
  void addControllers(Environment& environment, const Deployment& deployment);
  void addRouters(Environment& environment, const Deployment& deployment);
  void addEngines(Environment& environment, const Deployment& deployment);
};

/// @return the member that stands for a controller.
consensus::Member memberOf(const ControllerNode& controller, consensus::MemberRole role);

}  // namespace walnut::simulator
