#pragma once
/// @file
/// A server of the registry.

#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "registry/call_table.h"
#include "registry/cell_keeper.h"
#include "registry/cell_state.h"
#include "registry/document_cache.h"
#include "registry/document_confirmer.h"
#include "registry/heartbeat_relay.h"
#include "registry/leader_duties.h"
#include "registry/order_turns.h"
#include "registry/registration_times.h"
#include "walnut/registry/registry.h"

namespace walnut::registry {

/// Any server takes calls; the leader decides them. A call that changes something is answered once
/// its entry is committed by a majority that is larger than the disks which may be lost. Gateways
/// are served by the leader, once it has applied all that was committed before its term.
class RegistryImpl : public Registry {
 public:
  RegistryImpl(const RegistryOptions& options, consensus::RecoveredState recovered,
               const consensus::Membership& founders, const DocumentReader& reader,
               runtime::EventLog& log, std::uint64_t seed, base::TimePoint now);

  void step(base::TimePoint now, const RegistryInput& input) override;
  RegistryOutputs takeOutputs() override;
  base::TimePoint nextWakeup() const override;
  consensus::RaftStatus raftStatus() const override { return raft_->status(); }

 private:
  /// A call that waits for a log entry, or for a read to be confirmed.
  struct PendingRead {
    std::uint64_t call = 0;
    std::uint64_t token = 0;
  };

  // Inputs
  void handle(const LinkOpened& input);
  void handle(const LinkClosed& input);
  void handle(const LinkReceived& input);
  void handle(const CallReceived& input);
  void handle(const OrderFinished& input);
  void handle(const ReportFinished& input);
  void handle(const Persisted&);
  void handle(const Tick&) {}
  void handle(const PlannedStop&);

  // Messages
  void receive(protocol::ConnectionId from, const consensus::Message& message);
  void receive(protocol::ConnectionId from, const RegistryMessage& message);
  template <class Other>
  void receive(protocol::ConnectionId, const Other&) {}
  void receiveBody(protocol::ConnectionId from, const ForwardedCall& message);
  void receiveBody(protocol::ConnectionId from, const ForwardedAnswer& message);
  void receiveBody(protocol::ConnectionId from, const JoinRequest& message);
  void receiveBody(protocol::ConnectionId from, const JoinReply& message);
  void receiveBody(protocol::ConnectionId from, const Subscribe& message);
  void receiveBody(protocol::ConnectionId from, const DemandUpdate& message);
  void receiveBody(protocol::ConnectionId from, const CutReport& message);
  void receiveBody(protocol::ConnectionId from, const DocumentPartTaken& message);
  void receiveBody(protocol::ConnectionId from, const ConfirmDocument& message);
  void receiveBody(protocol::ConnectionId from, const QuotaRequest& message);
  void receiveBody(protocol::ConnectionId from, const LimitReport& message);
  void receiveBody(protocol::ConnectionId from, const ShareRequest& message);
  void receiveBody(protocol::ConnectionId from, const HeartbeatBatch& message);
  void receiveBody(protocol::ConnectionId from, const HeartbeatsWanted& message);
  void receiveBody(protocol::ConnectionId, const DocumentConfirmed&) {}
  void receiveBody(protocol::ConnectionId, const QuotaGrant&) {}
  void receiveBody(protocol::ConnectionId, const ShareGrant&) {}
  void receiveBody(protocol::ConnectionId, const LateModels&) {}
  void receiveBody(protocol::ConnectionId, const DocumentPart&) {}
  void receiveBody(protocol::ConnectionId, const NotLeading&) {}
  void receiveBody(protocol::ConnectionId, const ViewUpdate&) {}
  void receiveBody(protocol::ConnectionId, const PackedView&) {}
  void receiveBody(protocol::ConnectionId, const SuspectList&) {}

  bool relay(std::uint64_t call, const ReportAlive& body);
  void tellHeartbeats();
  bool hearsLeader() const;
  base::ZoneId zoneOf(const consensus::Member& member) const;
  base::Endpoint homeOf(const WorkerRecord& worker) const;
  /// A call that came, if there is room for it.
  void take(WaitingCall call);

