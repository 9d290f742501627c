#include "registry/demand_book.h"

#include <utility>

namespace walnut::registry {

namespace {

/// Time for which the most urgent route to a model is remembered: a few time constants of the rate.
constexpr base::Duration kUrgencyMemory = std::chrono::seconds(20);
/// Time after which an unserved model is reported: most loads are over by then.
constexpr base::Duration kUnservedReportDelay = std::chrono::seconds(3);

template <class Key>
void subtractCount(std::map<Key, std::uint32_t>& totals, const Key& key, std::uint32_t count) {
  const auto found = totals.find(key);
  if (found == totals.end()) {
    return;
  }
  if (found->second <= count) {
    totals.erase(found);
  } else {
    found->second -= count;
  }
}

}  // namespace

void DemandBook::update(protocol::ConnectionId gateway, const DemandUpdate& update,
                        base::TimePoint now) {
  since_ = since_.value_or(now);
  Gateway reported;
  for (const ModelDemand& demand : update.demands) {
    const ModelKey key{demand.service, demand.model, demand.adapter};
    if (demand.waiting > 0) {
      reported.waiting[key] = demand.waiting;
    }
    count(key, demand, now);
    if (!key.adapter.empty()) {
      count(key.withoutAdapter(), demand, now);
    }
  }
  for (const WorkerLoad& load : update.loads) {
    if (load.running > 0) {
      reported.running[load.worker][load.model] = load.running;
    }
  }
  reported.unreachable = {update.unreachable.begin(), update.unreachable.end()};
  replace(gateway, std::move(reported));
}

void DemandBook::replace(protocol::ConnectionId gateway, Gateway reported) {
  Gateway& held = gateways_[gateway];
  subtract(held);
  add(reported);
  held = std::move(reported);
}

void DemandBook::updateVersions(protocol::ConnectionId gateway, const VersionDemand& demand) {
  if (demand.waits.empty()) {
    versionWaits_.erase(gateway);
  } else {
    versionWaits_[gateway] = demand.waits;
  }
}

std::map<std::string, std::uint32_t> DemandBook::versionsWaitedFor(const ModelKey& key) const {
  std::map<std::string, std::uint32_t> versions;
  for (const auto& [gateway, waits] : versionWaits_) {
    for (const VersionWait& wait : waits) {
      const bool isOfAdapter = key.adapter.empty() || wait.adapter == key.adapter;
      if (wait.service == key.service && wait.model == key.model && isOfAdapter) {
        versions[wait.version] += wait.waiting;
      }
    }
  }
  return versions;
}

void DemandBook::forget(protocol::ConnectionId gateway) {
  versionWaits_.erase(gateway);
  const auto found = gateways_.find(gateway);
  if (found != gateways_.end()) {
    subtract(found->second);
    gateways_.erase(found);
  }
}

void DemandBook::add(const Gateway& gateway) {
  for (const auto& [key, count] : gateway.waiting) {
    waiting_[key] += count;
    modelWaiting_[key.withoutAdapter()] += count;
  }
  for (const auto& [worker, models] : gateway.running) {
    for (const auto& [model, count] : models) {
      running_[worker][model] += count;
    }
  }
  for (const WorkerId& worker : gateway.unreachable) {
    ++unreachable_[worker];
  }
}

void DemandBook::subtract(const Gateway& gateway) {
  for (const auto& [key, count] : gateway.waiting) {
    subtractCount(waiting_, key, count);
    subtractCount(modelWaiting_, key.withoutAdapter(), count);
  }
  for (const auto& [worker, models] : gateway.running) {
    for (const auto& [model, count] : models) {
      subtractCount(running_[worker], model, count);
    }
    if (running_[worker].empty()) {
      running_.erase(worker);
    }
  }
  for (const WorkerId& worker : gateway.unreachable) {
    subtractCount(unreachable_, worker, 1);
  }
}

void DemandBook::count(const ModelKey& key, const ModelDemand& demand, base::TimePoint now) {
  if (demand.arrivals == 0 && demand.answered == 0 && demand.failed == 0) {
    return;
  }
  History& history = history_[key];
  updateUnserved(key, history, demand, now);
  history.answers.count(now, demand.answered);
  if (demand.arrivals == 0) {
    return;
  }
  history.arrivals.count(now, demand.arrivals);
  history.trend.count(now, demand.arrivals);
  history.lastArrival = now;
  updateUrgency(history, demand, now);
}

void DemandBook::updateUnserved(const ModelKey& key, History& history, const ModelDemand& demand,
                                base::TimePoint now) {
  const bool first = history.unservedSince == base::TimePoint();
  if (demand.answered > 0) {
    if (history.isReported) {
      answerChanges_.push_back(
          {key, true, now - history.unservedSince, history.requests, history.failed});
    }
    history.unservedSince = base::TimePoint();
    history.requests = 0;
    history.failed = 0;
    history.unservedRequests.clear();
    history.isReported = false;
    return;
  }
  history.unservedSince = first ? now : history.unservedSince;
  history.requests += demand.arrivals;
  if (demand.arrivals > 0) {
    history.unservedRequests.add(demand.arrivals, now);
  }
  history.failed += demand.failed;
  if (!history.isReported && now >= history.unservedSince + kUnservedReportDelay) {
    history.isReported = true;
    answerChanges_.push_back(
        {key, false, now - history.unservedSince, history.requests, history.failed});
  }
}

/// The most urgent of several routes to a model counts, until no request as urgent has come for
/// kUrgencyMemory.
void DemandBook::updateUrgency(History& history, const ModelDemand& demand, base::TimePoint now) {
  const bool isOutdated = now >= history.urgencyAt + kUrgencyMemory;
  if (isOutdated || demand.priority <= history.priority) {
    history.priority = demand.priority;
    history.urgencyAt = now;
  }
  if (isOutdated || demand.targetLatency <= history.targetLatency) {
    history.targetLatency = demand.targetLatency;
    history.urgencyAt = now;
  }
}

DemandFigures DemandBook::figures(const ModelKey& key, base::TimePoint now) const {
  DemandFigures figures;
  const auto& totals = key.adapter.empty() ? modelWaiting_ : waiting_;
  const auto waiting = totals.find(key);
  figures.waiting = waiting == totals.end() ? 0 : waiting->second;
  const auto found = history_.find(key);
  if (found != history_.end()) {
    figures.rate = found->second.arrivals.perSecond(now);
    figures.servedRate = found->second.answers.perSecond(now);
    figures.lastArrival = found->second.lastArrival;
    figures.priority = found->second.priority;
    figures.targetLatency = found->second.targetLatency;
    const base::TimePoint since = found->second.unservedSince;
    figures.unservedRequests = found->second.unservedRequests.count(now);
    figures.unservedTime = since == base::TimePoint() ? base::Duration::zero() : now - since;
  }
  return figures;
}

double DemandBook::growth(const ModelKey& key, base::Duration ahead, base::TimePoint now) const {
  const auto found = history_.find(key);
  return found == history_.end() || !since_ ? 1 : found->second.trend.growth(now, ahead, *since_);
}

double DemandBook::adapterRate(const std::string& service, const std::string& model,
                               base::TimePoint now) const {
  double rate = 0;
  for (auto entry = history_.lower_bound({service, model, {}});
       entry != history_.end() && entry->first.service == service && entry->first.model == model;
       ++entry) {
    if (!entry->first.adapter.empty()) {
      rate += entry->second.arrivals.perSecond(now);
    }
  }
  return rate;
}

std::uint32_t DemandBook::running(const WorkerId& worker) const {
  const auto found = running_.find(worker);
  std::uint32_t total = 0;
  if (found != running_.end()) {
    for (const auto& [model, count] : found->second) {
      total += count;
    }
  }
  return total;
}

std::uint32_t DemandBook::running(const WorkerId& worker, const std::string& model) const {
  const auto found = running_.find(worker);
  if (found == running_.end()) {
    return 0;
  }
  const auto count = found->second.find(model);
  return count == found->second.end() ? 0 : count->second;
}

double DemandBook::serviceRate(const std::string& service, base::TimePoint now) const {
  double rate = 0;
  for (auto entry = history_.lower_bound({service, {}, {}});
       entry != history_.end() && entry->first.service == service; ++entry) {
    rate += entry->first.adapter.empty() ? entry->second.arrivals.perSecond(now) : 0;
  }
  return rate;
}

std::vector<ModelKey> DemandBook::requestedSince(const std::string& service,
                                                 base::TimePoint since) const {
  std::vector<ModelKey> keys;
  for (auto entry = history_.lower_bound({service, {}, {}});
       entry != history_.end() && entry->first.service == service; ++entry) {
    if (entry->second.lastArrival >= since) {
      keys.push_back(entry->first);
    }
  }
  return keys;
}

std::vector<WorkerLoad> DemandBook::loads() const {
  std::vector<WorkerLoad> loads;
  for (const auto& [worker, models] : running_) {
    loads.push_back({worker, {}, running(worker)});
  }
  return loads;
}

}  // namespace walnut::registry
