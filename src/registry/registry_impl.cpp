#include "registry/registry_impl.h"

#include <algorithm>
#include <utility>

#include "walnut/factories.h"
#include "walnut/registry/feature_level.h"

namespace walnut::registry {

namespace {

using consensus::Role;
using runtime::LogEvent;

std::string_view roleName(Role role) {
  switch (role) {
    case Role::follower:
      return "follower";
    case Role::preCandidate:
      return "pre-candidate";
    case Role::candidate:
      return "candidate";
    case Role::leader:
      return "leader";
  }
  return "unknown";
}

protocol::Message wrap(MessageBody body) { return RegistryMessage{std::move(body)}; }

}  // namespace

RegistryImpl::RegistryImpl(const RegistryOptions& options, consensus::RecoveredState recovered,
                           const consensus::Membership& founders, const DocumentReader& reader,
                           runtime::EventLog& log, std::uint64_t seed, base::TimePoint now)
    : options_([&options, &recovered] {
        RegistryOptions own = options;
        own.self.id = recovered.self;
        own.raft.announcesVotes = true;
        if (!options.ordersFenced) {
          own.raft.firstElectionTimeout =
              firstElectionTimeout(options.raft, recovered.self, recoveredOrderHolder(recovered));
        }
        return own;
      }()),
      documents_(reader),
      log_(log),
      now_(now),
      raft_(consensus::makeRaft(options_.raft, std::move(recovered), founders, seed, now)),
      orderTurns_(now),
      recoveredIndex_(raft_->status().lastIndex),
      startedAt_(now),
      lastLeaderContact_(now),
      holdUps_(now),
      candidateSince_(now) {
  if (!isMember(raft_->status())) {
    // No leader will make contact before this server asks for admission.
    lastLeaderContact_ -= options_.joinAfterSilence;
  }
}

void RegistryImpl::step(base::TimePoint now, const RegistryInput& input) {
  now_ = std::max(now_, now);
  if (const base::Duration late = holdUps_.ran(now_); late > base::Duration::zero()) {
    raft_->heldUp(now_, late);
  }
  raft_->tick(now_);
  std::visit([this](const auto& body) { handle(body); }, input);
}

RegistryOutputs RegistryImpl::takeOutputs() {
  raft_->tick(now_);
  if (leading_ != nullptr && isReplacing_) {
    updateMembership();  // Before the leader ends a replacement on which another one may follow.
  }
  consensus::RaftOutputs raftOutputs = raft_->takeOutputs();
  RegistryOutputs outputs;
  outputs.persist = std::move(raftOutputs.persist);
  for (const consensus::ElectionReport& election : raftOutputs.elections) {
    logElection(election);
  }
  outputs.elections = std::move(raftOutputs.elections);
  for (consensus::Message& message : raftOutputs.messages) {
    // A server that is being admitted answers a leader that is not in its membership yet. Such an
    // answer has no endpoint and goes over the connection that the leader opened.
    const base::ServerId to = message.to;
    if (std::holds_alternative<consensus::VoteAnnouncement>(message.body) &&
        levelOf(to) < feature::kVoteAnnouncements) {
      continue;
    }
    const base::Endpoint endpoint = peerEndpointOf(to).value_or(base::Endpoint{});
    actions_.emplace_back(control::SendToServer{to, endpoint, std::move(message)});
  }
  if (raftOutputs.installed) {
    const auto restored = state_.restore(raftOutputs.installed->data);
    if (restored.has_error()) {
      setUnreadable(raftOutputs.installed->lastIndex, restored.error());
    }
    appliedIndex_ = raftOutputs.installed->lastIndex;
    bytesSinceSnapshot_ = 0;
    orderTurns_.restored(now_);
  }
  applyEntries(raftOutputs.committed);
  if (unreadable_) {
    RegistryOutputs failed;
    failed.unreadable = unreadable_;
    return failed;
  }
  followLeadership();
  runTasks();
  outputs.actions = std::exchange(actions_, {});
  outputs.joinSteps = joinProgress_.takeSteps();
  return outputs;
}

base::TimePoint RegistryImpl::nextWakeup() const {
  if (callsRemaining_) {
    return now_;
  }
  base::TimePoint next = std::min({raft_->nextWakeup(), calls_.nextDeadline(), holdUps_.nextRun()});
  if (leading_ != nullptr) {
    next = std::min({next, leading_->nextWakeup(), confirmer_.nextRound()});
  } else {
    next = std::min(next, relay_.nextBatch());
    next = std::min(next, std::max(nextJoinAt_, lastLeaderContact_ + options_.joinAfterSilence));
  }
  return next;
}

// Inputs

void RegistryImpl::handle(const LinkOpened& input) {
  if (input.hello.role == protocol::PeerRole::controller) {
    peers_[{input.hello.id}] = {input.hello.featureLevel, input.hello.zone};
  } else {
    gatewayPeers_[input.connection] = {input.hello.featureLevel, input.hello.zone};
  }
}

void RegistryImpl::handle(const LinkClosed& input) {
  gatewayPeers_.erase(input.connection);
  waitingSubscriptions_.erase(input.connection);
  if (leading_ != nullptr) {
    leading_->unsubscribe(input.connection);
  }
}

void RegistryImpl::handle(const LinkReceived& input) {
  std::visit([this, &input](const auto& body) { receive(input.connection, body); }, input.message);
}

void RegistryImpl::handle(const CallReceived& input) {
  const bool document = std::holds_alternative<ReplaceDocument>(input.body) ||
                        std::holds_alternative<ReadDocument>(input.body);
  const base::Duration timeout = document ? options_.documentTimeout : options_.callTimeout;
  ControlCall body = input.body;
  if (auto* alive = std::get_if<ReportAlive>(&body)) {
    dropUnsupported(alive->heartbeat.worker);
    if (relay(input.call, *alive)) {
      return;
    }
  }
  if (auto* evacuation = std::get_if<EvacuateZone>(&body)) {
    evacuation->basedOn = state_.zoneRevision(evacuation->zone);
  }
  take({{std::nullopt, input.call}, std::move(body), now_ + timeout});
}

/// Removes what servers of the cell may not be able to decode. All heartbeats pass here before they
/// reach another server or the log.
void RegistryImpl::dropUnsupported(WorkerRecord& worker) const {
  if (state_.featureLevel() < feature::kSoftwareVersions) {
    worker.softwareVersion.clear();
  }
}

void RegistryImpl::handle(const OrderFinished& input) {
  if (leading_ != nullptr) {
    leading_->orderFinished(input, now_);
  }
}

void RegistryImpl::handle(const ReportFinished& input) {
  if (leading_ != nullptr) {
    leading_->reportFinished(input, now_);
  }
}

void RegistryImpl::handle(const Persisted& input) { raft_->onPersisted(now_, input.batch); }

void RegistryImpl::handle(const PlannedShutdown&) { raft_->transferLeadership(now_); }

// Messages

void RegistryImpl::receive(protocol::ConnectionId /*from*/, const consensus::Message& message) {
  lastHeard_[message.from] = now_;
  if (membershipPolicy_) {
    membershipPolicy_->recordContact(message.from, now_);
  }
  raft_->receive(now_, message);
  const consensus::RaftStatus status = raft_->status();
  if (status.leader == message.from && status.leader != base::ServerId{}) {
    lastLeaderContact_ = now_;
    formerLeader_ = message.from;
    noteJoinStep(JoinStep::leaderHeard);
  }
}

void RegistryImpl::receive(protocol::ConnectionId from, const RegistryMessage& message) {
  std::visit([this, from](const auto& body) { receiveBody(from, body); }, message.body);
}

void RegistryImpl::receiveBody(protocol::ConnectionId from, const ForwardedCall& message) {
  take({{from, message.sequence}, message.call, now_ + options_.callTimeout});
}

void RegistryImpl::receiveBody(protocol::ConnectionId /*from*/, const ForwardedAnswer& message) {
  if (message.answer.status != ControlStatus::unavailable) {
    answer(message.sequence, message.answer);
  }
}

void RegistryImpl::receiveBody(protocol::ConnectionId from, const JoinRequest& message) {
  const consensus::RaftStatus status = raft_->status();
  if (isOfLowerLevel(message.member.id)) {
    log_.write(LogEvent::callRefused,
               {{"method", "join"},
                {"path", message.member.peerEndpoint.address},
                {"error", base::errorCodeName(base::ErrorCode::unsupportedVersion)},
                {"field", "feature-level"},
                {"detail", std::to_string(levelOf(message.member.id)) + "; the cell is of level " +
                               std::to_string(state_.featureLevel())},
                {"calls", std::uint64_t{1}}});
  } else if (leading_ != nullptr) {
    membershipPolicy_->addJoinRequest(message.member, status.membership, now_);
  } else if (const auto leader = peerEndpointOf(status.leader)) {
    actions_.emplace_back(control::SendToServer{status.leader, *leader, wrap(message)});
  }
  actions_.emplace_back(control::SendToConnection{from, wrap(JoinReply{status.membership})});
}

void RegistryImpl::receiveBody(protocol::ConnectionId /*from*/, const JoinReply& message) {
  for (const consensus::Member& member : message.membership.members) {
    const bool known = std::find(learnedEndpoints_.begin(), learnedEndpoints_.end(),
                                 member.peerEndpoint) != learnedEndpoints_.end();
    if (!known) {
      learnedEndpoints_.push_back(member.peerEndpoint);
    }
  }
}

void RegistryImpl::receiveBody(protocol::ConnectionId from, const DocumentPartAck& message) {
  if (isActiveLeader()) {
    leading_->documentPartAcknowledged(from, message);
  }
}

void RegistryImpl::receiveBody(protocol::ConnectionId from, const QuotaRequest& message) {
  if (isActiveLeader() && raft_->leaseValid(now_)) {
    leading_->quotaRequested(from, message, now_);
  }
}

void RegistryImpl::receiveBody(protocol::ConnectionId from, const LimitReport& message) {
  if (isActiveLeader()) {
    leading_->handleLimitReport(from, message, now_);
  }
}

void RegistryImpl::receiveBody(protocol::ConnectionId from, const ShareRequest& message) {
  if (isActiveLeader() && raft_->leaseValid(now_)) {
    leading_->sharesRequested(from, message, now_);
  }
}

void RegistryImpl::receiveBody(protocol::ConnectionId from, const WorkerTimingReport& message) {
  if (isActiveLeader()) {
    leading_->timingsReported(from, message, now_);
  }
}

void RegistryImpl::receiveBody(protocol::ConnectionId /*from*/, const CutPartsReport& message) {
  if (isActiveLeader()) {
    leading_->cutPartsReported(message);
  }
}

void RegistryImpl::receiveBody(protocol::ConnectionId /*from*/, const PartsAnswered& message) {
  if (isActiveLeader()) {
    leading_->partsAnswered(message, now_);
  }
}

void RegistryImpl::receiveBody(protocol::ConnectionId /*from*/, const StreamsBegan& message) {
  if (isActiveLeader()) {
    leading_->streamsBegan(message, now_);
  }
}

void RegistryImpl::receiveBody(protocol::ConnectionId from, const FindStreamOrigin& message) {
  if (isActiveLeader()) {
    leading_->findStreamOrigin(from, message, now_, raft_->leaseValid(now_));
  }
}

void RegistryImpl::receiveBody(protocol::ConnectionId from, const StartingRetriesRequest& message) {
  if (isActiveLeader() && raft_->leaseValid(now_)) {
    leading_->startingRetriesRequested(from, message, now_);
  }
}

WorkerTimingMaxima RegistryImpl::timingMaxima() const {
  return leading_ == nullptr ? WorkerTimingMaxima{} : leading_->timingMaxima();
}

LeaderFigures RegistryImpl::leaderFigures() const {
  LeaderFigures figures;
  if (leading_ != nullptr) {
    figures.workers = state_.workers().size();
    figures.orderableWorkers = leading_->orderableWorkers(now_);
    figures.silentVoters =
        membershipPolicy_->silentVoters(raft_->status().membership, options_.self.id, now_);
  }
  return figures;
}

void RegistryImpl::receiveBody(protocol::ConnectionId from, const HeartbeatBatch& message) {
  if (!isActiveLeader()) {
    return;
  }
  HeartbeatRequest request = leading_->heartbeats(message, now_);
  if (!request.workers.empty()) {
    actions_.emplace_back(control::SendToConnection{from, wrap(std::move(request))});
  }
}

void RegistryImpl::receiveBody(protocol::ConnectionId /*from*/, const HeartbeatRequest& message) {
  relay_.requestFull(message);
}

void RegistryImpl::receiveBody(protocol::ConnectionId from, const DemandUpdate& message) {
  if (isActiveLeader()) {
    leading_->demand(from, message, now_);
  }
}

void RegistryImpl::receiveBody(protocol::ConnectionId from, const VersionDemand& message) {
  if (isActiveLeader()) {
    leading_->versionDemand(from, message);
  }
}

/// Without the lease another server may lead and know of newer workers.
void RegistryImpl::receiveBody(protocol::ConnectionId from, const MarkView& message) {
  if (isActiveLeader() && raft_->leaseValid(now_)) {
    leading_->markView(from, message, now_);
  }
}

void RegistryImpl::receiveBody(protocol::ConnectionId /*from*/, const CutReport& message) {
  if (isActiveLeader()) {
    leading_->cutsReported(message, now_);
  }
}

// Periodic tasks

bool RegistryImpl::toleratesLosses() const {
  return majorityExceedsLosses(raft_->status().membership, options_.tolerableLosses);
}

void RegistryImpl::followLeadership() {
  const consensus::RaftStatus status = raft_->status();
  if (status.role != lastRole_ || status.leader != lastLeader_) {
    if (lastRole_ == Role::follower) {
      candidateSince_ = now_;
    }
    log_.write(
        LogEvent::roleChanged,
        {{"role", roleName(status.role)}, {"term", status.term}, {"leader", status.leader.value}});
    lastRole_ = status.role;
    lastLeader_ = status.leader;
    relay_.leaderChanged();
  }
  noteMembership();
  if (status.role == Role::leader && leading_ == nullptr) {
    beginLeading(status);
  } else if (status.role != Role::leader && leading_ != nullptr) {
    endLeading();
  }
}

void RegistryImpl::beginLeading(const consensus::RaftStatus& status) {
  activeIndex_ = status.lastIndex;
  membershipPolicy_.emplace(makeMembershipPolicy(status));
  leading_ =
      std::make_unique<LeaderDuties>(options_, documents_, state_, status.term, status.self, log_,
                                     now_, orderTurns_, lastTakeoverAt_, &registrations_);
  sendingProof_.begin(*raft_, now_);
  pendingDocumentVersion_ = 0;
  proposedLevel_ = 0;
}

void RegistryImpl::endLeading() {
  for (const protocol::ConnectionId gateway : leading_->gateways()) {
    refuseGateway(gateway);
  }
  for (const auto& [gateway, waiting] : waitingSubscriptions_) {
    refuseGateway(gateway);
  }
  waitingSubscriptions_.clear();
  sendingProof_ = {};
  leading_.reset();
  membershipPolicy_.reset();
  waitingChange_.reset();
  confirmer_ = {};
  callsByEntry_.clear();
  pendingWorkers_.clear();
  reads_.clear();
  lastLeaderContact_ = now_;
}

void RegistryImpl::runTasks() {
  expireCalls();
  handOverCalls();
  answerReads();
  confirmDocuments();
  logWaitingGateways();
  if (leading_ != nullptr) {
    updateMembership();
    raiseFeatureLevel();
    if (isActiveLeader()) {
      runDuties();
      for (const Command& command : leading_->takeCommands()) {
        (void)raft_->propose(now_, encodeCommand(command));
      }
      for (RegistryAction& action : leading_->takeActions()) {
        actions_.push_back(std::move(action));
      }
    }
  } else {
    requestJoin();
    sendHeartbeats();
  }
  takeSnapshotIfDue();
}

std::unique_ptr<Registry> makeRegistry(const RegistryOptions& options,
                                       consensus::RecoveredState recovered,
                                       const consensus::Membership& founders,
                                       const DocumentReader& reader, runtime::EventLog& log,
                                       std::uint64_t seed, base::TimePoint now) {
  return std::make_unique<RegistryImpl>(options, std::move(recovered), founders, reader, log, seed,
                                        now);
}

}  // namespace walnut::registry
