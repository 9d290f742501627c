#include "simulator/fleet_workers.h"

#include <algorithm>
#include <string>

#include "walnut/registry/registry.h"

namespace walnut::simulator {

namespace {

constexpr std::uint16_t kWorkerPort = 80;
constexpr std::uint32_t kSlots = 16;
constexpr std::size_t kAddressesPerSubnet = 250;
/// All models of a fleet; each worker holds one.
constexpr std::size_t kModels = 500;
/// As on the platform: a caller waits for a second, then calls another server.
constexpr base::Duration kPatience = std::chrono::seconds(1);
constexpr base::Duration kRefusedPause = std::chrono::milliseconds(100);
constexpr base::Duration kStartSpread = std::chrono::milliseconds(300);

}  // namespace

void FleetWorkers::start() {
  for (std::size_t index = 0; index < workers_.size(); ++index) {
    callIn(index, scheduler_.random().between(base::Duration::zero(), kStartSpread));
  }
}

void FleetWorkers::callIn(std::size_t index, base::Duration pause) {
  scheduler_.after(pause, [this, index] { call(index); });
}

registry::ReportAlive FleetWorkers::heartbeatOf(std::size_t index) const {
  registry::Heartbeat heartbeat;
  registry::WorkerRecord& record = heartbeat.worker;
  record.id = {"worker-" + std::to_string(index)};
  record.service = "service";
  record.endpoint = {"10.1." + std::to_string(index / kAddressesPerSubnet) + "." +
                         std::to_string(index % kAddressesPerSubnet),
                     kWorkerPort};
  record.zone = {"zone-" + std::to_string(index % zones_)};
  record.slots = kSlots;
  heartbeat.sequence = workers_[index].sequence;
  heartbeat.holdingsKnown = true;
  heartbeat.holdings.models = {{"model-" + std::to_string(index % kModels), 1, {}}};
  return {std::move(heartbeat)};
}

void FleetWorkers::call(std::size_t index) {
  Worker& worker = workers_[index];
  ++worker.sequence;
  ++calls_;
  const std::uint64_t number = call_(worker.home, heartbeatOf(index));
  worker.call = number;
  waiting_[number] = index;
  scheduler_.after(kPatience, [this, index, number] {
    waiting_.erase(number);
    if (workers_[index].call == number) {
      workers_[index].home.reset();
      call(index);
    }
  });
}

bool FleetWorkers::answered(std::uint64_t number, const registry::ControlAnswer& answer) {
  const auto found = waiting_.find(number);
  if (found == waiting_.end()) {
    return false;
  }
  const std::size_t index = found->second;
  waiting_.erase(found);
  Worker& worker = workers_[index];
  if (worker.call != number) {
    return true;
  }
  worker.call = 0;
  if (answer.status != registry::ControlStatus::done) {
    worker.home.reset();
    callIn(index, kRefusedPause);
    return true;
  }
  worker.acknowledgedAt = scheduler_.now();
  worker.home = answer.leader;
  const base::Duration interval = registry::RegistryOptions().heartbeatInterval;
  callIn(index, scheduler_.random().between(interval * 9 / 10, interval));
  return true;
}

std::size_t FleetWorkers::acknowledgedCount() const {
  const base::TimePoint since =
      scheduler_.now() - 2 * registry::RegistryOptions().heartbeatInterval;
  return static_cast<std::size_t>(
      std::count_if(workers_.begin(), workers_.end(), [since](const Worker& worker) {
        return worker.acknowledgedAt && *worker.acknowledgedAt >= since;
      }));
}

}  // namespace walnut::simulator
