#pragma once
/// @file
/// Index of workers by the models they serve.

#include <map>
#include <set>
#include <string>
#include <vector>

#include "walnut/registry/worker.h"

namespace walnut::registry {

/// Index of the workers that accept new requests, by service and model; used by the leader. A
/// change takes time in proportion to what one worker holds. An adapter has an entry of its own
/// beside its model, as MODEL/ADAPTER.
class WorkerIndex {
 public:
  using Workers = std::set<WorkerId>;
  using ByModel = std::map<std::string, Workers>;

  void set(const WorkerId& worker, const std::string& service,
           const std::vector<HeldModel>& models);
  void remove(const WorkerId& worker);

  const Workers& of(const std::string& service) const;
  /// @return the workers of a service by model; no set is empty.
  const ByModel& models(const std::string& service) const;
  const Workers& holding(const std::string& service, const std::string& model) const;
  /// @return the models and adapters that the worker holds.
  const std::set<std::string>& heldBy(const WorkerId& worker) const;
  static std::string adapterName(const std::string& model, const std::string& adapter) {
    return model + "/" + adapter;
  }

 private:
  struct Entry {
    std::string service;
    std::set<std::string> models;
  };

  std::map<WorkerId, Entry> entries_;
  std::map<std::string, Workers> services_;
  std::map<std::string, ByModel> models_;  ///< By service.
};

}  // namespace walnut::registry
