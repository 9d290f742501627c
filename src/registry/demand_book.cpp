#include "registry/demand_book.h"

#include <algorithm>
#include <cmath>

namespace walnut::registry {

namespace {

/// Time constant of the mean arrival rate, in seconds: shorter than the time in which demand moves
/// from one model to another.
constexpr double kRateSeconds = 8.0;

double decayed(double weight, base::Duration age) {
  return weight * std::exp(-std::chrono::duration<double>(age).count() / kRateSeconds);
}

}  // namespace

void DemandBook::update(protocol::ConnectionId gateway, const DemandUpdate& update,
                        base::TimePoint now) {
  Gateway& reported = gateways_[gateway];
  reported.waiting.clear();
  reported.running.clear();
  reported.unreachable = {update.unreachable.begin(), update.unreachable.end()};
  for (const ModelDemand& demand : update.demands) {
    const ModelKey key{demand.service, demand.model, demand.adapter};
    if (demand.waiting > 0) {
      reported.waiting[key] = demand.waiting;
    }
    count(key, demand.arrivals, now);
    if (!key.adapter.empty()) {
      count(key.withoutAdapter(), demand.arrivals, now);
    }
  }
  for (const WorkerLoad& load : update.loads) {
    reported.running[load.worker][load.model] = load.running;
  }
}

void DemandBook::count(const ModelKey& key, std::uint32_t arrivals, base::TimePoint now) {
  if (arrivals == 0) {
    return;
  }
  History& history = history_[key];
  history.weight = decayed(history.weight, now - history.updatedAt) + arrivals;
  history.updatedAt = now;
  history.lastArrival = now;
}

void DemandBook::forget(protocol::ConnectionId gateway) { gateways_.erase(gateway); }

DemandFigures DemandBook::figures(const ModelKey& key, base::TimePoint now) const {
  DemandFigures figures;
  for (const auto& [gateway, reported] : gateways_) {
    for (const auto& [wanted, count] : reported.waiting) {
      if (wanted == key || (key.adapter.empty() && wanted.withoutAdapter() == key)) {
        figures.waiting += count;
      }
    }
  }
  const auto found = history_.find(key);
  if (found != history_.end()) {
    figures.rate = decayed(found->second.weight, now - found->second.updatedAt) / kRateSeconds;
    figures.lastArrival = found->second.lastArrival;
  }
  return figures;
}

double DemandBook::adapterRate(const std::string& service, const std::string& model,
                               base::TimePoint now) const {
  double rate = 0;
  for (auto entry = history_.lower_bound({service, model, {}});
       entry != history_.end() && entry->first.service == service && entry->first.model == model;
       ++entry) {
    if (!entry->first.adapter.empty()) {
      rate += decayed(entry->second.weight, now - entry->second.updatedAt) / kRateSeconds;
    }
  }
  return rate;
}

std::uint32_t DemandBook::running(const WorkerId& worker) const {
  std::uint32_t total = 0;
  for (const auto& [gateway, reported] : gateways_) {
    const auto found = reported.running.find(worker);
    if (found != reported.running.end()) {
      for (const auto& [model, count] : found->second) {
        total += count;
      }
    }
  }
  return total;
}

std::uint32_t DemandBook::running(const WorkerId& worker, const std::string& model) const {
  std::uint32_t total = 0;
  for (const auto& [gateway, reported] : gateways_) {
    const auto found = reported.running.find(worker);
    if (found != reported.running.end()) {
      const auto count = found->second.find(model);
      total += count == found->second.end() ? 0 : count->second;
    }
  }
  return total;
}

bool DemandBook::unreachable(const WorkerId& worker) const {
  return std::any_of(gateways_.begin(), gateways_.end(), [&worker](const auto& entry) {
    return entry.second.unreachable.count(worker) != 0;
  });
}

std::vector<WorkerLoad> DemandBook::loads() const {
  std::map<WorkerId, std::uint32_t> totals;
  for (const auto& [gateway, reported] : gateways_) {
    for (const auto& [worker, models] : reported.running) {
      for (const auto& [model, count] : models) {
        totals[worker] += count;
      }
    }
  }
  std::vector<WorkerLoad> loads;
  for (const auto& [worker, count] : totals) {
    loads.push_back({worker, {}, count});
  }
  return loads;
}

std::map<ModelKey, std::uint32_t> DemandBook::waiting() const {
  std::map<ModelKey, std::uint32_t> all;
  for (const auto& [gateway, reported] : gateways_) {
    for (const auto& [key, count] : reported.waiting) {
      all[key] += count;
    }
  }
  return all;
}

std::vector<ModelKey> DemandBook::recentModels() const {
  std::vector<ModelKey> models;
  for (const auto& [key, history] : history_) {
    if (key.adapter.empty()) {
      models.push_back(key);
    }
  }
  return models;
}

}  // namespace walnut::registry
