#pragma once
/// @file
/// What a router keeps of the cell's state: only what routing depends on, in compact records.

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "walnut/protocol/messages.h"
#include "walnut/routing/router.h"

namespace walnut::routing {

/// A replica that may be given new work.
struct ReadyReplica {
  base::ReplicaId id;
  base::EngineId engine;
  base::Endpoint endpoint;
  base::ZoneId zone;
};

/// What changed in a view.
struct ViewChange {
  bool everything = false;        ///< The whole state was replaced.
  bool membership = false;        ///< The cell's membership changed.
  bool names = false;             ///< The names that are served changed, or may have.
  std::set<std::string> targets;  ///< Names whose servable or replicas may have changed.
  std::set<base::EngineId> engines;
};

/// Tens of thousands of replicas name thousands of servables and engines, and each of these names
/// is kept once: a record of a replica points to the entries of its servable and its engine. Maps
/// don't move their entries, so the pointers stay valid; the contents are moved, never copied.
///
/// Invariants: each replica stands in the lists of its servable and its engine, and in no other
/// list; a servable's entry is there while it has replicas, an engine's while the engine is known
/// or has replicas; a list of ready replicas that is kept is as of the present contents.
class ViewContents {
 public:
  ViewContents() = default;
  ViewContents(const ViewContents&) = delete;
  ViewContents& operator=(const ViewContents&) = delete;
  ViewContents(ViewContents&&) = default;
  ViewContents& operator=(ViewContents&&) = default;

  /// Applies one change. @param touched what changed is added to it.
  void apply(const protocol::Change& change, ViewChange& touched);
  /// Adds everything that is there.
  void touchAll(ViewChange& touched) const;

  const consensus::Membership& membership() const { return membership_; }
  consensus::LogIndex membershipIndex() const { return membershipIndex_; }
  /// @name As in ClusterView
  /// @{
  std::optional<resource::Servable> resolve(const std::string& target) const;
  bool declaresVersion(const resource::Servable& servable) const;
  const std::vector<ReadyReplica>& readyReplicas(const resource::Servable& servable) const;
  const resource::Engine* engine(const base::EngineId& id) const;
  std::vector<const resource::Engine*> enginesThatTakeWork() const;
  bool takesWork(const resource::Engine& engine) const;
  std::vector<ServedName> servedNames() const;
  /// @}

  /// Drops all lists of ready replicas if they hold more than kMaxKeptReady. What readyReplicas
  /// returned is no longer valid.
  void boundReadyLists();

 private:
  /// Of all lists together, at some 112 bytes each: less than 1 MB. Those of the models that are
  /// asked for each second fit; making the list of a hundred replicas takes some 10 us.
  static constexpr std::size_t kMaxKeptReady = 8192;

  struct Model {
    std::string activeVersion;
    resource::Version version = 0;
  };
  struct Adapter {
    std::string model;
    resource::Version version = 0;
  };
  using ReplicaIds = std::vector<base::ReplicaId>;  ///< In order.
  /// Replicas of one model version, or of one adapter over it.
  struct ServableReplicas {
    ReplicaIds ids;
    /// Answer of readyReplicas, if it was asked for since the last change that touched it.
    mutable std::optional<std::vector<ReadyReplica>> ready;
  };
  struct ModelVersion {
    std::string model;
    std::string version;
    auto operator<=>(const ModelVersion&) const = default;
  };
  using AdapterReplicas = std::map<std::string, ServableReplicas>;
  struct VersionReplicas {
    ServableReplicas own;
    AdapterReplicas adapters;
  };
  using ServableTable = std::map<ModelVersion, VersionReplicas>;
  struct EngineEntry {
    std::optional<resource::Engine> known;  ///< Without what routing does not need.
    ReplicaIds replicas;
  };
  using EngineTable = std::map<base::EngineId, EngineEntry>;
  struct Replica {
    ServableTable::value_type* version = nullptr;
    AdapterReplicas::value_type* adapter = nullptr;  ///< nullptr: the model itself.
    EngineTable::value_type* engine = nullptr;
    base::Incarnation incarnation;
    bool ready = false;
  };

  void apply(const protocol::ResourceChanged& change, ViewChange& touched);
  void apply(const protocol::ResourceDeleted& change, ViewChange& touched);
  void apply(const protocol::EngineChanged& change, ViewChange& touched);
  void apply(const protocol::EngineRemoved& change, ViewChange& touched);
  void apply(const protocol::ReplicaChanged& change, ViewChange& touched);
  void apply(const protocol::ReplicaRemoved& change, ViewChange& touched);
  void apply(const protocol::MembershipChanged& change, ViewChange& touched);

  void touchModel(const std::string& model, ViewChange& touched) const;
  void touchEngine(const base::EngineId& engine, ViewChange& touched);
  void touchReplica(const Replica& replica, ViewChange& touched);
  void dropReady(const ServableReplicas& replicas);
  void removeReplica(base::ReplicaId id, ViewChange& touched);
  void dropUnused(const Replica& replica);
  void dropUnused(const base::EngineId& engine);
  const ServableReplicas* findServable(const resource::Servable& servable) const;
  bool takesWork(const Replica& replica) const;
  std::vector<ReadyReplica> findReady(const ReplicaIds& ids) const;

  static ServableReplicas& listOf(const Replica& replica);
  static const std::string& targetOf(const Replica& replica);

  std::map<std::string, Model> models_;
  std::map<std::string, Adapter> adapters_;
  std::map<std::string, std::string> modelOfVersion_;
  std::set<base::EngineId> drained_;
  ServableTable servables_;
  EngineTable engines_;
  std::unordered_map<base::ReplicaId, Replica> replicas_;
  mutable std::size_t keptReady_ = 0;  ///< Replicas in all lists of ready ones.
  consensus::Membership membership_;
  consensus::LogIndex membershipIndex_ = 0;
};

}  // namespace walnut::routing
