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
      leaderHeardAt_(now) {}

void RegistryImpl::step(base::TimePoint now, const RegistryInput& input) {
  now_ = std::max(now_, now);
  raft_->tick(now_);
  std::visit([this](const auto& body) { handle(body); }, input);
}

RegistryOutputs RegistryImpl::takeOutputs() {
  raft_->tick(now_);
  consensus::RaftOutputs raftOutputs = raft_->takeOutputs();
  RegistryOutputs outputs;
  outputs.persist = std::move(raftOutputs.persist);
  for (consensus::Message& message : raftOutputs.messages) {
    // A server that is being admitted answers a leader that it does not know as a member yet: that
    // goes over the connection which the leader opened.
    const base::ServerId to = message.to;
    const base::Endpoint endpoint = peerEndpointOf(to).value_or(base::Endpoint{});
    actions_.emplace_back(control::SendToServer{to, endpoint, std::move(message)});
  }
  if (raftOutputs.installed) {
    (void)state_.restore(raftOutputs.installed->data);
    appliedIndex_ = raftOutputs.installed->lastIndex;
    bytesSinceSnapshot_ = 0;
    orderTurns_.restored(now_);
  }
  applyEntries(raftOutputs.committed);
  followLeadership();
  runDuties();
  outputs.actions = std::exchange(actions_, {});
  return outputs;
}

base::TimePoint RegistryImpl::nextWakeup() const {
  if (callsLeft_) {
    return now_;
  }
  base::TimePoint next = std::min(raft_->nextWakeup(), calls_.nextDeadline());
  if (leading_ != nullptr) {
    next = std::min({next, leading_->nextWakeup(), confirmer_.nextRound()});
  } else {
    next = std::min(next, relay_.nextBatch());
    next = std::min(next, std::max(nextJoinAt_, leaderHeardAt_ + options_.joinAfterSilence));
  }
  return next;
}

// Inputs

void RegistryImpl::handle(const LinkOpened& input) {
  if (input.hello.role == protocol::PeerRole::controller) {
    peers_[{input.hello.id}] = {input.hello.featureLevel, input.hello.zone};
  } else {
    gatewayZones_[input.connection] = input.hello.zone;
  }
}

