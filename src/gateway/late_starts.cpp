#include "gateway/late_starts.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

#include "gateway/exchange.h"
#include "walnut/catalog/slow_replicas.h"

namespace walnut::gateway {

namespace {

/// @name Time between two examinations of a waiting stream
/// The shortest target latency in use is 400 ms; a free slot is found within a fraction of it.
/// @{
constexpr base::Duration kMinReviewDelay = std::chrono::milliseconds(50);
constexpr base::Duration kMaxReviewDelay = std::chrono::milliseconds(150);
/// @}

}  // namespace

void LateStarts::documentApplied(const catalog::Document& document) {
  slowServices_.clear();
  for (const catalog::Service& service : document.services) {
    if (catalog::replicasAreSlowToAdd(document, service.name)) {
      slowServices_.insert(service.name);
    }
  }
}

void LateStarts::viewReceived(std::uint32_t gateways) {
  gateways_ = gateways;
  std::vector<ModelName> models;
  models.reserve(lines_.size());
  for (const auto& [model, line] : lines_) {
    models.push_back(model);
  }
  for (const ModelName& model : models) {
    reviewFirst(model);
  }
}

base::Duration LateStarts::slotInterval(const std::string& service,
                                        const RequestFacts& facts) const {
  base::Duration::rep slots = 0;
  for (const WorkerDirectory::WorkerPtr& worker : directory_.candidates(service)) {
    if (worker->holds(facts.model, facts.adapter, scheduler_.now())) {
      slots += worker->view.record.slots;
    }
  }
  return slots == 0 ? base::Duration::zero() : selector_.slotTime(service) / slots;
}

base::Duration LateStarts::reviewDelay() {
  return random_.between(kMinReviewDelay, kMaxReviewDelay);
}

std::size_t LateStarts::countBefore(const ModelName& model, const Place& place) const {
  const auto line = lines_.find(model);
  if (line == lines_.end()) {
    return 0;
  }
  return static_cast<std::size_t>(
      std::distance(line->second.begin(), line->second.lower_bound(place)));
}

void LateStarts::add(const ModelName& model, const Place& place, Exchange& exchange) {
  lines_[model].emplace(place, &exchange);
}

void LateStarts::remove(const ModelName& model, const Place& place) {
  const auto line = lines_.find(model);
  const auto entry = line == lines_.end() ? Line::iterator() : line->second.find(place);
  if (line == lines_.end() || entry == line->second.end()) {
    return;
  }
  const bool wasFirst = entry == line->second.begin();
  line->second.erase(entry);
  if (line->second.empty()) {
    lines_.erase(line);
  } else if (wasFirst) {
    toReview_.insert(model);
    reviewTimer_->enableAt(scheduler_.now());
  }
}

void LateStarts::review() {
  for (const ModelName& model : std::exchange(toReview_, {})) {
    reviewFirst(model);
  }
}

void LateStarts::reviewFirst(const ModelName& model) {
  const auto line = lines_.find(model);
  if (line != lines_.end()) {
    line->second.begin()->second->viewChanged();
  }
}

}  // namespace walnut::gateway
