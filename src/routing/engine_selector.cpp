#include "routing/engine_selector.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace walnut::routing {

namespace {
/// Half-life of a load report: engines report with a lag of about one second, and requests take a
/// few seconds.
constexpr double kLoadHalfLifeSeconds = 2.0;
/// Number of requests that a fully cached prompt outweighs; a partly cached one counts in
/// proportion. It is large enough to steer requests and too small to send all requests with a
/// popular prefix to one engine.
constexpr double kPrefixBonus = 4.0;
/// Time for which an engine that did not have the replica is avoided: in this time the cell detects
/// it and notifies the routers.
constexpr base::Duration kMissingReplicaOpenFor = std::chrono::seconds(1);
/// Number of replicas from which the two random candidates are drawn. They are as good as two of
/// all replicas, and the limit bounds the cost of a selection among the replicas of a hot model.
constexpr std::size_t kSampleSize = 32;
}  // namespace

bool EngineSelector::isLeaving(const EngineState& state) {
  return state.leavingIncarnation.has_value() && *state.leavingIncarnation == state.incarnation;
}

bool EngineSelector::isLeaving(const base::EngineId& engine) const {
  const auto found = engines_.find(engine);
  return found != engines_.end() && isLeaving(found->second);
}

bool EngineSelector::hasFreeSlot(const ReadyReplica& replica) const {
  const auto found = takenSlots_.find(replica.id);
  return found == takenSlots_.end() || found->second < options_.maxRunningPerReplica;
}

bool EngineSelector::selectable(base::TimePoint now, const ReadyReplica& replica) const {
  if (!hasFreeSlot(replica)) {
    return false;
  }
  const auto found = engines_.find(replica.engine);
  if (found == engines_.end()) {
    return true;
  }
  const EngineState& state = found->second;
  return state.breaker.allows(now) && state.avoidUntil <= now && !isLeaving(state);
}

std::set<base::EngineId> EngineSelector::engines() const {
  std::set<base::EngineId> ids;
  for (const auto& [id, state] : engines_) {
    ids.insert(id);
  }
  return ids;
}

base::TimePoint EngineSelector::retryAt(base::TimePoint now,
                                        const std::vector<ReadyReplica>& replicas) const {
  base::TimePoint earliest = base::kNever;
  for (const ReadyReplica& replica : replicas) {
    const auto found = engines_.find(replica.engine);
    if (found == engines_.end() || !hasFreeSlot(replica) || isLeaving(found->second)) {
      continue;
    }
    const EngineState& state = found->second;
    base::TimePoint at = state.avoidUntil;
    if (!state.breaker.allows(now)) {
      at = std::max(at, state.breaker.allowsAt());
    }
    earliest = std::min(earliest, at);
  }
  return earliest;
}

double EngineSelector::score(base::TimePoint now, const ReadyReplica& replica,
                             const std::vector<std::uint64_t>& hashes) const {
  double load = 0;
  const auto found = engines_.find(replica.engine);
  if (found != engines_.end()) {
    const EngineState& state = found->second;
    const double age = std::chrono::duration<double>(now - state.reportedAt).count();
    load = state.running + state.otherRoutersLoad * std::exp2(-age / kLoadHalfLifeSeconds);
  }
  if (hashes.empty()) {
    return load;
  }
  const auto matching = static_cast<double>(prefixes_.matchingBlocks(replica.engine, hashes));
  return load - kPrefixBonus * matching / static_cast<double>(hashes.size());
}

const ReadyReplica& EngineSelector::better(base::TimePoint now, const ReadyReplica& one,
                                           const ReadyReplica& other,
                                           const std::vector<std::uint64_t>& hashes) const {
  constexpr double kTie = 0.5;  // Less than one request.
  const double difference = score(now, one, hashes) - score(now, other, hashes);
  if (std::abs(difference) < kTie) {
    const bool otherIsNearer = other.zone == options_.zone && one.zone != options_.zone;
    return otherIsNearer ? other : one;
  }
  return difference < 0 ? one : other;
}

void EngineSelector::addIfSelectable(base::TimePoint now, const ReadyReplica& replica,
                                     const SelectionRequest& request,
                                     Candidates& candidates) const {
  if (!selectable(now, replica)) {
    return;
  }
  if (request.avoid == replica.engine) {
    candidates.avoided = &replica;
  } else {
    candidates.preferred.push_back(&replica);
  }
}

/// @return the candidates among kSampleSize consecutive replicas that start at a random one, or, if
/// these have none, among all.
EngineSelector::Candidates EngineSelector::sample(base::TimePoint now,
                                                  const std::vector<ReadyReplica>& replicas,
                                                  const SelectionRequest& request) {
  Candidates candidates;
  if (replicas.size() > kSampleSize) {
    const std::size_t start = random_.uniform(0, replicas.size() - 1);
    for (std::size_t offset = 0; offset < kSampleSize; ++offset) {
      addIfSelectable(now, replicas[(start + offset) % replicas.size()], request, candidates);
    }
    if (!candidates.preferred.empty()) {
      return candidates;
    }
  }
  for (const ReadyReplica& replica : replicas) {
    addIfSelectable(now, replica, request, candidates);
  }
  return candidates;
}

