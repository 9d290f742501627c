/// @file
/// Snapshot of CellState: a format version, followed by the contents, the claims, the answers and
/// the time when the cell was founded.

#include <string>
#include <utility>

#include "base/archive.h"
#include "control/cell_state.h"

namespace walnut::control {

namespace {

using base::Error;
using base::ErrorCode;

/// Format 2 added the founding time and the keep-alive settings of budgets. Format 1 was never
/// released.
constexpr std::uint32_t kSnapshotFormat = 2;

Error malformed(std::string detail) {
  return {ErrorCode::malformedInput, "snapshot", std::move(detail)};
}

/// Checks the properties that the rest of the state machine relies on.
base::Result<void> checkContents(const CellContents& contents) {
  for (const auto& [key, resource] : contents.resources) {
    const bool kindAgrees = resource.spec.index() == static_cast<std::size_t>(key.kind);
    const bool versionAgrees = resource.version != 0 && resource.version <= contents.appliedIndex;
    if (!kindAgrees || !versionAgrees || resource.key != key) {
      return malformed("resource " + key.name);
    }
  }
  for (const auto& [id, engine] : contents.engines) {
    if (engine.id != id || engine.status > resource::EngineStatus::leaving) {
      return malformed("engine " + id.value);
    }
  }
  for (const auto& [id, replica] : contents.replicas) {
    const auto engine = contents.engines.find(replica.engine);
    const bool placed = engine != contents.engines.end() &&
                        engine->second.incarnation == replica.incarnation &&
                        replica.accelerator.value < engine->second.acceleratorBytes.size();
    if (!placed || replica.id != id || replica.state > resource::ReplicaState::unloading) {
      return malformed("replica " + std::to_string(id.value));
    }
  }
  for (const consensus::Member& member : contents.membership.members) {
    if (member.role > consensus::MemberRole::voter) {
      return malformed("member " + std::to_string(member.id.value));
    }
  }
  return base::success();
}

/// @return the ledger of the contents, or an error if an accelerator is overcommitted.
base::Result<CellLedger> deriveLedger(const CellContents& contents) {
  CellLedger ledger;
  for (const auto& [key, resource] : contents.resources) {
    if (const auto* model = std::get_if<resource::ModelSpec>(&resource.spec)) {
      ledger.assignBudget(key.name, model->budget);
    }
  }
  for (const auto& [id, replica] : contents.replicas) {
    const std::uint64_t memory =
        contents.engines.at(replica.engine).acceleratorBytes[replica.accelerator.value];
    const std::uint64_t reserved = ledger.reservedBytes(replica.engine, replica.accelerator);
    if (replica.bytes > memory - reserved) {
      return malformed("replica " + std::to_string(id.value) + " overcommits its accelerator");
    }
    ledger.add(replica);
  }
  return ledger;
}

}  // namespace

/// Decoded body of a snapshot.
struct CellState::SavedState {
  CellContents contents;
  std::map<std::string, ClaimTable::Claim> claims;
  std::vector<RequestAnswers::Remembered> answers;
  base::TimePoint foundedAt;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(contents, claims, answers, foundedAt);
  }
};

std::string CellState::encodeSnapshot() const {
  base::OutputArchive archive;
  archive(kSnapshotFormat, contents_, claims_.claims(), answers_.oldestFirst(),
          claims_.foundedAt());
  return archive.release();
}

base::Result<void> CellState::restoreSnapshot(std::string_view data) {
  constexpr std::size_t kFormatBytes = sizeof(kSnapshotFormat);
  BOOST_OUTCOME_TRY(format, base::decode<std::uint32_t>(data.substr(0, kFormatBytes), "snapshot"));
  if (format != kSnapshotFormat) {
    return Error{ErrorCode::unsupportedVersion, "snapshot", "format " + std::to_string(format)};
  }
  BOOST_OUTCOME_TRY(saved, base::decode<SavedState>(data.substr(kFormatBytes), "snapshot"));
  BOOST_OUTCOME_TRYV(checkContents(saved.contents));
  BOOST_OUTCOME_TRY(ledger, deriveLedger(saved.contents));
  contents_ = std::move(saved.contents);
  ledger_ = std::move(ledger);
  claims_.restore(std::move(saved.claims));
  claims_.foundedAt(saved.foundedAt);
  answers_.restore(saved.answers);
  history_.startAt(contents_.appliedIndex);
  return base::success();
}

}  // namespace walnut::control
