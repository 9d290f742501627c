#pragma once
/// @file
/// Replicated state machine of the cell: resources, engines, replicas with their memory ledger,
/// claimed keys and the first answers to resent requests. All servers apply the same commands in
/// the same order and hold the same state.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "control/cell_contents.h"
#include "control/cell_ledger.h"
#include "control/change_history.h"
#include "control/claim_table.h"
#include "control/request_answers.h"
#include "walnut/base/error.h"
#include "walnut/base/ids.h"
#include "walnut/base/time.h"
#include "walnut/consensus/messages.h"
#include "walnut/control/commands.h"
#include "walnut/control/controller.h"
#include "walnut/protocol/messages.h"
#include "walnut/resource/types.h"

namespace walnut::control {

/// Result of applying one command.
struct ApplyResult {
  std::optional<WriteOutcome> write;   ///< Outcome of PutResource or DeleteResource.
  std::vector<ClaimOutcome> claims;    ///< Outcomes of ClaimKeys, in the order of its claims.
  std::optional<base::Error> refusal;  ///< Reason why another command was refused, without effect.
};

/// State of a cell. Invariants after every entry:
/// - the reserved bytes of an accelerator are at most its memory;
/// - the replicas of a servable are at most the model's maxReplicas at the time each was placed;
/// - every replica belongs to the current incarnation of its engine;
/// - an adapter's replica is reserved or ready only while its model version is ready on the same
///   accelerator, because engines load and keep an adapter only together with its model;
/// - time never goes back: it is the greatest time of any applied command.
///
/// The state is deterministic and owned by the decision loop of one controller.
class CellState {
 public:
  explicit CellState(const ControllerOptions& options);

  /// Applies the entry at `index`, which is greater than appliedIndex().
  ApplyResult apply(consensus::LogIndex index, const Command& command);
  /// Applies the membership of the entry at `index`.
  void applyMembership(consensus::LogIndex index, const consensus::Membership& membership);
  /// Applies an entry without an effect (a leader's first one).
  void applyNoop(consensus::LogIndex index);

  /// @return the whole state, encoded.
  std::string encodeSnapshot() const;
  /// Replaces the state. The history of changes restarts at the snapshot's index.
  base::Result<void> restoreSnapshot(std::string_view data);

  consensus::LogIndex appliedIndex() const;
  base::TimePoint time() const;

  const std::map<resource::Key, resource::Resource>& resources() const;
  const std::map<base::EngineId, resource::Engine>& engines() const;
  const std::map<base::ReplicaId, resource::Replica>& replicas() const;
  const consensus::Membership& membership() const;

  /// @name Typed look-ups; null if there is none.
  /// @{
  const resource::ModelSpec* findModel(const std::string& name) const;
  const resource::ModelVersionSpec* findModelVersion(const std::string& name) const;
  const resource::AdapterSpec* findAdapter(const std::string& name) const;
  /// @}
  /// @return the budget of the model, or a default one if it names none.
  resource::CapacityBudgetSpec budgetOf(const resource::ModelSpec& model) const;
  /// @return the pool of the model, or a default one if it names none.
  resource::EnginePoolSpec poolOf(const resource::ModelSpec& model) const;
  /// @return true if an operator is draining the engine.
  bool drained(const base::EngineId& engine) const;
  /// @return memory that no replica reserves, in bytes; 0 for an unknown accelerator.
  std::uint64_t freeBytes(const base::EngineId& engine, base::AcceleratorIndex accelerator) const;
  /// @return the number of replicas of the servable in any state.
  std::size_t replicaCount(const resource::Servable& servable) const;

  /// Checks the rules of a placement. The policy calls it before it proposes a placement, and
  /// `apply` calls it again.
  /// @return the reason why it is not allowed; empty if it is.
  std::optional<base::Error> checkPlacement(const PlaceReplica& placement) const;

  /// Changes for routers and operators, by log index.
  const ChangeHistory& history() const;
  /// @return the whole state as changes, for a watcher that starts from scratch.
  std::vector<protocol::Change> wholeState() const;
  /// @return the first answer to a request id, if it is still kept.
  std::optional<WriteOutcome> answerOf(const std::string& requestId) const;

 private:
  struct SavedState;

  ApplyResult applyBody(const PutResource& put);
  ApplyResult applyBody(const DeleteResource& remove);
  ApplyResult applyBody(const RegisterEngine& command);
  ApplyResult applyBody(const RemoveEngine& command);
  ApplyResult applyBody(const PlaceReplica& placement);
  ApplyResult applyBody(const MarkReplicaReady& command);
  ApplyResult applyBody(const BeginUnload& command);
  ApplyResult applyBody(const ReleaseReplica& command);
  ApplyResult applyBody(const ClaimKeys& command);

  /// Answers a write with the stored answer to its request id, or with the result of `decide`,
  /// which is then stored.
  template <class Write, class Decide>
  ApplyResult answerWrite(const Write& write, const Decide& decide);
  WriteOutcome refuseWrite(base::Error error, const resource::Key& key) const;
  WriteOutcome put(const PutResource& put);
  WriteOutcome erase(const DeleteResource& remove);

  void beginUnloadOutdated(const resource::Resource& previous,
                           const resource::Resource* replacement);
  resource::Replica* findReplica(base::ReplicaId id);
  void setState(resource::Replica& replica, resource::ReplicaState state);
  /// Begins to unload the replica and the adapters on top of it on the same accelerator.
  void beginUnload(resource::Replica& replica);
  void removeReplica(base::ReplicaId id);
  void removeReplicasOn(const base::EngineId& engine);
  void recordChanges(consensus::LogIndex index);

  CellContents contents_;
  CellLedger ledger_;  ///< Derived from contents_.
  ClaimTable claims_;
  RequestAnswers answers_;
  ChangeHistory history_;
  std::vector<protocol::Change> changes_;  ///< Changes made by the entry that is being applied.
};

}  // namespace walnut::control
