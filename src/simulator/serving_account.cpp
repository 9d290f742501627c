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
