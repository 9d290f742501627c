#pragma once
/// @file
/// The replicated state of the registry: the declared document, the list of workers and the
/// evidence of which requests crash workers.

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
#include "walnut/registry/feature_level.h"
#include "walnut/registry/request_digest.h"
#include "walnut/registry/worker.h"

namespace walnut::registry {

/// @name Commands; each is the payload of one log entry
/// @{
/// Replaces the document if the version is higher than the present one.
struct StoreDocument {
  std::uint64_t version = 0;
  std::string text;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(version, text);
  }
};
/// Adds a worker or replaces its record. A leaving worker stays leaving, and a forgotten one is not
/// added again. Any other worker at its endpoint and any earlier incarnation of it are forgotten;
/// an incarnation earlier than the present one is not added.
struct StoreWorker {
  WorkerRecord worker;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(worker);
  }
};
/// Removes a worker for good.
struct ForgetWorker {
  WorkerId worker;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(worker);
  }
};
/// Stores the models that a worker holds, as last known to the leader. A later leader and gateways
/// start from them.
struct StoreHoldings {
  WorkerId worker;
  std::vector<HeldModel> models;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(worker, models);
  }
};
/// Makes a server the holder of the order lease: it sends orders to workers from now on.
struct StoreOrderHolder {
  base::ServerId server;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(server);
  }
};
/// Announces that a leader is about to order workers; it sends the orders as soon as this is
/// applied, or never. It tells a later leader which workers were ordered recently. There is one
/// entry for all orders of a plan.
struct StoreOrderedWorkers {
  base::ServerId server;
  std::uint64_t term = 0;
  std::uint64_t batch = 0;  ///< Number of the batch within that leadership.
  std::vector<WorkerId> workers;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(server, term, batch, workers);
  }
};
/// Records that a worker crashed with these requests, none of which it had answered even in part:
/// see CrashLedger::add.
struct StoreCrash {
  WorkerId worker;
  std::vector<RequestDigest> begun;
  std::vector<RequestDigest> queued;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(worker, begun, queued);
  }
};
/// Takes back the crash of a worker that was assumed to have ended and has made contact since.
struct RetractCrash {
  WorkerId worker;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(worker);
  }
};
/// Releases requests that were answered, or (`aged`) whose crashes were long ago: see CrashLedger.
struct ReleaseSuspects {
  std::vector<RequestDigest> requests;
  bool aged = false;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(requests, aged);
  }
};
/// Raises the feature level of the cell, once every server supports it: see feature_level.h.
struct RaiseFeatureLevel {
  std::uint32_t level = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(level);
  }
};
/// Begins or ends the evacuation of a zone. Takes effect only if the revision of the zone is still
/// `basedOn`.
struct StoreZoneEvacuation {
  base::ZoneId zone;
  bool evacuated = true;
  std::uint64_t basedOn = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(zone, evacuated, basedOn);
  }
};
/// Refuses requests with a part that crashes workers.
struct RefusePart {
  PromptPartDigest part;
  std::uint32_t crashes = 0;  ///< Workers that crashed under such requests.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(part, crashes);
  }
};
/// Ends the refusal of requests with these parts.
struct ReleaseParts {
  std::vector<PromptPartDigest> parts;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(parts);
  }
};
/// @}

using Command =
    std::variant<StoreDocument, StoreWorker, ForgetWorker, StoreOrderHolder, StoreHoldings,
                 StoreOrderedWorkers, StoreCrash, RetractCrash, ReleaseSuspects, RaiseFeatureLevel,
                 StoreZoneEvacuation, RefusePart, ReleaseParts>;

/// Evidence of which requests crash workers; replicated, so that it survives a change of leader.
using RequestCrashLedger = control::CrashLedger<RequestDigest, WorkerId>;

std::string encodeCommand(const Command& command);
base::Result<Command> decodeCommand(std::string_view bytes);

/// Replicated state machine of the registry. It applies commands in log order and is therefore
/// equal on all servers. Each command takes time in proportion to what it changes, not to the size
/// of the state.
///
/// Invariant: `onlyVersionOf` has an answer only if every worker of the service that was ever
/// registered had that software version. It therefore has none
/// - for any service, if workers had been forgotten before feature level `kSoftwareVersions`, when
///   their versions were not reported;
/// - while a registered worker of the service is of unknown version;
/// - for good, once such a worker was forgotten or moved to another service.
/// A worker's version is fixed, so that a worker which reports it late has had it all along.
class CellState {
 public:
  using Workers = std::map<WorkerId, WorkerRecord>;

  void apply(const Command& command);

