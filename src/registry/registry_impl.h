#pragma once
/// @file
/// Implementation of a registry server.

#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "registry/call_table.h"
#include "registry/cell_state.h"
#include "registry/document_cache.h"
#include "registry/document_confirmer.h"
#include "registry/heartbeat_relay.h"
#include "registry/hold_up_detector.h"
#include "registry/join_progress.h"
#include "registry/leader_duties.h"
#include "registry/leadership_proof.h"
#include "registry/membership_policy.h"
#include "registry/order_times.h"
#include "registry/registration_times.h"
#include "walnut/registry/registry.h"

namespace walnut::registry {

/// Decision logic of one registry server. Any server accepts calls; the leader decides them. A call
/// that changes something is answered once its log entry is committed by a majority larger than the
/// number of disks that may be lost. Gateways are served only by the leader, once it has applied
/// all entries committed before its term.
class RegistryImpl : public Registry {
 public:
  RegistryImpl(const RegistryOptions& options, consensus::RecoveredState recovered,
               const consensus::Membership& founders, const DocumentReader& reader,
               runtime::EventLog& log, std::uint64_t seed, base::TimePoint now);

  void step(base::TimePoint now, const RegistryInput& input) override;
  RegistryOutputs takeOutputs() override;
  base::TimePoint nextWakeup() const override;
  consensus::RaftStatus raftStatus() const override { return raft_->status(); }
  WorkerTimingMaxima timingMaxima() const override;
  LeaderFigures leaderFigures() const override;
  bool isServing() const override { return isActiveLeader(); }

 private:
  /// A call that waits for the confirmation of its linearizable read.
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
  void handle(const Persisted& input);
  void handle(const Tick&) {}
  void handle(const PlannedShutdown&);

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
  void receiveBody(protocol::ConnectionId from, const DocumentPartAck& message);
  void receiveBody(protocol::ConnectionId from, const ConfirmDocument& message);
  void receiveBody(protocol::ConnectionId from, const QuotaRequest& message);
  void receiveBody(protocol::ConnectionId from, const LimitReport& message);
  void receiveBody(protocol::ConnectionId from, const ShareRequest& message);
  void receiveBody(protocol::ConnectionId from, const WorkerTimingReport& message);
  void receiveBody(protocol::ConnectionId from, const CutPartsReport& message);
  void receiveBody(protocol::ConnectionId from, const PartsAnswered& message);
  void receiveBody(protocol::ConnectionId from, const StreamsBegan& message);
  void receiveBody(protocol::ConnectionId from, const FindStreamOrigin& message);
  void receiveBody(protocol::ConnectionId from, const StartingRetriesRequest& message);
  void receiveBody(protocol::ConnectionId from, const HeartbeatBatch& message);
  void receiveBody(protocol::ConnectionId from, const HeartbeatRequest& message);
  void receiveBody(protocol::ConnectionId, const DocumentConfirmed&) {}
  void receiveBody(protocol::ConnectionId, const QuotaGrant&) {}
  void receiveBody(protocol::ConnectionId, const ShareGrant&) {}
  void receiveBody(protocol::ConnectionId, const WorkerTimings&) {}
  void receiveBody(protocol::ConnectionId, const StartingRetries&) {}
  void receiveBody(protocol::ConnectionId, const LateModels&) {}
  void receiveBody(protocol::ConnectionId, const ModelForecasts&) {}
  void receiveBody(protocol::ConnectionId from, const VersionDemand& message);
  void receiveBody(protocol::ConnectionId from, const MarkView& message);
  void receiveBody(protocol::ConnectionId, const StreamOriginFound&) {}
  void receiveBody(protocol::ConnectionId, const DocumentPart&) {}
  void receiveBody(protocol::ConnectionId, const NotLeading&) {}
  void receiveBody(protocol::ConnectionId, const ViewUpdate&) {}
  void receiveBody(protocol::ConnectionId, const PackedView&) {}
  void receiveBody(protocol::ConnectionId, const SuspectList&) {}
  void receiveBody(protocol::ConnectionId, const SuspectPartList&) {}

  void dropUnsupported(WorkerRecord& worker) const;
  bool relay(std::uint64_t call, const ReportAlive& body);
  void sendHeartbeats();
  bool hasLeaderContact() const;
  base::ZoneId zoneOf(const consensus::Member& member) const;
  base::Endpoint preferredServerFor(const WorkerRecord& worker) const;
  /// Accepts a call, unless it is a heartbeat and too many calls are waiting.
  void take(WaitingCall call);

  // Calls, at the leader
  void decide(std::uint64_t call, const ReplaceDocument& body);
  void decide(std::uint64_t call, const ReadDocument& body);
  void decide(std::uint64_t call, const ReportAlive& body);
  void decide(std::uint64_t call, const ReportGone& body);
  void decide(std::uint64_t call, const EvacuateZone& body);
  /// @return the log entry that the call waits for; nothing if this server no longer leads.
  std::optional<consensus::LogIndex> propose(std::uint64_t call, const Command& command);
  void answer(std::uint64_t call, ControlAnswer answer);
  void answerDone(std::uint64_t call);
  void answerApplied(std::uint64_t call);
  void answerRegistered(std::uint64_t call, const WorkerRecord& worker);
  bool knowsZone(const base::ZoneId& zone) const;
  void answerUnavailable(std::uint64_t call, std::string_view reason);

