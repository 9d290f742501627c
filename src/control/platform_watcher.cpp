#include "control/platform_watcher.h"

#include <algorithm>

namespace walnut::control {

void PlatformWatcher::tick(base::TimePoint now) {
  if (now >= nextReadAt_) {
    nextReadAt_ = base::kNever;
    actions_.emplace_back(ReadPlatformList{});
  }
}

bool PlatformWatcher::listRead(base::TimePoint now, const PlatformListRead& read,
                               const std::map<base::EngineId, resource::Engine>& known) {
  nextReadAt_ = now + options_.platformListInterval;
  if (read.result.has_error()) {
    return false;
  }
  const engine::PlatformList& list = read.result.value();
  if (hasList_ && list.asOf <= asOf_) {
    return false;
  }
  hasList_ = true;
  asOf_ = list.asOf;
  machines_.clear();
  byEndpoint_.clear();
  for (const engine::PlatformMachine& machine : list.machines) {
    machines_[machine.engine] = machine;
    byEndpoint_[machine.endpoint] = machine.engine;
    absentSince_.erase(machine.engine);
  }
  for (const auto& [id, engine] : known) {
    if (!machines_.contains(id)) {
      absentSince_.try_emplace(id, asOf_);
    }
  }
  std::erase_if(absentSince_, [&](const auto& absent) { return !known.contains(absent.first); });
  return true;
}

const engine::PlatformMachine* PlatformWatcher::find(const base::EngineId& engine) const {
  const auto found = machines_.find(engine);
  return found == machines_.end() ? nullptr : &found->second;
}

bool PlatformWatcher::endpointTaken(const base::EngineId& engine,
                                    const base::Endpoint& endpoint) const {
  const auto found = byEndpoint_.find(endpoint);
  return found != byEndpoint_.end() && found->second != engine;
}

std::vector<base::EngineId> PlatformWatcher::goneMachines() const {
  std::vector<base::EngineId> gone;
  for (const auto& [engine, since] : absentSince_) {
    if (asOf_ >= since + options_.machineRemovalTimeout) {
      gone.push_back(engine);
    }
  }
  return gone;
}

}  // namespace walnut::control
