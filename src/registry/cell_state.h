#pragma once
/// @file
/// The replicated state of the registry: the declared document, the list of workers and the
/// evidence against requests that crash them.

#include <cereal/types/deque.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/variant.hpp>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "control/crash_ledger.h"
#include "walnut/base/error.h"
#include "walnut/registry/request_digest.h"
#include "walnut/registry/worker.h"

namespace walnut::registry {

/// @name Commands, each an entry of the log
/// @{
/// Takes effect only if its version is above the one held.
struct StoreDocument {
  std::uint64_t version = 0;
  std::string text;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(version, text);
  }
};
/// Adds a worker or replaces what is known of it. A worker that leaves stays leaving, and one that
/// was forgotten is not added again. Any other worker at its endpoint, and any earlier life of it,
/// is forgotten; an earlier life than the one held is not added.
struct StoreWorker {
  WorkerRecord worker;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(worker);
  }
};
struct ForgetWorker {
  WorkerId worker;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(worker);
  }
};
/// What a worker holds, as its leader last knew it: where a later leader and gateways begin.
struct StoreHoldings {
  WorkerId worker;
  std::vector<HeldModel> models;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(worker, models);
  }
};
/// The server that sends orders to workers from now on.
struct StoreOrderHolder {
  base::ServerId server;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(server);
  }
};
/// A leader is about to order workers, and does so at once when this is applied or not at all: a
/// later leader knows by it which workers have been ordered lately. One entry for the orders of a
/// plan.
struct StoreOrderedWorkers {
  base::ServerId server;
  std::uint64_t term = 0;
  std::uint64_t batch = 0;  ///< Of that leadership.
  std::vector<WorkerId> workers;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(server, term, batch, workers);
  }
};
/// A worker has ended with these requests, none of which it had answered a part of: see
/// CrashLedger::add.
struct StoreCrash {
  WorkerId worker;
  std::vector<RequestDigest> begun;
  std::vector<RequestDigest> queued;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(worker, begun, queued);
  }
};
/// A worker that was taken for ended has been heard again.
struct RetractCrash {
  WorkerId worker;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(worker);
  }
};
/// Requests that were answered, or (`aged`) whose crashes were long ago: see CrashLedger.
struct ReleaseSuspects {
  std::vector<RequestDigest> requests;
  bool aged = false;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(requests, aged);
  }
};
/// Every server of the cell knows what this level brings: see feature_level.h.
struct RaiseFeatureLevel {
  std::uint32_t level = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(level);
  }
};
/// Takes effect only if the zone has not been changed since `basedOn` changes of it.
struct StoreZoneEvacuation {
  base::ZoneId zone;
  bool evacuated = true;
  std::uint64_t basedOn = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(zone, evacuated, basedOn);
  }
};
/// @}

using Command = std::variant<StoreDocument, StoreWorker, ForgetWorker, StoreOrderHolder,
                             StoreHoldings, StoreOrderedWorkers, StoreCrash, RetractCrash,
                             ReleaseSuspects, RaiseFeatureLevel, StoreZoneEvacuation>;

/// Which requests crash their workers; replicated, so that no change of leader forgets it.
using RequestCrashLedger = control::CrashLedger<RequestDigest, WorkerId>;

std::string encodeCommand(const Command& command);
base::Result<Command> decodeCommand(std::string_view bytes);

/// Applies commands in the order of the log; equal on all servers. Each command takes time in
/// proportion to what it changes, not to what is held.
class CellState {
 public:
  using Workers = std::map<WorkerId, WorkerRecord>;

  void apply(const Command& command);

