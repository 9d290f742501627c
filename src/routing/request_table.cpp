#include "routing/request_table.h"

#include <algorithm>

namespace walnut::routing {

Request* RequestTable::add(const CallerRequest& caller) {
  const auto [entry, added] = requests_.try_emplace(caller.request);
  if (!added) {
    return nullptr;
  }
  entry->second = std::make_unique<Request>();
  Request& request = *entry->second;
  request.caller = caller;
  request.sequence = nextSequence_++;
  return &request;
}

Request* RequestTable::find(const base::RequestId& id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : found->second.get();
}

void RequestTable::erase(Request& request) {
  timers_.erase(Timer{request.timer, &request});
  const base::RequestId id = request.caller.request;
  requests_.erase(id);
}

std::map<resource::Servable, std::uint32_t> RequestTable::waitingByPinnedServable() const {
  std::map<resource::Servable, std::uint32_t> waiting;
  for (const auto& [id, request] : requests_) {
    const RequestState state = request->machine.state();
    const bool isWaiting = request->needsReplica || state == RequestState::queued ||
                           state == RequestState::claiming || state == RequestState::starting ||
                           state == RequestState::backingOff;
    if (request->pinned.has_value() && isWaiting) {
      ++waiting[*request->pinned];
    }
  }
  return waiting;
}

void RequestTable::arm(Request& request) {
  const base::TimePoint at = std::min({request.deadline, request.phaseDeadline, request.moveAt});
  if (at == request.timer) {
    return;
  }
  auto node = timers_.extract(Timer{request.timer, &request});
  request.timer = at;
  if (node.empty()) {
    timers_.insert(Timer{at, &request});
    return;
  }
  node.value().at = at;
  timers_.insert(std::move(node));
}

Request* RequestTable::due(base::TimePoint now) {
  if (timers_.empty() || timers_.begin()->at > now) {
    return nullptr;
  }
  return timers_.begin()->request;
}

base::TimePoint RequestTable::nextWakeup() const {
  return timers_.empty() ? base::kNever : timers_.begin()->at;
}

void RequestTable::attach(Request& request, const base::EngineId& engine) {
  byEngine_[engine].insert(&request);
}

void RequestTable::detach(Request& request, const base::EngineId& engine) {
  const auto found = byEngine_.find(engine);
  if (found == byEngine_.end()) {
    return;
  }
  found->second.erase(&request);
  if (found->second.empty()) {
    byEngine_.erase(found);
  }
}

std::set<base::EngineId> RequestTable::engines() const {
  std::set<base::EngineId> ids;
  for (const auto& [id, requests] : byEngine_) {
    ids.insert(id);
  }
  return ids;
}

std::vector<Request*> RequestTable::onEngine(const base::EngineId& engine) const {
  const auto found = byEngine_.find(engine);
  if (found == byEngine_.end()) {
    return {};
  }
  return {found->second.begin(), found->second.end()};
}

}  // namespace walnut::routing