void RegistryImpl::handle(const LinkClosed& input) {
  gatewayZones_.erase(input.connection);
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
  const auto* alive = std::get_if<ReportAlive>(&input.body);
  if (alive != nullptr && relay(input.call, *alive)) {
    return;
  }
  ControlCall body = input.body;
  if (auto* evacuation = std::get_if<EvacuateZone>(&body)) {
    evacuation->basedOn = state_.zoneRevision(evacuation->zone);
  }
  take({{std::nullopt, input.call}, std::move(body), now_ + timeout});
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

void RegistryImpl::handle(const Persisted&) { raft_->onPersisted(now_); }

void RegistryImpl::handle(const PlannedStop&) { raft_->transferLeadership(now_); }

// Messages

void RegistryImpl::receive(protocol::ConnectionId /*from*/, const consensus::Message& message) {
  if (keeper_) {
    keeper_->heard(message.from, now_);
  }
  raft_->receive(now_, message);
  const consensus::RaftStatus status = raft_->status();
  if (status.leader == message.from && status.leader != base::ServerId{}) {
    leaderHeardAt_ = now_;
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
    keeper_->requested(message.member, status.membership, now_);
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

/// Only the leader tells gateways anything: what another server has applied may be older than what
/// was acknowledged, and after a restart it is.
void RegistryImpl::receiveBody(protocol::ConnectionId from, const Subscribe& message) {
  if (leadingActively()) {
    const auto zone = gatewayZones_.find(from);
    leading_->subscribe(from, message, zone == gatewayZones_.end() ? base::ZoneId{} : zone->second);
    return;
  }
  actions_.emplace_back(control::SendToConnection{
      from, wrap(NotLeading{serverEndpoints(), peerEndpointOf(raft_->status().leader)})});
}

void RegistryImpl::receiveBody(protocol::ConnectionId from, const DocumentPartTaken& message) {
  if (leadingActively()) {
    leading_->documentPartTaken(from, message);
  }
}

void RegistryImpl::receiveBody(protocol::ConnectionId from, const ConfirmDocument& message) {
  if (leadingActively()) {
    confirmer_.asked(from, message);
  }
}

void RegistryImpl::receiveBody(protocol::ConnectionId from, const QuotaRequest& message) {
  if (leadingActively() && raft_->leaseValid(now_)) {
    leading_->quotaAsked(from, message, now_);
  }
}

void RegistryImpl::receiveBody(protocol::ConnectionId from, const HeartbeatBatch& message) {
  if (!leadingActively()) {
    return;
  }
  HeartbeatsWanted wanted = leading_->heartbeats(message, now_);
  if (!wanted.workers.empty()) {
    actions_.emplace_back(control::SendToConnection{from, wrap(std::move(wanted))});
  }
}

void RegistryImpl::receiveBody(protocol::ConnectionId /*from*/, const HeartbeatsWanted& message) {
  relay_.wanted(message);
}

void RegistryImpl::receiveBody(protocol::ConnectionId from, const DemandUpdate& message) {
  if (leadingActively()) {
    leading_->demand(from, message, now_);
  }
}

void RegistryImpl::receiveBody(protocol::ConnectionId /*from*/, const CutReport& message) {
  if (leadingActively()) {
    leading_->cutsReported(message, now_);
  }
}

// Duties

bool RegistryImpl::durableBeyondLosses() const {
  return majorityOutlivesLosses(raft_->status().membership, options_.tolerableLosses);
}

void RegistryImpl::followLeadership() {
  const consensus::RaftStatus status = raft_->status();
  if (status.role != lastRole_ || status.leader != lastLeader_) {
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

void RegistryImpl::noteMembership() {
  const consensus::RaftStatus status = raft_->status();
  if (status.membershipIndex == lastMembershipIndex_) {
    return;
  }
  lastMembershipIndex_ = status.membershipIndex;
  std::string members;
  for (const consensus::Member& member : status.membership.members) {
    members += members.empty() ? "" : ",";
    members += member.peerEndpoint.address;
    members += member.role == consensus::MemberRole::voter ? "" : "(learner)";
  }
  log_.write(LogEvent::membershipChanged,
             {{"index", status.membershipIndex}, {"members", members}});
}

void RegistryImpl::beginLeading(const consensus::RaftStatus& status) {
  activeIndex_ = status.lastIndex;
  keeper_.emplace(CellKeeperOptions{options_.tolerableLosses}, now_);
  leading_ = std::make_unique<LeaderDuties>(options_, documents_, state_, status.term, status.self,
                                            log_, now_, orderTurns_, lastTurnAt_);
  pendingDocumentVersion_ = 0;
  proposedLevel_ = 0;
}

void RegistryImpl::endLeading() {
  const consensus::RaftStatus status = raft_->status();
  for (const protocol::ConnectionId gateway : leading_->gateways()) {
    actions_.emplace_back(control::SendToConnection{
        gateway, wrap(NotLeading{serverEndpoints(), peerEndpointOf(status.leader)})});
  }
  leading_.reset();
  keeper_.reset();
  confirmer_ = {};
  callsByEntry_.clear();
  pendingWorkers_.clear();
  reads_.clear();
  leaderHeardAt_ = now_;
}

void RegistryImpl::runDuties() {
  expireCalls();
  handOverCalls();
  answerReads();
  confirmDocuments();
  if (leading_ != nullptr) {
    keepCell();
    raiseFeatureLevel();
    if (leadingActively()) {
      leading_->run(now_, raft_->leaseValid(now_), serverEndpoints());
      for (const Command& command : leading_->takeCommands()) {
        (void)raft_->propose(now_, encodeCommand(command));
      }
      for (RegistryAction& action : leading_->takeActions()) {
        actions_.push_back(std::move(action));
      }
    }
  } else {
    askToJoin();
    tellHeartbeats();
  }
  takeSnapshotIfDue();
}

/// Gateways go by the answer on their own clocks: it is given only once a majority has confirmed,
/// after the question, that no other server leads.
void RegistryImpl::confirmDocuments() {
  if (!leadingActively()) {
    return;
  }
  if (confirmer_.confirming()) {
    const auto ready = raft_->readReady(confirmer_.token());
    if (ready.has_error()) {
      confirmer_ = {};
      return;
    }
    if (ready.value() && appliedIndex_ >= *ready.value()) {
      for (const DocumentConfirmer::Question& question : confirmer_.takeConfirmed()) {
        actions_.emplace_back(control::SendToConnection{
            question.gateway,
            wrap(DocumentConfirmed{question.sequence, state_.documentVersion()})});
      }
    }
  }
  if (confirmer_.roundDue(now_)) {
    const auto token = raft_->beginRead(now_);
    if (token) {
      confirmer_.begin(token.value(), now_);
    }
  }
}

void RegistryImpl::applyEntries(const std::vector<consensus::LogEntry>& entries) {
  for (const consensus::LogEntry& entry : entries) {
    applyEntry(entry);
  }
  if (!entries.empty() && leading_ != nullptr) {
    leading_->stateChanged(now_);
  }
}

void RegistryImpl::applyEntry(const consensus::LogEntry& entry) {
  appliedIndex_ = entry.index;
  if (entry.type == consensus::EntryType::command) {
    bytesSinceSnapshot_ += entry.payload.size();
    const auto command = decodeCommand(entry.payload);
    if (command) {
      noteSuccession(command.value());
      state_.apply(command.value());
      noteApplied(command.value(), entry.index);
    } else {
      log_.write(LogEvent::entryRefused,
                 {{"index", entry.index}, {"detail", command.error().detail}});
    }
  }
  const auto waiting = callsByEntry_.find(entry.index);
  if (waiting != callsByEntry_.end()) {
    const std::vector<std::uint64_t> calls = std::move(waiting->second);
    callsByEntry_.erase(waiting);
    for (const std::uint64_t call : calls) {
      answerApplied(call);
    }
  }
}

void RegistryImpl::noteApplied(const Command& command, consensus::LogIndex index) {
  if (const auto* document = std::get_if<StoreDocument>(&command)) {
    log_.write(LogEvent::documentStored, {{"version", document->version}, {"index", index}});
  } else if (const auto* worker = std::get_if<StoreWorker>(&command)) {
    log_.write(LogEvent::workerStored,
               {{"worker", worker->worker.id.value},
                {"service", worker->worker.service},
                {"state", std::string_view(worker->worker.leaving ? "leaving" : "ready")}});
    const auto pending = pendingWorkers_.find(worker->worker.id);
    if (pending != pendingWorkers_.end() && pending->second.index <= index) {
      pendingWorkers_.erase(pending);
    }
  } else if (const auto* gone = std::get_if<ForgetWorker>(&command)) {
    log_.write(LogEvent::workerForgotten, {{"worker", gone->worker.value}});
    orderTurns_.forget(gone->worker);
  } else if (std::holds_alternative<StoreOrderHolder>(command) && index > recoveredIndex_) {
    lastTurnAt_ = now_;
  } else if (const auto* ordered = std::get_if<StoreOrderedWorkers>(&command)) {
    noteOrdered(*ordered, index);
  } else if (const auto* raised = std::get_if<RaiseFeatureLevel>(&command)) {
    log_.write(LogEvent::featureLevelRaised,
               {{"level", std::uint64_t{raised->level}}, {"index", index}});
  } else if (const auto* zone = std::get_if<StoreZoneEvacuation>(&command)) {
    log_.write(state_.evacuated(zone->zone) ? LogEvent::zoneEvacuated : LogEvent::zoneReturned,
               {{"zone", zone->zone.value},
                {"asked", std::string_view(zone->evacuated ? "evacuated" : "in service")},
                {"based-on", zone->basedOn},
                {"revision", state_.zoneRevision(zone->zone)},
                {"index", index}});
  }
}

/// Before a command is applied.
void RegistryImpl::noteSuccession(const Command& command) {
  const auto* stored = std::get_if<StoreWorker>(&command);
  if (stored == nullptr) {
    return;
  }
  const WorkerRecord* former = state_.findLife(stored->worker.calledName());
  if (former != nullptr && stored->worker.succeeds(*former)) {
    orderTurns_.succeeded(former->id, stored->worker.id);
    log_.write(LogEvent::workerReborn,
               {{"worker", stored->worker.id.value}, {"former", former->id.value}});
  }
}

void RegistryImpl::noteOrdered(const StoreOrderedWorkers& ordered, consensus::LogIndex index) {
  if (index > recoveredIndex_) {
    orderTurns_.ordered(ordered.workers, now_);
  }
  const consensus::RaftStatus status = raft_->status();
  if (leading_ != nullptr && ordered.server == status.self && ordered.term == status.term) {
    leading_->ordersRecorded(ordered.batch, now_, raft_->leaseValid(now_));
  }
}

/// As much is written in snapshots as in the log, however large the state is.
void RegistryImpl::takeSnapshotIfDue() {
  if (bytesSinceSnapshot_ < std::max(options_.snapshotEveryBytes, snapshotBytes_)) {
    return;
  }
  std::string snapshot = state_.encode();
  bytesSinceSnapshot_ = 0;
  snapshotBytes_ = snapshot.size();
  raft_->compact(appliedIndex_, std::move(snapshot), options_.snapshotKeepEntries);
}

void RegistryImpl::keepCell() {
  const consensus::RaftStatus status = raft_->status();
  const auto next = keeper_->nextChange(status.membership, status.self, now_);
  if (!next) {
    return;
  }
  const auto index = raft_->changeMembership(now_, *next);
  if (index) {
    log_.write(LogEvent::memberProposed, {{"index", index.value()},
                                          {"members", next->members.size()},
                                          {"before", status.membership.members.size()}});
  }
}

std::uint32_t RegistryImpl::levelOf(base::ServerId server) const {
  if (server == options_.self.id) {
    return kFeatureLevel;
  }
  const auto found = peers_.find(server);
  return found == peers_.end() ? 0 : found->second.featureLevel;
}

/// A server that is not linked with this one was judged by the one that forwarded its request.
bool RegistryImpl::isOfLowerLevel(base::ServerId server) const {
  return peers_.count(server) != 0 && levelOf(server) < state_.featureLevel();
}

/// The level of the cell is the least that its servers have said that they know.
void RegistryImpl::raiseFeatureLevel() {
  const std::uint32_t held = std::max(state_.featureLevel(), proposedLevel_);
  if (held >= kFeatureLevel || !leadingActively()) {
    return;
  }
  std::uint32_t level = kFeatureLevel;
  for (const consensus::Member& member : raft_->status().membership.members) {
    level = std::min(level, levelOf(member.id));
  }
  if (level > held && raft_->propose(now_, encodeCommand(RaiseFeatureLevel{level}))) {
    proposedLevel_ = level;
  }
}

/// A server that hears no leader asks all that it knows of to be admitted; those that are in the
/// membership are told nothing new by it.
void RegistryImpl::askToJoin() {
  if (now_ < leaderHeardAt_ + options_.joinAfterSilence || now_ < nextJoinAt_) {
    return;
  }
  nextJoinAt_ = now_ + options_.joinInterval;
  const consensus::RaftStatus status = raft_->status();
  std::vector<base::Endpoint> endpoints = options_.joinEndpoints;
  const std::vector<base::Endpoint> members = serverEndpoints();
  endpoints.insert(endpoints.end(), members.begin(), members.end());
  endpoints.insert(endpoints.end(), learnedEndpoints_.begin(), learnedEndpoints_.end());
  std::sort(endpoints.begin(), endpoints.end());
  endpoints.erase(std::unique(endpoints.begin(), endpoints.end()), endpoints.end());
  for (const base::Endpoint& endpoint : endpoints) {
    if (endpoint != options_.self.peerEndpoint) {
      actions_.emplace_back(SendToEndpoint{endpoint, wrap(JoinRequest{options_.self})});
    }
  }
}

std::vector<base::Endpoint> RegistryImpl::serverEndpoints() const {
  std::vector<base::Endpoint> endpoints;
  for (const consensus::Member& member : raft_->status().membership.members) {
    endpoints.push_back(member.peerEndpoint);
  }
  return endpoints;
}

std::optional<base::Endpoint> RegistryImpl::peerEndpointOf(base::ServerId server) const {
  for (const consensus::Member& member : raft_->status().membership.members) {
    if (member.id == server && server != base::ServerId{}) {
      return member.peerEndpoint;
    }
  }
  return std::nullopt;
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