  std::uint64_t documentVersion() const { return documentVersion_; }
  /// The document as it was declared.
  const std::string& documentText() const { return documentText_; }
  const Workers& workers() const { return workers_; }
  const WorkerRecord* findWorker(const WorkerId& id) const;
  /// @return the life of the worker of that name that is there, or nullptr.
  const WorkerRecord* findLife(const std::string& name) const;
  /// @return true if the worker was there once and has been forgotten.
  bool wasForgotten(const WorkerId& id) const;
  /// @return the workers at that endpoint.
  const std::set<WorkerId>& workersAt(const base::Endpoint& endpoint) const;
  /// @return how often a worker was added, changed or forgotten; grows.
  std::uint64_t workerChanges() const { return firstChange_ + changes_.size(); }
  /// @param count as `workerChanges` told it then.
  /// @return the workers that were added, changed or forgotten since, some more than once; nothing
  /// if it was too long ago to tell.
  std::optional<std::vector<WorkerId>> changedSince(std::uint64_t count) const;
  base::ServerId orderHolder() const { return orderHolder_; }
  /// @return what the worker held when it was last stored; nullptr if it never was.
  const std::vector<HeldModel>* findHoldings(const WorkerId& id) const;

  /// @return the server that ordered the worker last; zero if none did.
  base::ServerId lastOrderedBy(const WorkerId& id) const;
  const RequestCrashLedger& requestCrashes() const { return requestCrashes_; }
  std::uint32_t featureLevel() const { return featureLevel_; }
  /// @return true if nothing new is to be sent to the workers of that zone.
  bool evacuated(const base::ZoneId& zone) const;
  /// @return how often the zone's evacuation has begun or ended.
  std::uint64_t zoneRevision(const base::ZoneId& zone) const;
  /// @return the sum of that over all zones.
  std::uint64_t zoneChanges() const { return zoneChanges_; }

  /// @name Contents of a snapshot
  /// @{
  std::string encode() const;
  base::Result<void> restore(std::string_view bytes);
  /// @}

  template <class Archive>
  void serialize(Archive& archive) {
    archive(documentVersion_, documentText_, workers_, holdings_, forgotten_, orderHolder_,
            lastOrderedBy_);
    serializeRest(archive);
  }

 private:
  struct ZoneState {
    bool evacuated = false;
    std::uint64_t revision = 0;  ///< Changes of it so far.
    template <class Archive>
    void serialize(Archive& archive) {
      archive(evacuated, revision);
    }
  };

  /// What only some states have stands at the end, if at all: so a state without it is read as
  /// well, and costs no bytes.
  template <class Archive>
  void serializeRest(Archive& archive);

  void store(const WorkerRecord& worker);
  void store(const StoreZoneEvacuation& change);
  void forget(const WorkerId& id);
  void addToIndex(const WorkerRecord& worker);
  void removeFromIndex(const WorkerRecord& worker);
  void buildIndex();
  void noteChange(const WorkerId& id);
  std::size_t mostForgotten() const;

  std::uint64_t documentVersion_ = 0;
  std::string documentText_;
  Workers workers_;
  std::map<WorkerId, std::vector<HeldModel>> holdings_;  ///< Of workers that are there.
  std::deque<WorkerId> forgotten_;                       ///< Oldest first, bounded.
  base::ServerId orderHolder_;
  std::map<WorkerId, base::ServerId> lastOrderedBy_;  ///< Of workers that are there.
  RequestCrashLedger requestCrashes_;
  std::uint32_t featureLevel_ = 0;
  std::map<base::ZoneId, ZoneState> zones_;  ///< That were evacuated once.
  std::uint64_t zoneChanges_ = 0;

  // Not in a snapshot: follows from the above.
  std::map<std::string, std::set<WorkerId>> idsByName_;  ///< Of workers that are there.
  std::map<base::Endpoint, std::set<WorkerId>> idsByEndpoint_;
  std::set<WorkerId> forgottenIds_;
  std::deque<WorkerId> changes_;  ///< Oldest first, bounded.
  std::uint64_t firstChange_ = 0;
};

template <class Archive>
void CellState::serializeRest(Archive& archive) {
  if constexpr (Archive::is_saving::value) {
    if (!requestCrashes_.empty() || featureLevel_ > 0) {
      archive(requestCrashes_);
    }
    if (featureLevel_ > 0) {
      archive(featureLevel_, zones_, zoneChanges_);
    }
  } else {
    if (archive.remaining() > 0) {
      archive(requestCrashes_);
    }
    if (archive.remaining() > 0) {
      archive(featureLevel_, zones_, zoneChanges_);
    }
  }
}

}  // namespace walnut::registry