  std::uint64_t documentVersion() const { return documentVersion_; }
  /// Text of the document as it was declared.
  const std::string& documentText() const { return documentText_; }
  const Workers& workers() const { return workers_; }
  const WorkerRecord* findWorker(const WorkerId& id) const;
  /// @return the present incarnation of the worker of that name, or nullptr.
  const WorkerRecord* findIncarnation(const std::string& name) const;
  /// @return true if the worker was registered and has been forgotten since.
  bool wasForgotten(const WorkerId& id) const;
  /// @return the workers at that endpoint.
  const std::set<WorkerId>& workersAt(const base::Endpoint& endpoint) const;
  /// @return how often a worker was added, changed or forgotten; increases monotonically.
  std::uint64_t workerChanges() const { return firstChange_ + changes_.size(); }
  /// @param count an earlier value of `workerChanges`.
  /// @return the workers that were added, changed or forgotten since, some more than once; nothing
  /// if the record of changes does not reach back that far.
  std::optional<std::vector<WorkerId>> changedSince(std::uint64_t count) const;
  base::ServerId orderHolder() const { return orderHolder_; }
  /// @return the worker's holdings as last stored; nullptr if there are none.
  const std::vector<HeldModel>* findHoldings(const WorkerId& id) const;

  /// @return the server that ordered the worker last; zero if none did.
  base::ServerId lastOrderedBy(const WorkerId& id) const;
  const RequestCrashLedger& requestCrashes() const { return requestCrashes_; }
  /// @return the parts of prompts with which requests are refused, with the number of workers that
  /// crashed under such requests.
  const std::map<PromptPartDigest, std::uint32_t>& refusedParts() const { return refusedParts_; }
  std::uint32_t featureLevel() const { return featureLevel_; }
  /// @return the software version that all workers of the service have ever had; nothing if there
  /// were several or one is unknown.
  std::optional<std::string> onlyVersionOf(const std::string& service) const;
  /// @return true if no new requests may be sent to the workers of that zone.
  bool evacuated(const base::ZoneId& zone) const;
  /// @return how often an evacuation of the zone has begun or ended.
  std::uint64_t zoneRevision(const base::ZoneId& zone) const;
  /// @return the sum of the revisions of all zones.
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
    std::uint64_t revision = 0;  ///< Number of changes so far.
    template <class Archive>
    void serialize(Archive& archive) {
      archive(evacuated, revision);
    }
  };

  /// Serializes the optional fields. They stand at the end and are omitted if empty, so that
  /// snapshots without them stay readable and take no more bytes.
  template <class Archive>
  void serializeRest(Archive& archive);

  void store(const WorkerRecord& worker);
  void store(const StoreZoneEvacuation& change);
  void forget(const WorkerId& id);
  void raise(std::uint32_t level);
  void noteVersion(const std::string& service, const std::string& version);
  void addToIndex(const WorkerRecord& worker);
  void removeFromIndex(const WorkerRecord& worker);
  void buildIndex();
  void noteChange(const WorkerId& id);
  std::size_t maxForgotten() const;

  std::uint64_t documentVersion_ = 0;
  std::string documentText_;
  Workers workers_;
  std::map<WorkerId, std::vector<HeldModel>> holdings_;  ///< Holdings of registered workers.
  std::deque<WorkerId> forgotten_;                       ///< Oldest first, bounded.
  base::ServerId orderHolder_;
  std::map<WorkerId, base::ServerId> lastOrderedBy_;  ///< Registered workers only.
  RequestCrashLedger requestCrashes_;
  std::uint32_t featureLevel_ = 0;
  std::map<base::ZoneId, ZoneState> zones_;  ///< Zones that have ever been evacuated.
  std::uint64_t zoneChanges_ = 0;
  /// @name Software versions; kept from feature level `kSoftwareVersions` on
  /// @{
  bool versionsKnown_ = false;  ///< False if workers were forgotten before.
  /// The only version by service; empty: several, or it will never be known. Bounded.
  std::map<std::string, std::string> versions_;
  /// @}
  std::map<PromptPartDigest, std::uint32_t> refusedParts_;  ///< Bounded.

  // Derived from the above, therefore not in a snapshot.
  std::map<std::string, std::set<WorkerId>> idsByName_;  ///< Registered workers only.
  std::map<base::Endpoint, std::set<WorkerId>> idsByEndpoint_;
  std::map<std::string, std::size_t> unknownVersions_;  ///< Such workers by service; never 0.
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
    if (featureLevel_ >= feature::kSoftwareVersions) {
      archive(versionsKnown_, versions_);
    }
    if (featureLevel_ >= feature::kPromptParts) {
      archive(refusedParts_);
    }
  } else {
    if (archive.remaining() > 0) {
      archive(requestCrashes_);
    }
    if (archive.remaining() > 0) {
      archive(featureLevel_, zones_, zoneChanges_);
    }
    if (featureLevel_ >= feature::kSoftwareVersions) {
      archive(versionsKnown_, versions_);
    }
    if (featureLevel_ >= feature::kPromptParts) {
      archive(refusedParts_);
    }
  }
}

}  // namespace walnut::registry
