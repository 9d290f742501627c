#pragma once
/// @file
/// Builders of services and workers for placement tests.

#include <initializer_list>

#include "registry/placement.h"

namespace walnut::registry::testing {

/// @return `engine` with added models of these names, which otherwise equal `model`.
inline catalog::EngineSpec withModels(catalog::EngineSpec engine, catalog::ModelSpec model,
                                      std::initializer_list<const char*> names) {
  for (const char* name : names) {
    model.name = name;
    engine.models.push_back(model);
  }
  return engine;
}

/// @return a worker that holds these models and may be ordered.
inline PlacementWorker workerWith(const char* id, std::initializer_list<const char*> models) {
  PlacementWorker worker;
  worker.id = {id};
  worker.canTakeOrders = true;
  for (const char* model : models) {
    worker.holdings.models.push_back({model, 1, {}});
  }
  return worker;
}

}  // namespace walnut::registry::testing
