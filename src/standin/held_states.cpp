#include "standin/held_states.h"

#include <algorithm>

namespace walnut::standin {

HeldStates::HeldStates(const EngineModelOptions& options)
    : maxStates_(options.maxHeldStates),
      lifetime_(options.heldStateLifetime),
      handlePrefix_("held-" + std::to_string(options.incarnation.value) + "-") {}

HeldStates::States::iterator HeldStates::find(const std::string& handle) {
  return std::find_if(states_.begin(), states_.end(),
                      [&](const State& state) { return state.handle == handle; });
}

base::Result<HoldPlace> HeldStates::begin(base::TimePoint now, const engine::HoldRequest& request) {
  const auto known = std::find_if(states_.begin(), states_.end(), [&](const State& state) {
    return state.request == request.request && state.attempt == request.attempt;
  });
  if (known != states_.end()) {
    if (known->fetched) {
      return HoldPlace{known->handle, true};
    }
    return base::Error{base::ErrorCode::alreadyExists, "attempt", "is being fetched"};
  }
  if (states_.size() >= maxStates_) {
    return base::Error{base::ErrorCode::engineOverloaded, "",
                       "holds " + std::to_string(states_.size()) + " states, no more"};
  }
  const std::string handle = handlePrefix_ + std::to_string(++lastHandle_);
  states_.push_back({handle, request.request, request.attempt, now + lifetime_, false});
  return HoldPlace{handle, false};
}

bool HeldStates::end(const std::string& handle, bool fetched) {
  const auto found = find(handle);
  if (found == states_.end()) {
    return false;
  }
  if (!fetched) {
    states_.erase(found);
    return false;
  }
  found->fetched = true;
  return true;
}

bool HeldStates::take(const std::string& handle) {
  const auto found = find(handle);
  if (found == states_.end() || !found->fetched) {
    return false;
  }
  states_.erase(found);
  return true;
}

void HeldStates::cancel(const engine::CancelRequest& request) {
  std::erase_if(states_, [&](const State& state) {
    return state.request == request.request && state.attempt == request.attempt;
  });
}

void HeldStates::advance(base::TimePoint now) {
  std::erase_if(states_, [&](const State& state) { return state.dropAt <= now; });
}

base::TimePoint HeldStates::nextWakeup() const {
  return states_.empty() ? base::kNever : states_.front().dropAt;
}

}  // namespace walnut::standin
