#include "standin/platform.h"

namespace walnut::standin {

namespace {

base::Error unknownMachine(const base::EngineId& id) {
  return {base::ErrorCode::notFound, id.value, "no such machine"};
}

}  // namespace

void Platform::add(base::TimePoint now, const engine::PlatformMachine& machine) {
  machines_[machine.engine.value] = machine;
  record(now);
}

base::Result<void> Platform::markLeaving(base::TimePoint now, const base::EngineId& id,
                                         std::optional<base::TimePoint> reclaimAt) {
  const auto machine = machines_.find(id.value);
  if (machine == machines_.end()) {
    return unknownMachine(id);
  }
  machine->second.leaving = true;
  machine->second.reclaimAt = reclaimAt;
  record(now);
  return base::success();
}

base::Result<void> Platform::remove(base::TimePoint now, const base::EngineId& id) {
  if (machines_.erase(id.value) == 0) {
    return unknownMachine(id);
  }
  record(now);
  return base::success();
}

void Platform::record(base::TimePoint now) {
  history_.push_back({now, machines_});
  while (history_.size() > 1 && history_[1].since <= now - lag_) {
    history_.pop_front();
  }
}

engine::PlatformList Platform::toList(base::TimePoint asOf, const Machines& machines) {
  engine::PlatformList list;
  list.asOf = asOf;
  for (const auto& [name, machine] : machines) {
    const bool reclaimed = machine.reclaimAt && *machine.reclaimAt <= asOf;
    if (!reclaimed) {
      list.machines.push_back(machine);
    }
  }
  return list;
}

engine::PlatformList Platform::list(base::TimePoint now) const {
  const base::TimePoint asOf = now - lag_;
  const Machines* shown = nullptr;
  for (const Snapshot& snapshot : history_) {
    if (snapshot.since <= asOf) {
      shown = &snapshot.machines;
    }
  }
  return toList(asOf, shown == nullptr ? Machines{} : *shown);
}

engine::PlatformList Platform::current(base::TimePoint now) const { return toList(now, machines_); }

}  // namespace walnut::standin
