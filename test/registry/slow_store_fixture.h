#pragma once
/// @file
/// Builders for tests of a weight store that is slower than the demand.

#include <initializer_list>

#include "registry/placement_fixture.h"

namespace walnut::registry::testing {

/// @return a service whose workers hold three models each, with a store of 1.5 loads per second, in
/// which each load takes 0.9 s from any source.
inline catalog::EngineSpec slowStoreEngine(std::initializer_list<const char*> models) {
  using std::chrono_literals::operator""ms;
  catalog::EngineSpec engine;
  engine.slots = 8;
  engine.weightsMegabytes = 30;
  engine.adapterSlots = 4;
  engine.storeLoadsPerSecond = 1.5;
  catalog::ModelSpec model;
  model.weightsMegabytes = 10;
  model.storeLoadTime = 900ms;
  model.diskLoadTime = 900ms;
  model.memoryLoadTime = 900ms;
  return withModels(engine, model, models);
}

/// @return a worker that holds these models in memory and on its disk.
inline PlacementWorker workerWithCopies(const char* id, std::initializer_list<const char*> models) {
  PlacementWorker worker = workerWith(id, models);
  worker.holdings.onDisk.assign(models.begin(), models.end());
  return worker;
}

/// @return a worker that is busy for that long and has the model on its disk.
inline PlacementWorker busyWorkerWithCopy(const char* model, base::Duration busyFor) {
  PlacementWorker worker = workerWith("busy", {});
  worker.holdings.onDisk = {model};
  worker.canTakeOrders = false;
  worker.loadingModel = "x";
  worker.remainingOrderTime = busyFor;
  return worker;
}

}  // namespace walnut::registry::testing
