/// @file
/// What callers and an operator ask of a LocalCell.

#include <algorithm>
#include <cmath>
#include <utility>

#include "scale/local_cell.h"

namespace walnut::scale {

namespace {

constexpr double kMicrosPerSecond = 1e6;
/// The adapters of this model, and of as many after it as are needed, turn over: rarely used ones.
constexpr std::size_t kTurnoverModel = 109;
constexpr std::size_t kTurnoverAdapters = 34;  ///< At least; what one model has at the whole size.
constexpr const char* kTurnoverBudget = "turnover";
/// From the last use until the unload. With the answer and the unload it is less than a round of 34
/// adapters at the rate of the loads, 26.6 s.
constexpr std::uint32_t kIdleUnloadSeconds = 8;
/// At once; more than are ever under way.
constexpr std::uint32_t kMaxConcurrentLoads = 1000;

/// @return the first replica of an adapter, by its number.
std::size_t replicaOfAdapter(const CellSize& size, std::size_t adapter) {
  return size.engines * kAcceleratorsPerEngine + adapter;
}

}  // namespace

void LocalCell::carryOut(RouterNode&, routing::CallerRefused&) {
  traffic_.refused += counting_ ? 1U : 0U;
}

void LocalCell::put(const resource::Resource& resource) {
  const std::optional<std::size_t> to = leader();
  if (to) {
    const std::uint64_t call = nextCall_++;
    deliver(*to, control::ApiCall{call, control::PutResource{"operator-" + std::to_string(call),
                                                             std::nullopt, resource}});
  }
}

bool LocalCell::modelTurnsOver(std::size_t model) const {
  const CellSize& size = options_.size;
  const std::size_t perModel = std::max<std::size_t>(size.adapters / size.models, 1);
  const std::size_t models =
      std::min((kTurnoverAdapters + perModel - 1) / perModel, size.models - 1);
  return (model + size.models - kTurnoverModel % size.models) % size.models < models;
}

bool LocalCell::turnsOver(std::size_t target) const {
  const std::size_t models = options_.size.models;
  return target >= models && modelTurnsOver((target - models) % models);
}

void LocalCell::allowLoads(double perSecond) {
  for (resource::Resource resource : sharedResources()) {
    if (auto* pool = std::get_if<resource::EnginePoolSpec>(&resource.spec)) {
      pool->loadsPerSecond = perSecond;
      pool->maxConcurrentLoads = kMaxConcurrentLoads;
      put(resource);
    }
  }
}

void LocalCell::boundModels() {
  resource::CapacityBudgetSpec budget;
  budget.idleUnloadSeconds = kIdleUnloadSeconds;
  budget.coldStartWeight = 0;
  put({{resource::Kind::capacityBudget, kTurnoverBudget}, 1, budget});
  const std::size_t models = options_.size.models;
  const auto replicas =
      static_cast<std::uint32_t>(options_.size.engines * kAcceleratorsPerEngine / models);
  for (std::size_t number = 0; number < models; ++number) {
    resource::Resource model = modelResource(number);
    auto& spec = std::get<resource::ModelSpec>(model.spec);
    spec.maxReplicas = replicas + 1;
    if (modelTurnsOver(number)) {
      spec.budget = kTurnoverBudget;
      spec.minReplicas = replicas;
    }
    put(model);
  }
}

void LocalCell::prepareTurnover() {
  for (std::size_t adapter = 0; adapter < options_.size.adapters; ++adapter) {
    if (turnsOver(options_.size.models + adapter)) {
      turnover_.push_back(adapter);
      const std::size_t replica = replicaOfAdapter(options_.size, adapter);
      engines_.setIdle(replicaRecord(options_.size, replica).servable);
    }
  }
}

void LocalCell::scheduleTurnover() {
  const auto gap = static_cast<base::Duration::rep>(kMicrosPerSecond / options_.loadsPerSecond);
  after(base::Duration(gap), [this] {
    const std::size_t adapter = turnover_[turnedOver_++ % turnover_.size()];
    ask(random_.uniform(0, routers_.size() - 1), adapterName(adapter));
    scheduleTurnover();
  });
}

void LocalCell::scheduleChange() {
  const double seconds = -std::log(1 - random_.unit()) / options_.changesPerSecond;
  after(base::Duration(static_cast<base::Duration::rep>(seconds * kMicrosPerSecond)), [this] {
    traffic_.changes += counting_ ? 1U : 0U;
    put(adapterResource(options_.size, random_.uniform(0, options_.size.adapters - 1)));
    scheduleChange();
  });
}

void LocalCell::scheduleArrival(std::size_t router) {
  const double seconds = -std::log(1 - random_.unit()) / options_.requestsPerSecond;
  after(base::Duration(static_cast<base::Duration::rep>(seconds * kMicrosPerSecond)),
        [this, router] {
          std::size_t target = targets_.draw(random_);
          while (turnsOver(target)) {
            target = targets_.draw(random_);
          }
          ask(router, targetName(options_.size, target));
          scheduleArrival(router);
        });
}

void LocalCell::ask(std::size_t router, const std::string& target) {
  traffic_.requests += counting_ ? 1U : 0U;
  routing::CallerRequest request;
  request.request = {"caller-" + std::to_string(nextRequest_++)};
  request.target = target;
  request.prompt = "Write a caption for the photo.";
  request.maxTokens = 1;
  stepRouter(router, routing::CallerRequested{request});
}

}  // namespace walnut::scale
