#pragma once
/// @file
/// Contents of a router's copy of the cell's state: only what routing depends on, in compact
/// records.

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "walnut/protocol/messages.h"
#include "walnut/routing/router.h"

namespace walnut::routing {

/// Replica that may be given new work.
struct ReadyReplica {
  base::ReplicaId id;
  base::EngineId engine;
  base::Endpoint endpoint;
  base::ZoneId zone;
};

/// Set of changes of a view since they were last taken.
struct ViewChange {
  bool everything = false;        ///< The whole state was replaced.
  bool membership = false;        ///< The cell's membership changed.
  bool names = false;             ///< The served names changed, or may have changed.
  std::set<std::string> targets;  ///< Names whose servable or replicas may have changed.
  std::set<base::EngineId> engines;
};

/// Tables of models, adapters, engines and replicas. Tens of thousands of replicas refer to
/// thousands of servables and engines, and each of these names is stored once: the record of a
/// replica points to the entries of its servable and its engine. Maps don't move their entries, so
/// the pointers stay valid; the contents are moved, never copied.
///
/// Invariants: each replica is in the lists of its servable and its engine, and in no other list; a
/// servable has an entry while it has replicas, an engine while it is known or has replicas; a
/// cached list of ready replicas matches the current contents.
class ViewContents {
 public:
  ViewContents() = default;
  ViewContents(const ViewContents&) = delete;
  ViewContents& operator=(const ViewContents&) = delete;
  ViewContents(ViewContents&&) = default;
  ViewContents& operator=(ViewContents&&) = default;

  /// Applies one change.
  /// @param touched receives what has changed.
  void apply(const protocol::Change& change, ViewChange& touched);
  /// Adds all names and engines to `touched`.
  void markAllChanged(ViewChange& touched) const;

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

  /// Drops all cached lists of ready replicas if they hold more than kMaxCachedReady. References
  /// that readyReplicas returned become invalid.
  void limitReadyCache();

 private:
  /// Limit over all cached lists, at about 112 bytes a replica: less than 1 MB. The lists of the
  /// models that are requested every second fit; building the list of a hundred replicas takes
  /// about 10 us.
  static constexpr std::size_t kMaxCachedReady = 8192;

  struct Model {
    std::string activeVersion;
    resource::Version version = 0;
  };
  struct Adapter {
    std::string model;
    resource::Version version = 0;
  };
  using ReplicaIds = std::vector<base::ReplicaId>;  ///< Sorted.
  /// Replicas of one model version, or of one adapter based on it.
  struct ServableReplicas {
    ReplicaIds ids;
    /// Cached result of readyReplicas; absent if it was not requested since the last change that
    /// affects it.
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
    std::optional<resource::Engine> known;  ///< Without the fields that routing does not need.
    ReplicaIds replicas;
  };
  using EngineTable = std::map<base::EngineId, EngineEntry>;
  struct Replica {
    ServableTable::value_type* version = nullptr;
    AdapterReplicas::value_type* adapter = nullptr;  ///< nullptr for the model itself.
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
  void invalidateReady(const ServableReplicas& replicas);
  void removeReplica(base::ReplicaId id, ViewChange& touched);
  void eraseIfUnused(const Replica& replica);
  void eraseIfUnused(const base::EngineId& engine);
  const ServableReplicas* findServable(const resource::Servable& servable) const;
  bool takesWork(const Replica& replica) const;
  std::vector<ReadyReplica> findReady(const ReplicaIds& ids) const;

  static ServableReplicas& servableReplicasOf(const Replica& replica);
  static const std::string& targetOf(const Replica& replica);

  std::map<std::string, Model> models_;
  std::map<std::string, Adapter> adapters_;
  std::map<std::string, std::string> modelOfVersion_;
  std::set<base::EngineId> drainedEngines_;
  ServableTable servables_;
  EngineTable engines_;
  std::unordered_map<base::ReplicaId, Replica> replicas_;
  mutable std::size_t cachedReady_ = 0;  ///< Number of replicas in all cached lists.
  consensus::Membership membership_;
  consensus::LogIndex membershipIndex_ = 0;
};

}  // namespace walnut::routing
