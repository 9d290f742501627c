#include "registry/worker_index.h"

namespace walnut::registry {

void WorkerIndex::set(const WorkerId& worker, const std::string& service,
                      const std::vector<HeldModel>& models) {
  std::set<std::string> names;
  for (const HeldModel& model : models) {
    names.insert(model.name);
    for (const std::string& adapter : model.adapters) {
      names.insert(adapterName(model.name, adapter));
    }
  }
  const auto found = entries_.find(worker);
  if (found != entries_.end() && found->second.service == service &&
      found->second.models == names) {
    return;
  }
  remove(worker);
  services_[service].insert(worker);
  for (const std::string& model : names) {
    models_[service][model].insert(worker);
  }
  entries_[worker] = {service, std::move(names)};
}

void WorkerIndex::remove(const WorkerId& worker) {
  const auto found = entries_.find(worker);
  if (found == entries_.end()) {
    return;
  }
  const Entry& entry = found->second;
  services_[entry.service].erase(worker);
  ByModel& models = models_[entry.service];
  for (const std::string& model : entry.models) {
    models[model].erase(worker);
    if (models[model].empty()) {
      models.erase(model);
    }
  }
  entries_.erase(found);
}

const std::set<std::string>& WorkerIndex::heldBy(const WorkerId& worker) const {
  static const std::set<std::string> kNothing;
  const auto found = entries_.find(worker);
  return found == entries_.end() ? kNothing : found->second.models;
}

const WorkerIndex::Workers& WorkerIndex::of(const std::string& service) const {
  static const Workers kNone;
  const auto found = services_.find(service);
  return found == services_.end() ? kNone : found->second;
}

const WorkerIndex::ByModel& WorkerIndex::models(const std::string& service) const {
  static const ByModel kNone;
  const auto found = models_.find(service);
  return found == models_.end() ? kNone : found->second;
}

const WorkerIndex::Workers& WorkerIndex::holding(const std::string& service,
                                                 const std::string& model) const {
  static const Workers kNone;
  const ByModel& all = models(service);
  const auto found = all.find(model);
  return found == all.end() ? kNone : found->second;
}

}  // namespace walnut::registry
