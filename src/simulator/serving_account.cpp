/// @file
/// The account of a serving fleet: which models and adapters were served, and what could have been.

#include <algorithm>
#include <array>
#include <set>
#include <sstream>
#include <string_view>

#include "simulator/serving_caller.h"

namespace walnut::simulator {

namespace {

/// Requests from which a model or adapter is counted.
constexpr std::uint64_t kLeastAsked = 4;

/// Fields of a gateway's decisions that tell why a request was not served.
constexpr std::array<std::string_view, 7> kToldFields = {
    "worker", "reason", "outcome", "status", "running", "executed", "retry-after"};

}  // namespace

std::vector<std::string> ServingFleet::neverServed(base::Duration span) const {
  std::vector<std::string> names;
  for (const auto& [name, count] : counts_) {
    const bool counts = count.asked >= kLeastAsked && count.lastAt - count.firstAt >= span;
    if (counts && count.served == 0) {
      names.push_back(name);
    }
  }
  return names;
}

/// Loads of equal length, each with the time by which it must begin: earliest deadline first, and
/// whatever then comes too late is left out, leaves out the fewest.
std::size_t ServingFleet::leastNeverServed(base::Duration span) const {
  const base::Duration stay = (options_.retries + 1) * (kGivesUpAfter + kRetryPause);
  std::vector<base::TimePoint> deadlines;
  for (const auto& [name, count] : counts_) {
    const bool ofModel = splitTarget(name).second.empty();
    if (ofModel && count.asked >= kLeastAsked && count.lastAt - count.firstAt >= span) {
      deadlines.push_back(std::min(count.lastAt + stay, scheduler_.now()) -
                          options_.worker.loadTime);
    }
  }
  std::sort(deadlines.begin(), deadlines.end());
  const registry::StoreWindow window{registryOptions_.storeWindow, registryOptions_.storeOvershoot};
  std::size_t begun = 0;
  std::size_t leftOut = 0;
  for (const base::TimePoint deadline : deadlines) {
    const double loads =
        registry::StoreRate::maxStarts(options_.storeLoadsPerSecond, window, deadline - startedAt_);
    const bool inTime = loads >= static_cast<double>(begun + 1);
    ++(inTime ? begun : leftOut);
  }
  return leftOut;
}

/// @return true if a model that no live worker's disk has and none is loading was asked for within
/// the time that a caller stays. Callers that were turned away count too.
bool ServingFleet::othersNeedTheStore() const {
  std::set<std::string> available;
  for (const auto& worker : workers_) {
    if (!worker->crashed()) {
      available.insert(worker->loading());
      available.insert(worker->onDisk().begin(), worker->onDisk().end());
    }
  }
  const base::TimePoint since = scheduler_.now() - (kGivesUpAfter + kRetryPause);
  return std::any_of(callers_.begin(), callers_.end(), [&available, since](const auto& caller) {
    return caller->firstSentAt >= since && available.count(splitTarget(caller->target).first) == 0;
  });
}

base::Duration ForecastAccount::medianError() const {
  if (errors.empty()) {
    return base::Duration::zero();
  }
  std::vector<base::Duration> sorted = errors;
  const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
  std::nth_element(sorted.begin(), middle, sorted.end());
  return *middle;
}

/// Records what a refused caller was told about its model, unless a worker serves the model.
void ServingFleet::noteToldTime(const Caller& caller) {
  const std::string model = splitTarget(caller.target).first;
  const bool served = std::any_of(workers_.begin(), workers_.end(), [&model](const auto& worker) {
    return !worker->crashed() && worker->holds(model);
  });
  if (!served) {
    toldTimes_[model].push_back({scheduler_.now(), *caller.retryAfter});
  }
}

/// Compares what callers were told about a model with the time at which its load has ended.
void ServingFleet::noteLoaded(const std::string& model) {
  const auto found = toldTimes_.find(model);
  if (found == toldTimes_.end()) {
    return;
  }
  for (const ToldTime& told : found->second) {
    const base::Duration taken = scheduler_.now() - told.at;
    forecasts_.errors.push_back(taken - told.told);
    forecasts_.inPatience += taken <= kGivesUpAfter ? 1 : 0;
  }
  toldTimes_.erase(found);
}

double ServingFleet::servedShare() const {
  std::uint64_t over = 0;
  std::uint64_t served = 0;
  for (const auto& [name, count] : counts_) {
    over += count.served + count.lost;
    served += count.served;
  }
  return over == 0 ? 1 : static_cast<double>(served) / static_cast<double>(over);
}

void ServingFleet::noteDecision(std::size_t gateway, runtime::LogEvent event,
                                std::initializer_list<runtime::EventField> fields) {
  std::ostringstream text;
  text << "\n    " << sinceStart(scheduler_.now()) << "s gateway " << gateway << " "
       << runtime::logEventName(event);
  std::string request;
  for (const runtime::EventField& field : fields) {
    request = field.key == "request" ? field.value : request;
    if (std::find(kToldFields.begin(), kToldFields.end(), field.key) != kToldFields.end()) {
      text << " " << field.key << "=" << field.value;
    }
  }
  const auto body = bodies_.find(request);
  if (body != bodies_.end()) {
    decisions_[body->second] += text.str();
  }
}

std::string ServingFleet::describeLoads(const std::string& model) const {
  const auto counted = counts_.find(model);
  const auto loaded = loads_.find(model);
  std::ostringstream text;
  if (counted != counts_.end()) {
    text << "asked=" << counted->second.asked << " first=" << sinceStart(counted->second.firstAt)
         << "s last=" << sinceStart(counted->second.lastAt) << "s";
  }
  text << (loaded == loads_.end() ? std::string(" never loaded") : loaded->second);
  return text.str();
}

std::string ServingFleet::describe(const RetryWindow& window) const {
  std::ostringstream text;
  text << window.retries << " retries in 10 s, allowed " << window.allowed << ", from "
       << sinceStart(window.begin) << "s";
  return text.str();
}

std::string ServingFleet::describeLost() const {
  std::ostringstream text;
  std::set<std::string> targets;
  for (const LostRequest& lost : lost_) {
    targets.insert(lost.target);
    const auto found = decisions_.find(lost.body);
    text << "\n  lost " << lost.body << " for " << lost.target
         << (found == decisions_.end() ? std::string() : found->second);
  }
  for (const std::string& target : targets) {
    const ServedCount& count = counts_.at(target);
    text << "\n  " << target << " served=" << count.served << " lost=" << count.lost << " "
         << describeLoads(splitTarget(target).first);
  }
  return text.str();
}

}  // namespace walnut::simulator
