#include "control/controller_impl.h"

#include <algorithm>
#include <utility>

#include "walnut/consensus/codec.h"
#include "walnut/factories.h"
#include "walnut/protocol/codec.h"

namespace walnut::control {

namespace {
/// A snapshot is taken once the log since the last one reaches this fraction (1/n) of that
/// snapshot's size.
constexpr std::size_t kSnapshotLogFraction = 4;
}  // namespace

ControllerImpl::ControllerImpl(const ControllerOptions& options, base::CellId cell,
                               std::unique_ptr<consensus::Raft> raft, base::TimePoint now)
    : options_(options),
      now_(now),
      raft_(std::move(raft)),
      state_(options_),
      log_(*raft_),
      peers_(cell),
      watches_(options_, state_, actions_),
      operatorWatches_(options_, state_, actions_),
      demand_(options_.demandLifetime),
      claims_(log_, actions_),
      api_(options_, *raft_, log_, state_, peers_, actions_) {}

void ControllerImpl::recover(const consensus::Snapshot& snapshot) { install(snapshot); }

void ControllerImpl::step(base::TimePoint now, const ControllerInput& input) {
  now_ = std::max(now_, now);
  hasMoreOutputs_ = false;
  std::visit([this](const auto& body) { handle(body); }, input);
}

void ControllerImpl::handle(const PeerOpened& input) {
  peers_.opened(input.connection, input.hello);
}

void ControllerImpl::handle(const PeerClosed& input) {
  peers_.closed(input.connection);
  watches_.closed(input.connection);
}

void ControllerImpl::handle(const PeerMessage& input) {
  const bool known = peers_.isRouter(input.connection) || peers_.isController(input.connection);
  if (known) {
    std::visit([&](const auto& body) { receive(input.connection, body); }, input.message);
  }
}

void ControllerImpl::handle(const ApiCall& input) { api_.call(now_, input); }

void ControllerImpl::handle(const ApiWatchOpened& input) { operatorWatches_.open(now_, input); }

void ControllerImpl::handle(const ApiWatchClosed& input) { operatorWatches_.close(input.call); }

void ControllerImpl::handle(const EngineCallFinished& input) {
  if (leadership_) {
    leadership_->engineCallFinished(now_, input);
  }
}

void ControllerImpl::handle(const PlatformListRead& input) {
  if (leadership_) {
    leadership_->platformListRead(now_, input);
  }
}

void ControllerImpl::handle(const Persisted&) { raft_->onPersisted(now_); }

void ControllerImpl::handle(const Tick&) { raft_->tick(now_); }

void ControllerImpl::handle(const PlannedShutdown&) {
  if (!stopDeadline_) {
    stopDeadline_ = now_ + options_.plannedStopTimeout;
    api_.stop();
  }
}

void ControllerImpl::receive(protocol::ConnectionId from, const consensus::Message& message) {
  if (peers_.isServer(from, message.from) && message.to == raft_->status().self) {
    peers_.recordContact(from, message.from);
    raft_->receive(now_, message);
  }
}

void ControllerImpl::receive(protocol::ConnectionId from, const protocol::ProbeRequest& probe) {
  const consensus::RaftStatus status = raft_->status();
  protocol::ProbeReply reply;
  reply.sequence = probe.sequence;
  reply.server = status.self;
  reply.term = status.term;
  reply.lastLogIndex = status.lastIndex;
  reply.appliedIndex = state_.appliedIndex();
  reply.membershipIndex = status.membershipIndex;
  reply.leader = status.leader;
  actions_.emplace_back(SendToConnection{from, reply});
}

void ControllerImpl::receive(protocol::ConnectionId from, const protocol::WatchRequest& request) {
  watches_.request(now_, from, request);
}

void ControllerImpl::receive(protocol::ConnectionId, const protocol::DemandReport& report) {
  if (raft_->status().role == consensus::Role::leader) {
    const bool taken = demand_.applyReport(now_, report);
    if (taken && leadership_) {
      leadership_->outcomesReported(now_, report);
    }
  }
}

void ControllerImpl::receive(protocol::ConnectionId from, const protocol::ClaimRequest& request) {
  claims_.request(from, request);
}

void ControllerImpl::receive(protocol::ConnectionId from,
                             const protocol::ForwardedRequest& request) {
  if (peers_.isController(from)) {
    api_.forwarded(now_, from, request);
  }
}

void ControllerImpl::receive(protocol::ConnectionId from, const protocol::ForwardedReply& reply) {
  if (peers_.isController(from)) {
    api_.forwardedReply(now_, reply);
  }
}

void ControllerImpl::updateLeadership() {
  const consensus::RaftStatus status = raft_->status();
  peers_.updateEndpoints(status.membership);
  const bool leads = status.role == consensus::Role::leader;
  if (leads && halted_) {
    raft_->transferLeadership(now_);
  }
  if (leadership_ && (!leads || leadership_->term() != status.term)) {
    leadership_.reset();
  }
  if (!leads) {
    demand_ = DemandTable(options_.demandLifetime);
    return;
  }
  if (!leadership_ && appliedTerm_ == status.term) {
    leadership_.emplace(
        LeaderContext{options_, *raft_, log_, state_, ledger_, demand_, nextCall_, actions_},
        status.term, now_);
  }
}

void ControllerImpl::runServices() {
  claims_.flush(now_);
  api_.flush(now_);
  if (leadership_) {
    leadership_->run(now_);
  }
  watches_.tick(now_);
  operatorWatches_.tick(now_);
}

ControllerOutputs ControllerImpl::takeOutputs() {
  updateLeadership();
  runServices();
  continueShutdown();
  consensus::RaftOutputs raft = raft_->takeOutputs();
  updateLeadership();
  send(std::move(raft.messages));
  if (raft.installed) {
    install(*raft.installed);
  }
  apply(raft.committed);
  api_.answerReads(now_);
  compactIfDue();
  ControllerOutputs outputs;
  outputs.persist = std::move(raft.persist);
  outputs.actions = std::exchange(actions_, {});
  return outputs;
}

void ControllerImpl::send(std::vector<consensus::Message> messages) {
  for (consensus::Message& message : messages) {
    const base::ServerId to = message.to;
    auto action = peers_.sendTo(to, std::move(message));
    if (action) {
      actions_.push_back(*std::move(action));
    }
  }
}

/// Installs a snapshot. A snapshot that this version cannot read halts the server: entries applied
/// to an older state would produce a different one. The server continues as a voter, and its
/// routers notice that it is behind.
void ControllerImpl::install(const consensus::Snapshot& snapshot) {
  if (state_.restoreSnapshot(snapshot.data).has_error()) {
    halted_ = true;
    return;
  }
  halted_ = false;
  ledger_.rebuild(state_);
  appliedTerm_ = snapshot.lastTerm;
  snapshotIndex_ = snapshot.lastIndex;
  claims_.snapshotInstalled(snapshot.lastIndex);
  api_.snapshotInstalled(now_, snapshot.lastIndex);
  watches_.stateChanged(now_);
  operatorWatches_.stateChanged(now_);
  hasMoreOutputs_ = true;
}

/// Announces the changes of newly applied entries. Entries with claims change nothing that watchers
/// see.
void ControllerImpl::stateChanged(consensus::LogIndex from) {
  StateChange change;
  change.changes = state_.history().since(from);
  if (change.changes && change.changes->empty()) {
    watches_.indexAdvanced(now_);
    return;
  }
  if (change.changes) {
    LedgerIndex::ChangedObjects objects = ledger_.update(*change.changes);
    change.engines = std::move(objects.engines);
    change.models = std::move(objects.models);
  } else {
    ledger_.rebuild(state_);
  }
  if (leadership_) {
    leadership_->stateChanged(now_, change);
  }
  watches_.stateChanged(now_);
  operatorWatches_.stateChanged(now_);
}

void ControllerImpl::apply(const std::vector<consensus::LogEntry>& entries) {
  if (entries.empty() || halted_) {
    return;
  }
  const consensus::LogIndex before = state_.appliedIndex();
  for (const consensus::LogEntry& entry : entries) {
    const AppliedEntry applied{entry.index, entry.term, applyOne(entry)};
    appliedTerm_ = entry.term;
    logBytesSinceSnapshot_ += entry.payload.size();
    claims_.applied(applied);
    api_.applied(now_, applied);
    if (leadership_) {
      leadership_->applied(applied);
    }
  }
  stateChanged(before);
  hasMoreOutputs_ = true;
}

ApplyResult ControllerImpl::applyOne(const consensus::LogEntry& entry) {
  if (entry.type == consensus::EntryType::membership) {
    const auto membership = consensus::decodeMembership(entry.payload);
    if (membership.has_value()) {
      state_.applyMembership(entry.index, membership.value());
      return {};
    }
  }
  if (entry.type == consensus::EntryType::command) {
    const auto command = protocol::decodeCommand(entry.payload);
    if (command.has_value()) {
      return state_.apply(entry.index, command.value());
    }
  }
  state_.applyNoop(entry.index);
  return {};
}

/// Takes a snapshot when one is due. A large state is not encoded after only little log, so that
/// the work stays in proportion to what was written.
void ControllerImpl::compactIfDue() {
  const bool enoughEntries =
      state_.appliedIndex() >= snapshotIndex_ + options_.snapshotEveryEntries;
  if (!enoughEntries || logBytesSinceSnapshot_ < snapshotBytes_ / kSnapshotLogFraction) {
    return;
  }
  snapshotIndex_ = state_.appliedIndex();
  std::string snapshot = state_.encodeSnapshot();
  snapshotBytes_ = snapshot.size();
  logBytesSinceSnapshot_ = 0;
  raft_->compact(snapshotIndex_, std::move(snapshot), options_.snapshotKeepEntries);
  hasMoreOutputs_ = true;
}

bool ControllerImpl::isOnlyVoter(const consensus::RaftStatus& status) const {
  return std::none_of(status.membership.members.begin(), status.membership.members.end(),
                      [&](const consensus::Member& member) {
                        return member.role == consensus::MemberRole::voter &&
                               member.id != status.self;
                      });
}

void ControllerImpl::continueShutdown() {
  if (!stopDeadline_ || stopped_) {
    return;
  }
  const consensus::RaftStatus status = raft_->status();
  const bool mustTransferLeadership =
      status.role == consensus::Role::leader && !isOnlyVoter(status);
  if (mustTransferLeadership) {
    raft_->transferLeadership(now_);
  }
  const bool finished = !mustTransferLeadership && api_.idle();
  if (finished || now_ >= *stopDeadline_) {
    stopped_ = true;
    actions_.emplace_back(ControllerStopped{});
  }
}

base::TimePoint ControllerImpl::nextWakeup() const {
  if (hasMoreOutputs_) {
    return now_;
  }
  base::TimePoint wakeup = std::min({raft_->nextWakeup(), api_.nextWakeup(), watches_.nextWakeup(),
                                     operatorWatches_.nextWakeup()});
  if (leadership_) {
    wakeup = std::min(wakeup, leadership_->nextWakeup());
  }
  if (stopDeadline_ && !stopped_) {
    wakeup = std::min(wakeup, *stopDeadline_);
  }
  return std::max(wakeup, now_);
}

std::unique_ptr<Controller> makeController(const ControllerOptions& options, base::CellId cell,
                                           consensus::RecoveredState recovered,
                                           const consensus::Membership& bootstrap,
                                           std::uint64_t seed, base::TimePoint now) {
  const std::optional<consensus::Snapshot> snapshot = recovered.snapshot;
  auto controller = std::make_unique<ControllerImpl>(
      options, cell, consensus::makeRaft(options.raft, std::move(recovered), bootstrap, seed, now),
      now);
  if (snapshot) {
    controller->recover(*snapshot);
  }
  return controller;
}

}  // namespace walnut::control