std::optional<ReadyReplica> EngineSelector::choose(base::TimePoint now,
                                                   const std::vector<ReadyReplica>& replicas,
                                                   const SelectionRequest& request) {
  const Candidates found = sample(now, replicas, request);
  const std::vector<const ReadyReplica*>& candidates = found.preferred;
  if (candidates.empty()) {
    return found.avoided == nullptr ? std::nullopt : std::optional<ReadyReplica>(*found.avoided);
  }
  if (candidates.size() == 1) {
    return *candidates.front();
  }
  const std::size_t first = random_.uniform(0, candidates.size() - 1);
  std::size_t second = random_.uniform(0, candidates.size() - 2);
  if (second >= first) {
    ++second;
  }
  return better(now, *candidates[first], *candidates[second], request.prefixHashes);
}

void EngineSelector::takeSlot(const base::EngineId& engine, base::ReplicaId replica) {
  ++engines_[engine].running;
  ++takenSlots_[replica];
}

void EngineSelector::freeSlot(const base::EngineId& engine, base::ReplicaId replica) {
  EngineState& state = engines_[engine];
  if (state.running > 0) {
    --state.running;
  }
  const auto found = takenSlots_.find(replica);
  if (found != takenSlots_.end() && --found->second == 0) {
    takenSlots_.erase(found);
  }
}

void EngineSelector::recordDispatch(const base::EngineId& engine,
                                    const std::vector<std::uint64_t>& hashes) {
  engines_[engine].breaker.recordAttempt();
  if (!hashes.empty()) {
    prefixes_.recordPrompt(engine, hashes);
  }
}

void EngineSelector::recordSuccess(const base::EngineId& engine) {
  engines_[engine].breaker.recordSuccess();
  ++outcomes_[engine].answered;
}

std::vector<protocol::EngineOutcomes> EngineSelector::takeOutcomes() {
  hasFailures_ = false;
  std::vector<protocol::EngineOutcomes> taken;
  for (auto& [engine, outcomes] : std::exchange(outcomes_, {})) {
    outcomes.engine = engine;
    taken.push_back(std::move(outcomes));
  }
  return taken;
}

base::Duration EngineSelector::withJitter(base::Duration mean) {
  return random_.between(mean / 2, mean + mean / 2);
}

void EngineSelector::recordFailure(base::TimePoint now, const base::EngineId& engine) {
  engines_[engine].breaker.recordFailure(now, options_.breakerFailures,
                                         withJitter(options_.breakerOpenFor));
  ++outcomes_[engine].failed;
  hasFailures_ = true;
}

void EngineSelector::recordMissingReplica(base::TimePoint now, const base::EngineId& engine) {
  engines_[engine].breaker.recordFailure(now, 1, withJitter(kMissingReplicaOpenFor));
}

void EngineSelector::recordNoOutcome(base::TimePoint now, const base::EngineId& engine) {
  engines_[engine].breaker.recordNoOutcome(now);
}

void EngineSelector::avoidUntil(const base::EngineId& engine, base::TimePoint until) {
  EngineState& state = engines_[engine];
  state.avoidUntil = std::max(state.avoidUntil, until);
}

void EngineSelector::markLeaving(const base::EngineId& engine, base::Incarnation incarnation) {
  engines_[engine].leavingIncarnation = incarnation;
}

void EngineSelector::recordLoad(base::TimePoint now, const base::EngineId& engine,
                                const engine::Load& load) {
  EngineState& state = engines_[engine];
  const double total = static_cast<double>(load.runningRequests) + load.queuedRequests;
  state.otherRoutersLoad = std::max(0.0, total - state.running);
  state.reportedAt = now;
}

void EngineSelector::engineChanged(const base::EngineId& id, const resource::Engine* known) {
  const auto found = engines_.find(id);
  if (found == engines_.end()) {
    if (known != nullptr) {
      engines_[id].incarnation = known->incarnation;
    }
    return;
  }
  EngineState& state = found->second;
  if (known != nullptr && known->incarnation == state.incarnation) {
    const bool leavingInView = known->status == resource::EngineStatus::leaving;
    if (state.wasLeavingInView && !leavingInView) {
      state.leavingIncarnation.reset();
    }
    state.wasLeavingInView = leavingInView;
    return;
  }
  prefixes_.eraseEngine(id);
  if (known == nullptr && state.running == 0) {
    engines_.erase(found);
    return;
  }
  // A new incarnation of the engine: only the count of running requests is kept.
  EngineState newState;
  newState.running = state.running;
  newState.incarnation = known == nullptr ? base::Incarnation{} : known->incarnation;
  state = newState;
}

}  // namespace walnut::routing
