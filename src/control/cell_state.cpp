#include "control/cell_state.h"

#include <algorithm>
#include <initializer_list>
#include <string>
#include <utility>

#include "control/cell_placement_rules.h"
#include "control/cell_write_rules.h"

namespace walnut::control {

namespace {

using base::Error;
using base::ErrorCode;
using resource::Kind;
using resource::ReplicaState;

/// Largest accepted number of accelerators of an engine, far more than a machine has.
constexpr std::size_t kMaxAccelerators = 1024;
/// Largest accepted memory of an accelerator, 16 TiB, so that sums over a region fit in 64 bits.
constexpr std::uint64_t kMaxAcceleratorBytes = std::uint64_t{1} << 44;

ApplyResult refused(Error error) {
  ApplyResult result;
  result.refusal = std::move(error);
  return result;
}

std::optional<Error> checkEngineForm(const resource::Engine& engine) {
  if (engine.id.value.empty()) {
    return Error{ErrorCode::missingField, "engine.id", "an engine has a name"};
  }
  const bool tooLarge =
      std::any_of(engine.acceleratorBytes.begin(), engine.acceleratorBytes.end(),
                  [](std::uint64_t bytes) { return bytes > kMaxAcceleratorBytes; });
  if (tooLarge || engine.acceleratorBytes.size() > kMaxAccelerators) {
    return Error{ErrorCode::outOfRange, "engine.accelerator_bytes", "too many or too large"};
  }
  return std::nullopt;
}

bool isAdapterOver(const resource::Replica& adapter, const resource::Replica& replica) {
  resource::Servable model = adapter.servable;
  model.adapter.clear();
  return !adapter.servable.adapter.empty() && model == replica.servable;
}

/// Checks that the replica exists and may change its state.
/// @param from states that the replica may be in.
std::optional<Error> checkState(const resource::Replica* replica,
                                std::initializer_list<ReplicaState> from) {
  if (replica == nullptr) {
    return Error{ErrorCode::notFound, "replica", "no such replica"};
  }
  if (std::find(from.begin(), from.end(), replica->state) == from.end()) {
    return Error{ErrorCode::versionConflict, "replica", "not in a state that allows it"};
  }
  return std::nullopt;
}

}  // namespace

CellState::CellState(const ControllerOptions& options)
    : claims_(options.claimWindow, options.claimClockSkew),
      answers_(options.maxRequestAnswers),
      history_(options.maxWatchChanges) {}

ApplyResult CellState::apply(consensus::LogIndex index, const Command& command) {
  contents_.appliedIndex = index;
  if (contents_.time == base::TimePoint{}) {
    claims_.foundedAt(command.time);
  }
  contents_.time = std::max(contents_.time, command.time);
  claims_.expire(contents_.time);
  ApplyResult result =
      std::visit([this](const auto& body) { return applyBody(body); }, command.body);
  recordChanges(index);
  return result;
}

void CellState::applyMembership(consensus::LogIndex index,
                                const consensus::Membership& membership) {
  contents_.appliedIndex = index;
  contents_.membershipIndex = index;
  contents_.membership = membership;
  changes_.emplace_back(protocol::MembershipChanged{index, membership});
  recordChanges(index);
}

void CellState::applyNoop(consensus::LogIndex index) { contents_.appliedIndex = index; }

void CellState::recordChanges(consensus::LogIndex index) {
  history_.record(index, std::exchange(changes_, {}));
}

template <class Write, class Decide>
ApplyResult CellState::answerWrite(const Write& write, const Decide& decide) {
  ApplyResult result;
  const base::Result<void> form = checkForm(write);
  if (form.has_error()) {
    result.write = WriteOutcome{form.error(), 0, 0};
    return result;
  }
  const std::uint64_t fingerprint = fingerprintOf(write);
  if (const RequestAnswers::Answer* first = answers_.find(write.requestId)) {
    const bool same = first->fingerprint == fingerprint;
    result.write =
        same ? first->outcome
             : WriteOutcome{Error{ErrorCode::requestIdReused, "request_id", write.requestId}, 0, 0};
    return result;
  }
  result.write = decide();
  answers_.remember(write.requestId, {fingerprint, *result.write});
  return result;
}

ApplyResult CellState::applyBody(const PutResource& write) {
  return answerWrite(write, [&] { return put(write); });
}

ApplyResult CellState::applyBody(const DeleteResource& write) {
  return answerWrite(write, [&] { return erase(write); });
}

WriteOutcome CellState::refuseWrite(Error error, const resource::Key& key) const {
  const auto current = contents_.resources.find(key);
  const resource::Version version =
      current == contents_.resources.end() ? 0 : current->second.version;
  return {std::move(error), 0, version};
}

WriteOutcome CellState::put(const PutResource& put) {
  const resource::Key& key = put.resource.key;
  if (auto error = checkPut(contents_, put)) {
    return refuseWrite(std::move(*error), key);
  }
  resource::Resource& stored = contents_.resources[key];
  const bool replaced = stored.version != 0;
  const resource::Resource previous = std::exchange(stored, put.resource);
  stored.version = contents_.appliedIndex;
  changes_.emplace_back(protocol::ResourceChanged{stored});
  if (const auto* model = std::get_if<resource::ModelSpec>(&stored.spec)) {
    ledger_.assignBudget(key.name, model->budget);
  }
  if (replaced) {
    beginUnloadOutdated(previous, &stored);
  }
  return {std::nullopt, stored.version, 0};
}

WriteOutcome CellState::erase(const DeleteResource& remove) {
  if (auto error = checkDelete(contents_, remove)) {
    return refuseWrite(std::move(*error), remove.key);
  }
  const auto found = contents_.resources.find(remove.key);
  const resource::Resource previous = std::move(found->second);
  contents_.resources.erase(found);
  changes_.emplace_back(protocol::ResourceDeleted{remove.key});
  if (remove.key.kind == Kind::model) {
    ledger_.assignBudget(remove.key.name, {});
  }
  beginUnloadOutdated(previous, nullptr);
  return {std::nullopt, contents_.appliedIndex, 0};
}

void CellState::beginUnloadOutdated(const resource::Resource& previous,
                                    const resource::Resource* replacement) {
  for (const base::ReplicaId id : ledger_.replicasOfModel(modelOfWeights(previous))) {
    resource::Replica& replica = contents_.replicas.at(id);
    if (replica.state != ReplicaState::unloading && outdates(previous, replacement, replica)) {
      beginUnload(replica);
    }
  }
}

ApplyResult CellState::applyBody(const RegisterEngine& command) {
  if (auto error = checkEngineForm(command.engine)) {
    return refused(std::move(*error));
  }
  resource::Engine engine = command.engine;
  const auto known = contents_.engines.find(engine.id);
  if (known != contents_.engines.end()) {
    if (engine.incarnation.value == 0) {
      engine.incarnation = known->second.incarnation;
    }
    if (engine == known->second) {
      return {};
    }
    if (engine.incarnation != known->second.incarnation) {
      removeReplicasOn(engine.id);
    }
  }
  for (const base::ReplicaId id : ledger_.replicasOn(engine.id)) {
    const base::AcceleratorIndex accelerator = contents_.replicas.at(id).accelerator;
    const bool fits =
        accelerator.value < engine.acceleratorBytes.size() &&
        ledger_.reservedBytes(engine.id, accelerator) <= engine.acceleratorBytes[accelerator.value];
    if (!fits) {
      return refused({ErrorCode::insufficientMemory, "engine.accelerator_bytes",
                      "below what its replicas reserve"});
    }
  }
  contents_.engines[engine.id] = engine;
  changes_.emplace_back(protocol::EngineChanged{std::move(engine)});
  return {};
}

ApplyResult CellState::applyBody(const RemoveEngine& command) {
  if (!contents_.engines.contains(command.engine)) {
    return refused({ErrorCode::notFound, "engine", "no such engine"});
  }
  removeReplicasOn(command.engine);
  contents_.engines.erase(command.engine);
  changes_.emplace_back(protocol::EngineRemoved{command.engine});
  return {};
}

ApplyResult CellState::applyBody(const PlaceReplica& placement) {
  if (auto error = checkPlacement(placement)) {
    return refused(std::move(*error));
  }
  resource::Replica replica;
  replica.id = base::ReplicaId{contents_.appliedIndex};
  replica.servable = placement.servable;
  replica.engine = placement.engine;
  replica.incarnation = placement.incarnation;
  replica.accelerator = placement.accelerator;
  replica.bytes = placement.bytes;
  replica.since = contents_.time;
  ledger_.add(replica);
  changes_.emplace_back(protocol::ReplicaChanged{replica});
  contents_.replicas.emplace(replica.id, std::move(replica));
  return {};
}

ApplyResult CellState::applyBody(const MarkReplicaReady& command) {
  resource::Replica* replica = findReplica(command.replica);
  if (auto error = checkState(replica, {ReplicaState::reserved})) {
    return refused(std::move(*error));
  }
  setState(*replica, ReplicaState::ready);
  return {};
}

ApplyResult CellState::applyBody(const BeginUnload& command) {
  resource::Replica* replica = findReplica(command.replica);
  if (auto error = checkState(replica, {ReplicaState::reserved, ReplicaState::ready})) {
    return refused(std::move(*error));
  }
  beginUnload(*replica);
  return {};
}

ApplyResult CellState::applyBody(const ReleaseReplica& command) {
  if (auto error = checkState(findReplica(command.replica), {ReplicaState::unloading})) {
    return refused(std::move(*error));
  }
  removeReplica(command.replica);
  return {};
}

ApplyResult CellState::applyBody(const ClaimKeys& command) {
  ApplyResult result;
  result.claims.reserve(command.claims.size());
  for (const ClaimKey& claim : command.claims) {
    result.claims.push_back(claims_.claim(claim, contents_.time));
  }
  return result;
}

resource::Replica* CellState::findReplica(base::ReplicaId id) {
  const auto found = contents_.replicas.find(id);
  return found == contents_.replicas.end() ? nullptr : &found->second;
}

void CellState::setState(resource::Replica& replica, ReplicaState state) {
  replica.state = state;
  replica.since = contents_.time;
  changes_.emplace_back(protocol::ReplicaChanged{replica});
}

void CellState::beginUnload(resource::Replica& replica) {
  setState(replica, ReplicaState::unloading);
  for (const base::ReplicaId id : ledger_.replicasOn(replica.engine)) {
    resource::Replica& other = contents_.replicas.at(id);
    const bool holds = other.state != ReplicaState::unloading;
    if (holds && other.accelerator == replica.accelerator && isAdapterOver(other, replica)) {
      setState(other, ReplicaState::unloading);
    }
  }
}

void CellState::removeReplica(base::ReplicaId id) {
  const auto found = contents_.replicas.find(id);
  ledger_.remove(found->second);
  contents_.replicas.erase(found);
  changes_.emplace_back(protocol::ReplicaRemoved{id});
}

void CellState::removeReplicasOn(const base::EngineId& engine) {
  const std::set<base::ReplicaId> replicas = ledger_.replicasOn(engine);
  for (const base::ReplicaId id : replicas) {
    removeReplica(id);
  }
}

}  // namespace walnut::control
