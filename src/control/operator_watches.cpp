#include "control/operator_watches.h"

#include <algorithm>
#include <utility>

namespace walnut::control {

namespace {

/// @return true if the change concerns a resource, and one of the given kind if there is one.
bool matches(const protocol::Change& change, const std::optional<resource::Kind>& kind) {
  if (const auto* changed = std::get_if<protocol::ResourceChanged>(&change)) {
    return !kind || changed->resource.key.kind == *kind;
  }
  if (const auto* deleted = std::get_if<protocol::ResourceDeleted>(&change)) {
    return !kind || deleted->key.kind == *kind;
  }
  return false;
}

}  // namespace

void OperatorWatches::open(base::TimePoint now, const ApiWatchOpened& watch) {
  watches_[watch.call] = Watch{watch.kind, watch.fromVersion};
  nextPushAt_ = now;
}

void OperatorWatches::stateChanged(base::TimePoint now) {
  if (!watches_.empty()) {
    nextPushAt_ = std::min(nextPushAt_, now + options_.watchPushInterval);
  }
}

void OperatorWatches::tick(base::TimePoint now) {
  if (now < nextPushAt_) {
    return;
  }
  nextPushAt_ = base::kNever;
  for (auto entry = watches_.begin(); entry != watches_.end();) {
    entry = push(entry->first, entry->second) ? std::next(entry) : watches_.erase(entry);
  }
}

bool OperatorWatches::push(std::uint64_t call, Watch& watch) {
  const resource::Version applied = state_.appliedIndex();
  if (watch.sentVersion >= applied) {
    return true;
  }
  ApiWatchEvents events;
  events.call = call;
  events.version = applied;
  auto changes = state_.history().since(watch.sentVersion);
  if (!changes) {
    events.error = base::Error{base::ErrorCode::watchTooOld, "version",
                               "older changes are no longer kept: list again"};
    actions_.emplace_back(std::move(events));
    return false;
  }
  watch.sentVersion = applied;
  std::erase_if(*changes,
                [&](const protocol::Change& change) { return !matches(change, watch.kind); });
  if (!changes->empty()) {
    events.changes = std::move(*changes);
    actions_.emplace_back(std::move(events));
  }
  return true;
}

}  // namespace walnut::control
