#pragma once
/// @file
/// The platform's list of machines as a process of the simulation. The list is truthful, but lags.

#include <optional>
#include <set>
#include <string>

#include "simulator/environment.h"
#include "simulator/process.h"
#include "standin/platform.h"
#include "walnut/engine/messages.h"

namespace walnut::simulator {

class PlatformNode : public Process {
 public:
  PlatformNode(Environment& environment, const std::string& zone, base::Duration lag);

  void add(const engine::PlatformMachine& machine);
  /// The machine is to leave; `reclaimAt`: end of its grace.
  void markLeaving(const base::EngineId& engine, base::TimePoint reclaimAt);
  /// The machine is gone.
  void remove(const base::EngineId& engine);
  /// While stalled, the list stays as it is: a fault.
  void setStalled(bool stalled);

  engine::PlatformList serveList() const;

 protected:
  void onStart() override { lookForLeaving(); }
  void onKill() override {}

 private:
  /// Tells the oracle of machines that a reader of the list can see leaving.
  void lookForLeaving();

  Environment& environment_;
  standin::Platform list_;
  std::optional<engine::PlatformList> stalled_;
  std::set<base::EngineId> seenLeaving_;
};

}  // namespace walnut::simulator