  // Periodic tasks
  void followLeadership();
  void beginLeading(const consensus::RaftStatus& status);
  void endLeading();
  void handOverCalls();
  void expireCalls();
  void answerReads();
  void confirmDocuments();
  void applyEntries(const std::vector<consensus::LogEntry>& entries);
  void applyEntry(const consensus::LogEntry& entry);
  void setUnreadable(consensus::LogIndex index, const base::Error& error);
  void recordRegistration(const Command& command, consensus::LogIndex index);
  void recordSuccession(const Command& command);
  void noteApplied(const Command& command, consensus::LogIndex index);
  void noteOrdered(const StoreOrderedWorkers& ordered, consensus::LogIndex index);
  void takeSnapshotIfDue();
  void updateMembership();
  void raiseFeatureLevel();
  /// @return the feature level that a server has announced to this process; 0: none.
  std::uint32_t levelOf(base::ServerId server) const;
  bool isOfLowerLevel(base::ServerId server) const;
  void requestJoin();
  static bool isMember(const consensus::RaftStatus& status);
  void runTasks();
  bool toleratesLosses() const;
  bool isActiveLeader() const { return leading_ != nullptr && activeIndex_ <= appliedIndex_; }
  std::vector<base::Endpoint> serverEndpoints() const;
  // Gateways (registry_gateways.cpp).
  /// Tells the gateway that this server doesn't lead.
  void refuseGateway(protocol::ConnectionId gateway);
  void subscribe(protocol::ConnectionId gateway, const Subscribe& request);
  void acceptSubscriptions();
  void logWaitingGateways();
  void runDuties();
  std::optional<base::Endpoint> peerEndpointOf(base::ServerId server) const;
  void noteMembership();
  void noteOwnRole(const consensus::RaftStatus& status);
  void noteJoinStep(JoinStep step);
  MembershipPolicy makeMembershipPolicy(const consensus::RaftStatus& status) const;
  /// @return the voters that were not heard lately, with the milliseconds since.
  std::string describeSilentVoters() const;
  void logElection(const consensus::ElectionReport& election);

  const RegistryOptions options_;
  DocumentCache documents_;
  runtime::EventLog& log_;
  base::TimePoint now_;
  std::unique_ptr<consensus::Raft> raft_;
  CellState state_;
  consensus::LogIndex appliedIndex_ = 0;
  std::optional<base::Error> unreadable_;  ///< If set, nothing more is applied or sent.
  std::size_t bytesSinceSnapshot_ = 0;
  std::size_t snapshotBytes_ = 0;  ///< Size of the last snapshot that this server took.
  std::vector<RegistryAction> actions_;

  CallTable calls_;
  HeartbeatRelay relay_;         ///< Used while another server leads.
  bool callsRemaining_ = false;  ///< Some calls wait for the next event loop iteration.
  std::map<consensus::LogIndex, std::vector<std::uint64_t>> callsByEntry_;  ///< Leader only.
  std::vector<PendingRead> reads_;                                          ///< Leader only.

  /// Properties that a peer announced in its Hello.
  struct Peer {
    std::uint32_t featureLevel = 0;
    base::ZoneId zone;
  };
  std::map<base::ServerId, Peer> peers_;  ///< Other servers, by their latest connections.
  std::map<protocol::ConnectionId, Peer> gatewayPeers_;  ///< Connected gateways.

  // State of this server's present leadership.
  std::unique_ptr<LeaderDuties> leading_;
  consensus::LogIndex activeIndex_ = 0;  ///< Index of this leader's own first entry.
  std::optional<MembershipPolicy> membershipPolicy_;
  DocumentConfirmer confirmer_;
  struct WaitingSubscription {
    Subscribe request;
    LeadershipProof proof;  ///< Begun when it came.
    base::TimePoint since;
  };
  std::map<protocol::ConnectionId, WaitingSubscription> waitingSubscriptions_;
  base::TimePoint nextWaitLogAt_;
  LeadershipProof sendingProof_;  ///< Begun when gateways were last sent something.
  std::uint64_t pendingDocumentVersion_ = 0;
  consensus::LogIndex pendingDocumentIndex_ = 0;
  std::uint32_t proposedLevel_ = 0;
  /// A worker's record whose log entry is not applied yet.
  struct PendingWorker {
    WorkerRecord record;
    consensus::LogIndex index = 0;
  };
  std::map<WorkerId, PendingWorker> pendingWorkers_;

  // Role, leader and membership as last written to the event log.
  consensus::Role lastRole_ = consensus::Role::follower;
  base::ServerId lastLeader_;
  consensus::LogIndex lastMembershipIndex_ = 0;
  bool isReplacing_ = false;  ///< The last membership has two sets of voters.
  /// A change that had to wait for the commit index to advance.
  struct WaitingChange {
    consensus::Membership next;
    consensus::LogIndex commitIndex = 0;
  };
  std::optional<WaitingChange> waitingChange_;

  /// When this process last saw a server take over the order lease.
  std::optional<base::TimePoint> lastTakeoverAt_;
  OrderTimes orderTurns_;
  RegistrationTimes registrations_;
  const consensus::LogIndex recoveredIndex_;  ///< Last entry of the recovered log.
  const base::TimePoint startedAt_;
  base::TimePoint lastLeaderContact_;
  base::TimePoint nextJoinAt_;
  HoldUpDetector holdUps_;
  /// When this server last heard from another one in messages of consensus.
  std::map<base::ServerId, base::TimePoint> lastHeard_;
  base::ServerId formerLeader_;     ///< The last other server that led.
  base::TimePoint candidateSince_;  ///< When this server last ceased to follow.
  JoinProgress joinProgress_;
  std::vector<base::Endpoint> learnedEndpoints_;  ///< Learned from answers to join requests.
};

}  // namespace walnut::registry
