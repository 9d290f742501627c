#include "control/demand_table.h"

#include <algorithm>
#include <utility>

namespace walnut::control {

void DemandTable::put(base::RouterId router, RouterEntries& entries,
                      const protocol::Demand& demand) {
  const DemandTarget target{demand.model, demand.adapter, demand.version};
  const protocol::Demand previous = std::exchange(entries_[target][router], demand);
  entries.targets.insert(target);
  staleTargets_.insert(target);
  const bool isSignificant = previous.waitingInteractive != demand.waitingInteractive ||
                             previous.waitingBatch != demand.waitingBatch ||
                             (previous.running == 0) != (demand.running == 0);
  if (isSignificant) {
    changedModels_.insert(target.model);
  }
}

void DemandTable::remove(base::RouterId router, const DemandTarget& target) {
  const auto found = entries_.find(target);
  if (found == entries_.end()) {
    return;
  }
  found->second.erase(router);
  if (found->second.empty()) {
    entries_.erase(found);
  }
  staleTargets_.insert(target);
  changedModels_.insert(target.model);
}

bool DemandTable::applyReport(base::TimePoint now, const protocol::DemandReport& report) {
  RouterEntries& known = routers_[report.router];
  if (report.sequence <= known.sequence) {
    return false;
  }
  known.sequence = report.sequence;
  known.lastReportAt = now;
  const std::set<DemandTarget> previous =
      report.complete ? std::exchange(known.targets, {}) : std::set<DemandTarget>{};
  for (const protocol::Demand& demand : report.entries) {
    const bool waits = demand.waitingInteractive + demand.waitingBatch > 0;
    if (demand.version.empty() || waits) {
      put(report.router, known, demand);
      continue;
    }
    const DemandTarget ended{demand.model, demand.adapter, demand.version};
    known.targets.erase(ended);
    remove(report.router, ended);
  }
  for (const DemandTarget& target : previous) {
    if (!known.targets.contains(target)) {
      remove(report.router, target);
    }
  }
  return true;
}

void DemandTable::expire(base::TimePoint now) {
  for (auto router = routers_.begin(); router != routers_.end();) {
    if (now < router->second.lastReportAt + lifetime_) {
      ++router;
      continue;
    }
    for (const DemandTarget& target : router->second.targets) {
      remove(router->first, target);
    }
    router = routers_.erase(router);
  }
}

base::TimePoint DemandTable::nextExpiry() const {
  base::TimePoint next = base::kNever;
  for (const auto& [router, entries] : routers_) {
    next = std::min(next, entries.lastReportAt + lifetime_);
  }
  return next;
}

void DemandTable::refresh(const DemandTarget& target) {
  const auto found = entries_.find(target);
  if (found == entries_.end()) {
    totals_.erase(target);
    return;
  }
  TotalDemand total;
  for (const auto& [router, demand] : found->second) {
    total.waitingInteractive += demand.waitingInteractive;
    total.waitingBatch += demand.waitingBatch;
    total.running += demand.running;
    total.lastArrival = std::max(total.lastArrival, demand.lastArrival);
    if (demand.earliestDeadline) {
      total.earliestDeadline =
          std::min(total.earliestDeadline.value_or(base::kNever), *demand.earliestDeadline);
    }
  }
  totals_[target] = total;
}

const std::map<DemandTarget, TotalDemand>& DemandTable::totals() {
  for (const DemandTarget& target : std::exchange(staleTargets_, {})) {
    refresh(target);
  }
  return totals_;
}

}  // namespace walnut::control