  // Calls, at the leader
  void decide(std::uint64_t call, const ReplaceDocument& body);
  void decide(std::uint64_t call, const ReadDocument& body);
  void decide(std::uint64_t call, const ReportAlive& body);
  void decide(std::uint64_t call, const ReportGone& body);
  void decide(std::uint64_t call, const EvacuateZone& body);
  /// @return the entry that the call waits for; nothing if this server doesn't lead any more.
  std::optional<consensus::LogIndex> propose(std::uint64_t call, const Command& command);
  void answer(std::uint64_t call, ControlAnswer answer);
  void answerDone(std::uint64_t call);
  void answerApplied(std::uint64_t call);
  void answerRegistered(std::uint64_t call, const WorkerRecord& worker);
  bool knowsZone(const base::ZoneId& zone) const;
  void answerUnavailable(std::uint64_t call, std::string_view reason);

  // Duties
  void followLeadership();
  void beginLeading(const consensus::RaftStatus& status);
  void endLeading();
  void handOverCalls();
  void expireCalls();
  void answerReads();
  void confirmDocuments();
  void applyEntries(const std::vector<consensus::LogEntry>& entries);
  void applyEntry(const consensus::LogEntry& entry);
  void noteUnreadable(consensus::LogIndex index, const base::Error& error);
  void noteRegistration(const Command& command, consensus::LogIndex index);
  void noteSuccession(const Command& command);
  void noteApplied(const Command& command, consensus::LogIndex index);
  void noteOrdered(const StoreOrderedWorkers& ordered, consensus::LogIndex index);
  void takeSnapshotIfDue();
  void keepCell();
  void raiseFeatureLevel();
  /// @return the level that a server has said it knows; 0: it has said none to this process.
  std::uint32_t levelOf(base::ServerId server) const;
  bool isOfLowerLevel(base::ServerId server) const;
  void askToJoin();
  void runDuties();
  bool durableBeyondLosses() const;
  bool leadingActively() const { return leading_ != nullptr && activeIndex_ <= appliedIndex_; }
  std::vector<base::Endpoint> serverEndpoints() const;
  std::optional<base::Endpoint> peerEndpointOf(base::ServerId server) const;
  void noteMembership();

  const RegistryOptions options_;
  DocumentCache documents_;
  runtime::EventLog& log_;
  base::TimePoint now_;
  std::unique_ptr<consensus::Raft> raft_;
  CellState state_;
  consensus::LogIndex appliedIndex_ = 0;
  std::optional<base::Error> unreadable_;  ///< Then nothing is applied or sent any more.
  std::size_t bytesSinceSnapshot_ = 0;
  std::size_t snapshotBytes_ = 0;  ///< Of the last one that this server took.
  std::vector<RegistryAction> actions_;

  CallTable calls_;
  HeartbeatRelay relay_;    ///< While another server leads.
  bool callsLeft_ = false;  ///< Some wait for this server's next turn.
  std::map<consensus::LogIndex, std::vector<std::uint64_t>> callsByEntry_;  ///< At the leader.
  std::vector<PendingRead> reads_;                                          ///< At the leader.

  /// What a peer has said of itself.
  struct Peer {
    std::uint32_t featureLevel = 0;
    base::ZoneId zone;
  };
  std::map<base::ServerId, Peer> peers_;  ///< Other servers, on their latest connections.
  std::map<protocol::ConnectionId, Peer> gatewayPeers_;  ///< Gateways that are linked.

  // Of the present leadership of this server.
  std::unique_ptr<LeaderDuties> leading_;
  consensus::LogIndex activeIndex_ = 0;  ///< The leader's first own entry.
  std::optional<CellKeeper> keeper_;
  DocumentConfirmer confirmer_;
  std::uint64_t pendingDocumentVersion_ = 0;
  consensus::LogIndex pendingDocumentIndex_ = 0;
  std::uint32_t proposedLevel_ = 0;
  /// A worker's record that is in the log and not applied yet.
  struct PendingWorker {
    WorkerRecord record;
    consensus::LogIndex index = 0;
  };
  std::map<WorkerId, PendingWorker> pendingWorkers_;

  // What this server believes, as last logged.
  consensus::Role lastRole_ = consensus::Role::follower;
  base::ServerId lastLeader_;
  consensus::LogIndex lastMembershipIndex_ = 0;

  /// When another server took the turn to order, while this one ran.
  std::optional<base::TimePoint> lastTurnAt_;
  OrderTurns orderTurns_;
  RegistrationTimes registrations_;
  const consensus::LogIndex recoveredIndex_;  ///< The last entry of the log as it was recovered.
  const base::TimePoint startedAt_;
  base::TimePoint leaderHeardAt_;
  base::TimePoint nextJoinAt_;
  std::vector<base::Endpoint> learnedEndpoints_;  ///< From answers to requests to join.
};

}  // namespace walnut::registry
