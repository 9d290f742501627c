#include "scale/synthetic_cell.h"

#include <algorithm>

namespace walnut::scale {

namespace {

constexpr std::size_t kZones = 7;
constexpr std::size_t kNumberDigits = 4;
constexpr std::uint64_t kGibibyte = 1ULL << 30U;
constexpr std::uint64_t kModelBytes = 16 * kGibibyte;
constexpr std::uint64_t kAdapterBytes = kGibibyte / 4;
constexpr std::uint64_t kAcceleratorBytes = 80 * kGibibyte;
constexpr std::uint32_t kMaxReplicas = 4096;
constexpr std::uint64_t kFirstReplica = 1000;
constexpr const char* kPoolName = "general";
constexpr const char* kBudgetName = "standard";
constexpr const char* kVersion = "2026-11-30";

std::string numbered(const std::string& prefix, std::size_t number) {
  std::string digits = std::to_string(number);
  digits.insert(0, kNumberDigits - std::min(kNumberDigits, digits.size()), '0');
  return prefix + digits;
}

std::string versionName(std::size_t model) { return modelName(model) + "-" + kVersion; }

std::size_t modelOfAdapter(const CellSize& size, std::size_t adapter) {
  return adapter % std::max<std::size_t>(size.models, 1);
}

}  // namespace

std::string modelName(std::size_t model) { return numbered("captions-base-", model); }
std::string adapterName(std::size_t adapter) { return numbered("tenant-adapter-", adapter); }
base::EngineId engineName(std::size_t engine) { return {numbered("worker-", engine)}; }
base::ZoneId zoneName(std::size_t zone) { return {"region-1-zone-" + std::to_string(zone)}; }

std::string targetName(const CellSize& size, std::size_t target) {
  return target < size.models ? modelName(target) : adapterName(target - size.models);
}

resource::Resource modelResource(std::size_t model) {
  resource::ModelSpec spec;
  spec.activeVersion = versionName(model);
  spec.pool = kPoolName;
  spec.budget = kBudgetName;
  spec.maxReplicas = kMaxReplicas;
  return {{resource::Kind::model, modelName(model)}, 1, spec};
}

resource::Resource modelVersionResource(std::size_t model) {
  const resource::ModelVersionSpec spec{modelName(model), "checkpoints/" + versionName(model),
                                        kModelBytes, kModelBytes};
  return {{resource::Kind::modelVersion, versionName(model)}, 1, spec};
}

resource::Resource adapterResource(const CellSize& size, std::size_t adapter) {
  const resource::AdapterSpec spec{modelName(modelOfAdapter(size, adapter)),
                                   "checkpoints/" + adapterName(adapter), kAdapterBytes,
                                   kAdapterBytes};
  return {{resource::Kind::adapter, adapterName(adapter)}, 1, spec};
}

resource::Engine engineRecord(std::size_t engine, const base::Endpoint& endpoint) {
  resource::Engine record;
  record.id = engineName(engine);
  record.endpoint = endpoint;
  record.zone = zoneName(engine % kZones);
  record.machineClass = "eight-accelerators";
  record.incarnation = {1 + engine};
  record.acceleratorBytes.assign(kAcceleratorsPerEngine, kAcceleratorBytes);
  return record;
}

resource::Replica replicaRecord(const CellSize& size, std::size_t replica) {
  const std::size_t accelerators = size.engines * kAcceleratorsPerEngine;
  const bool adapterReplica = replica >= accelerators && size.adapters > 0;
  std::size_t accelerator = replica % accelerators;
  std::size_t model = accelerator % size.models;
  std::string adapter;
  if (adapterReplica) {
    const std::size_t number = replica - accelerators;
    const std::size_t place =
        number / size.models % std::max<std::size_t>(accelerators / size.models, 1);
    adapter = adapterName(number % size.adapters);
    model = modelOfAdapter(size, number % size.adapters);
    accelerator = (model + size.models * place) % accelerators;
  }
  resource::Replica record;
  record.id = {kFirstReplica + replica};
  record.servable = {modelName(model), versionName(model), adapter};
  record.engine = engineName(accelerator % size.engines);
  record.incarnation = {1 + accelerator % size.engines};
  record.accelerator = {static_cast<std::uint32_t>(accelerator / size.engines)};
  record.bytes = adapterReplica ? kAdapterBytes : kModelBytes;
  record.state = resource::ReplicaState::ready;
  return record;
}

std::vector<resource::Resource> sharedResources() {
  resource::CapacityBudgetSpec budget;
  resource::EnginePoolSpec pool;
  return {{{resource::Kind::capacityBudget, kBudgetName}, 1, budget},
          {{resource::Kind::enginePool, kPoolName}, 1, pool}};
}

consensus::Membership membershipOf(const std::vector<base::Endpoint>& endpoints) {
  consensus::Membership membership;
  for (std::size_t number = 0; number < endpoints.size(); ++number) {
    consensus::Member member;
    member.id = {number + 1};
    member.role = consensus::MemberRole::voter;
    member.peerEndpoint = endpoints[number];
    member.resourceEndpoint = endpoints[number];
    member.zone = zoneName(number % kZones);
    membership.members.push_back(member);
  }
  return membership;
}

std::vector<protocol::Change> wholeState(const CellSize& size,
                                         const consensus::Membership& membership) {
  std::vector<protocol::Change> changes;
  changes.emplace_back(protocol::MembershipChanged{1, membership});
  for (std::size_t model = 0; model < size.models; ++model) {
    changes.emplace_back(protocol::ResourceChanged{modelResource(model)});
    changes.emplace_back(protocol::ResourceChanged{modelVersionResource(model)});
  }
  for (std::size_t adapter = 0; adapter < size.adapters; ++adapter) {
    changes.emplace_back(protocol::ResourceChanged{adapterResource(size, adapter)});
  }
  for (std::size_t engine = 0; engine < size.engines; ++engine) {
    changes.emplace_back(protocol::EngineChanged{engineRecord(engine, {"127.0.0.1", 9000})});
  }
  for (std::size_t replica = 0; replica < size.replicas; ++replica) {
    changes.emplace_back(protocol::ReplicaChanged{replicaRecord(size, replica)});
  }
  return changes;
}

std::vector<protocol::WatchSnapshotPage> pagesOf(const std::vector<protocol::Change>& changes,
                                                 consensus::LogIndex index,
                                                 std::size_t changesPerPage) {
  std::vector<protocol::WatchSnapshotPage> pages;
  std::size_t begin = 0;
  do {
    const std::size_t end = std::min(begin + changesPerPage, changes.size());
    protocol::WatchSnapshotPage page;
    page.index = index;
    page.page = static_cast<std::uint32_t>(pages.size());
    page.last = end == changes.size();
    page.changes.assign(changes.begin() + static_cast<std::ptrdiff_t>(begin),
                        changes.begin() + static_cast<std::ptrdiff_t>(end));
    pages.push_back(std::move(page));
    begin = end;
  } while (begin < changes.size());
  return pages;
}

}  // namespace walnut::scale
