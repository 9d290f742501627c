#include "simulator/platform_node.h"

namespace walnut::simulator {

namespace {
constexpr base::Duration kLookInterval = std::chrono::milliseconds(500);
}  // namespace

PlatformNode::PlatformNode(Environment& environment, const std::string& zone, base::Duration lag)
    : Process(environment.network, "platform", zone), environment_(environment), list_(lag) {}

void PlatformNode::add(const engine::PlatformMachine& machine) {
  list_.add(scheduler().now(), machine);
}

void PlatformNode::markLeaving(const base::EngineId& engine, base::TimePoint reclaimAt) {
  (void)list_.markLeaving(scheduler().now(), engine, reclaimAt);
}

void PlatformNode::remove(const base::EngineId& engine) {
  (void)list_.remove(scheduler().now(), engine);
}

void PlatformNode::setStalled(bool stalled) {
  stalled_.reset();
  if (stalled) {
    stalled_ = list_.list(scheduler().now());
  }
}

engine::PlatformList PlatformNode::serveList() const {
  return stalled_ ? *stalled_ : list_.list(scheduler().now());
}

void PlatformNode::lookForLeaving() {
  for (const engine::PlatformMachine& machine : serveList().machines) {
    if (machine.leaving && seenLeaving_.insert(machine.engine).second) {
      environment_.observe(LeavingVisible{machine.engine.value, LeavingSource::platformList});
    }
  }
  scheduler().after(kLookInterval, [this] { lookForLeaving(); });
}

}  // namespace walnut::simulator
