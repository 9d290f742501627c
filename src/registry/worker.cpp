#include "walnut/registry/worker.h"

#include <algorithm>

namespace walnut::registry {

WorkerId workerIdOf(const std::string& name, std::uint64_t bornMillis) {
  return {bornMillis == 0 ? name : name + "#" + std::to_string(bornMillis)};
}

const HeldModel* Holdings::find(const std::string& model) const {
  for (const HeldModel& held : models) {
    if (held.name == model) {
      return &held;
    }
  }
  return nullptr;
}

bool Holdings::holds(const std::string& model, const std::string& adapter) const {
  const HeldModel* held = find(model);
  if (held == nullptr) {
    return false;
  }
  return adapter.empty() ||
         std::find(held->adapters.begin(), held->adapters.end(), adapter) != held->adapters.end();
}

}  // namespace walnut::registry
