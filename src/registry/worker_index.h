#pragma once
/// @file
/// Which workers serve which models.

#include <map>
#include <set>
#include <string>
#include <vector>

#include "walnut/registry/worker.h"

namespace walnut::registry {

/// Kept by the leader of the workers that new requests may be sent to; a change takes time in
/// proportion to what one worker holds. An adapter stands beside its model, as MODEL/ADAPTER.
class WorkerIndex {
 public:
  using Workers = std::set<WorkerId>;
  using ByModel = std::map<std::string, Workers>;

  void set(const WorkerId& worker, const std::string& service,
           const std::vector<HeldModel>& models);
  void remove(const WorkerId& worker);

  const Workers& of(const std::string& service) const;
  /// @return by model; no set is empty.
  const ByModel& models(const std::string& service) const;
  const Workers& holding(const std::string& service, const std::string& model) const;
  /// @return what the worker holds.
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
