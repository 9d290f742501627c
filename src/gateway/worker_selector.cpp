#include "gateway/worker_selector.h"

#include <algorithm>
#include <limits>

namespace walnut::gateway {

namespace {

constexpr std::size_t kMaxPrompts = 4096;
/// Number of leading prompt parts that decide the affinity: later parts are specific to one
/// request.
constexpr std::size_t kSharedParts = 2;
/// Expected time at a worker with all slots taken, as a multiple of that at an idle one.
constexpr double kFullFactor = 4.0;
constexpr double kOtherZoneFactor = 1.12;
constexpr double kKnownPromptFactor = 0.85;
constexpr double kNewConnectionFactor = 1.2;
constexpr double kFailureFactor = 6.0;
constexpr double kUnresponsiveFactor = 20.0;
constexpr double kDefaultLatency = 0.05;  ///< In seconds, until a latency is observed.
constexpr double kDefaultSlots = 8.0;
/// Weight of the typical latency in the cost of a worker: a worker's own latency counts less than
/// proportionally, because it also depends on the requests.
constexpr double kTypicalLatencyWeight = 0.3;

double seconds(base::Duration duration) { return std::chrono::duration<double>(duration).count(); }

}  // namespace

std::string PromptAffinity::keyOf(const RequestFacts& facts) {
  std::string key = facts.model + "/" + facts.adapter;
  const std::size_t parts = std::min(kSharedParts, facts.promptParts.size());
  for (std::size_t index = 0; index < parts; ++index) {
    key += "," + facts.promptParts[index];
  }
  return key;
}

void PromptAffinity::recordSent(const RequestFacts& facts, const registry::WorkerId& worker) {
  if (facts.promptParts.empty()) {
    return;
  }
  std::string key = keyOf(facts);
  const auto found = entries_.find(key);
  if (found != entries_.end()) {
    found->second.worker = worker;
    byUse_.splice(byUse_.begin(), byUse_, found->second.use);
    return;
  }
  byUse_.push_front(key);
  entries_.emplace(std::move(key), Entry{worker, byUse_.begin()});
  if (entries_.size() > kMaxPrompts) {
    entries_.erase(byUse_.back());
    byUse_.pop_back();
  }
}

const registry::WorkerId* PromptAffinity::find(const RequestFacts& facts) const {
  if (facts.promptParts.empty()) {
    return nullptr;
  }
  const auto found = entries_.find(keyOf(facts));
  return found == entries_.end() ? nullptr : &found->second.worker;
}

Selection WorkerSelector::select(const std::string& service, const RequestFacts& facts,
                                 const WorkerFilter& filter, base::TimePoint now) {
  Selection selection;
  Candidates candidates;
  double latencySum = 0;
  std::size_t latencies = 0;
  const auto worse = [&selection](NoWorkerReason reason) {
    selection.reason = std::max(selection.reason, reason);
  };
  for (const WorkerDirectory::WorkerPtr& worker : directory_.candidates(service)) {
    if (!filter.hasSoftware(worker->view.record)) {
      continue;
    }
    if (!worker->holds(facts.model, facts.adapter, now)) {
      worse(NoWorkerReason::notHeld);
    } else if (!filter.accepts(worker->view.record.id)) {
      worse(NoWorkerReason::excluded);
    } else if (!worker->breaker.allows(now)) {
      worse(NoWorkerReason::broken);
      if (filter.software && !worker->view.failing && shareState(*worker) == ShareState::open) {
        candidates.broken.push_back(worker);
      }
    } else if (worker->view.failing) {
      worse(NoWorkerReason::failing);
      if (shareState(*worker) == ShareState::open) {
        candidates.failing.push_back(worker);
      }
    } else if (const ShareState share = shareState(*worker); share != ShareState::open) {
      worse(NoWorkerReason::limited);
      addLimited(worker, share, candidates, selection);
    } else {
      candidates.usable.push_back(worker);
    }
    if (const auto latency = worker->latency.value()) {
      latencySum += seconds(*latency);
      ++latencies;
    }
  }
  const double typical =
      latencies == 0 ? kDefaultLatency : latencySum / static_cast<double>(latencies);
  // A stream that only workers of one version can go on with has no other choice: the breakers of
  // all of them may be open because connections were reset.
  const bool hasNoOther =
      candidates.usable.empty() && candidates.failing.empty() && candidates.requestable.empty();
  selection.worker =
      cheapest(hasNoOther ? candidates.broken : candidates.usable, typical, service, facts, now);
  if (selection.worker != nullptr) {
    selection.expectedWait = expectedWait(service, *selection.worker, now);
  } else {
    selection.requestable = cheapest(candidates.requestable, typical, service, facts, now);
    selection.lastResort = cheapest(candidates.failing, typical, service, facts, now);
    selection.hasUnlimitedWorkers =
        selection.reason == NoWorkerReason::limited && hasUnlimited(service);
  }
  return selection;
}

bool WorkerSelector::isCandidate(const std::string& service,
                                 const registry::WorkerId& worker) const {
  const std::vector<WorkerDirectory::WorkerPtr> workers = directory_.candidates(service);
  return std::any_of(workers.begin(), workers.end(), [&worker](const auto& candidate) {
    return candidate->view.record.id == worker;
  });
}

bool WorkerSelector::hasUnlimited(const std::string& service) const {
  const std::vector<WorkerDirectory::WorkerPtr> workers = directory_.candidates(service);
  return std::any_of(workers.begin(), workers.end(), [this](const auto& worker) {
    return !worker->view.failing && !shares_->limited(worker->view.record.id);
  });
}

ShareState WorkerSelector::shareState(const Worker& worker) const {
  return shares_ == nullptr ? ShareState::open : shares_->shareState(worker.view.record.id);
}

void WorkerSelector::addLimited(const WorkerDirectory::WorkerPtr& worker, ShareState shareState,
                                Candidates& candidates, Selection& selection) const {
  if (shareState == ShareState::requestable) {
    candidates.requestable.push_back(worker);
    return;
  }
  const base::Duration in = shares_->shareRetryAfter(worker->view.record.id);
  const bool first = selection.shareAvailableIn == base::Duration::zero();
  selection.shareAvailableIn = first ? in : std::min(selection.shareAvailableIn, in);
}

WorkerDirectory::WorkerPtr WorkerSelector::cheapest(
    const std::vector<WorkerDirectory::WorkerPtr>& workers, double typicalLatency,
    const std::string& service, const RequestFacts& facts, base::TimePoint now) {
  if (times_ != nullptr && times_->covers(service)) {
    return quickest(workers, service, facts, now);
  }
  const registry::WorkerId* preferred = affinity_.find(facts);
  WorkerDirectory::WorkerPtr best;
  double bestCost = std::numeric_limits<double>::infinity();
  for (const WorkerDirectory::WorkerPtr& worker : workers) {
    const double price = cost(*worker, typicalLatency, preferred, now) +
                         seconds(expectedWait(service, *worker, now));
    if (price < bestCost) {
      bestCost = price;
      best = worker;
    }
  }
  return best;
}

/// Returns the expected queueing time at a worker. Queued requests begin as running ones end: on
/// average a slot becomes free each (slot time / number of slots). At a slow worker it takes
/// longer, in proportion to its slowness.
base::Duration WorkerSelector::expectedWait(const std::string& service, const Worker& worker,
                                            base::TimePoint now) const {
  const auto slotTime = slotTimes_.find(service);
  if (!worker.full() || slotTime == slotTimes_.end()) {
    return base::Duration::zero();
  }
  const std::uint32_t slots = worker.view.record.slots;
  const std::uint32_t before = worker.totalRunning() - slots + 1;
  const base::Duration wait = *slotTime->second.value() * before / slots;
  if (times_ == nullptr || !times_->covers(service)) {
    return wait;
  }
  return std::chrono::duration_cast<base::Duration>(wait *
                                                    times_->slowness(worker.view.record.id, now));
}

double WorkerSelector::cost(const Worker& worker, double typicalLatency,
                            const registry::WorkerId* preferred, base::TimePoint now) {
  const double own = worker.latency.value() ? seconds(*worker.latency.value()) : typicalLatency;
  double cost = kTypicalLatencyWeight * typicalLatency + (1 - kTypicalLatencyWeight) * own;
  const double slots =
      worker.view.record.slots == 0 ? kDefaultSlots : static_cast<double>(worker.view.record.slots);
  const double running = worker.totalRunning();
  cost *= 1 + (kFullFactor - 1) * running / slots;
  cost = weighted(cost, worker, preferred, now);
  cost *= 1 + options_.spread * random_.unit();
  return worker.view.silent ? cost * kUnresponsiveFactor : cost;
}

/// Returns the cost with the factors for failures, zone, connection and known prompt.
double WorkerSelector::weighted(double cost, const Worker& worker,
                                const registry::WorkerId* preferred, base::TimePoint now) const {
  cost *= failureFactor(worker, now);
  if (worker.view.record.zone != options_.zone) {
    cost *= kOtherZoneFactor;
  }
  if (!connectedTo_(worker.view.record.id)) {
    cost *= kNewConnectionFactor;
  }
  if (preferred != nullptr && *preferred == worker.view.record.id) {
    cost *= kKnownPromptFactor;
  }
  return cost;
}

double WorkerSelector::failureFactor(const Worker& worker, base::TimePoint now) {
  return 1 + kFailureFactor * worker.failures.value(now);
}

}  // namespace walnut::gateway
