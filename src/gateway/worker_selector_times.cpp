/// @file
/// The part of the worker selection that uses the leader's estimates of the speed of workers.

#include <algorithm>
#include <chrono>
#include <iterator>
#include <limits>
#include <utility>

#include "gateway/worker_selector.h"

namespace walnut::gateway {

namespace {

/// Multiple of `WorkerSelectorOptions::spread` in a comparison of all workers: without a draw, only
/// the spread keeps gateways with equal estimates from selecting the same worker.
constexpr double kSpreadWithoutDraw = 3;
/// Expected time at an unresponsive worker, as a multiple of that at a responsive one.
constexpr double kUnresponsiveFactor = 20.0;

}  // namespace

/// Returns the better of two responsive workers with a free slot. If there is none, the best of all
/// workers, including the expected wait for a slot.
WorkerDirectory::WorkerPtr WorkerSelector::quickest(
    const std::vector<WorkerDirectory::WorkerPtr>& workers, const std::string& service,
    const RequestFacts& facts, base::TimePoint now) {
  const registry::WorkerId* preferred = affinity_.find(facts);
  std::vector<WorkerDirectory::WorkerPtr> compared;
  std::copy_if(workers.begin(), workers.end(), std::back_inserter(compared),
               [](const auto& worker) { return !worker->full() && !worker->view.silent; });
  double spread = kSpreadWithoutDraw * options_.spread;
  if (compared.empty()) {
    compared = workers;
  } else if (compared.size() > 2) {
    compared = drawTwo(std::move(compared), preferred, now);
    spread = options_.spread;
  }
  WorkerDirectory::WorkerPtr best;
  double bestCost = std::numeric_limits<double>::infinity();
  for (const WorkerDirectory::WorkerPtr& worker : compared) {
    const std::chrono::duration<double> wait = expectedWait(service, *worker, now);
    const double price = timeCost(*worker, spread, facts, preferred, now) + wait.count();
    if (price < bestCost) {
      bestCost = price;
      best = worker;
    }
  }
  return best;
}

/// Draws two workers, weighted by their speed and by their successes. The worker that knows the
/// prompt is added.
std::vector<WorkerDirectory::WorkerPtr> WorkerSelector::drawTwo(
    std::vector<WorkerDirectory::WorkerPtr> workers, const registry::WorkerId* preferred,
    base::TimePoint now) {
  std::vector<double> weights;
  double total = 0;
  for (const WorkerDirectory::WorkerPtr& worker : workers) {
    const double slowness = times_->slowness(worker->view.record.id, now);
    weights.push_back(1 / (slowness * failureFactor(*worker, now)));
    total += weights.back();
  }
  std::vector<WorkerDirectory::WorkerPtr> drawn;
  while (drawn.size() < 2) {
    double point = draws_.unit() * total;
    std::size_t index = 0;
    while (index + 1 < weights.size() && point >= weights[index]) {
      point -= weights[index++];
    }
    total -= weights[index];
    drawn.push_back(std::move(workers[index]));
    workers.erase(workers.begin() + static_cast<std::ptrdiff_t>(index));
    weights.erase(weights.begin() + static_cast<std::ptrdiff_t>(index));
  }
  const auto knowing =
      std::find_if(workers.begin(), workers.end(), [preferred](const auto& worker) {
        return preferred != nullptr && worker->view.record.id == *preferred;
      });
  if (knowing != workers.end()) {
    drawn.push_back(*knowing);
  }
  return drawn;
}

double WorkerSelector::timeCost(const Worker& worker, double spread, const RequestFacts& facts,
                                const registry::WorkerId* preferred, base::TimePoint now) {
  const registry::WorkerRecord& record = worker.view.record;
  const WorkerTime time = times_->timeAt(record.service, record.id, worker.totalRunning(),
                                         record.slots, facts.promptTokens, now);
  double cost = weighted(time.total(), worker, preferred, now);
  cost *= 1 + spread * draws_.unit();
  return worker.view.silent ? cost * kUnresponsiveFactor : cost;
}

}  // namespace walnut::gateway
