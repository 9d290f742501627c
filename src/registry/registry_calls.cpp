/// @file
/// Handling of external calls: forwarding to the leader, decision there, and the answer.

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "registry/registry_impl.h"
#include "walnut/catalog/validation.h"
#include "walnut/registry/feature_level.h"

namespace walnut::registry {

using base::ErrorCode;
using consensus::Role;
using runtime::LogEvent;

namespace {

/// Most calls that one event loop iteration decides or forwards: some ms of a small core.
constexpr std::size_t kMaxCallsPerIteration = 64;
/// Most heartbeats that a server has forwarded to the leader and that are not answered yet. It
/// bounds the leader's queue in proportion to the number of servers, however many workers register
/// at once.
constexpr std::size_t kMaxForwardedHeartbeats = 32;
/// Most calls that wait at one server: more than can be answered before their callers time out.
constexpr std::size_t kMaxWaitingCalls = 4096;

}  // namespace

/// Returns true if the leader made contact within the check-quorum timeout. That is as long as its
/// lease, and a leader sends several Raft heartbeats within it.
bool RegistryImpl::hasLeaderContact() const {
  const consensus::RaftStatus status = raft_->status();
  return status.role != Role::leader && status.leader != base::ServerId{} &&
         now_ < lastLeaderContact_ + options_.raft.checkQuorumTimeout;
}

/// Acknowledges a heartbeat that changes no replicated state.
/// @return false if the leader has to decide on the heartbeat.
bool RegistryImpl::relay(std::uint64_t call, const ReportAlive& body) {
  const bool relays =
      hasLeaderContact() && levelOf(raft_->status().leader) >= feature::kHeartbeatBatches;
  if (!relays || !relay_.take(body.heartbeat, state_)) {
    return false;
  }
  ControlAnswer done;
  done.status = ControlStatus::done;
  done.leader = options_.self.resourceEndpoint;
  actions_.emplace_back(CallAnswered{call, std::move(done)});
  return true;
}

void RegistryImpl::sendHeartbeats() {
  const base::ServerId leader = raft_->status().leader;
  const auto endpoint = peerEndpointOf(leader);
  if (!hasLeaderContact() || !endpoint) {
    return;
  }
  if (auto batch = relay_.takeBatch(now_)) {
    actions_.emplace_back(
        control::SendToServer{leader, *endpoint, RegistryMessage{MessageBody(std::move(*batch))}});
  }
}

/// Prefers the zone that a server announced: founders don't know each other's zones from the
/// membership.
base::ZoneId RegistryImpl::zoneOf(const consensus::Member& member) const {
  if (member.id == options_.self.id) {
    return options_.self.zone;
  }
  const auto found = peers_.find(member.id);
  return found == peers_.end() ? member.zone : found->second.zone;
}

/// Chooses the server to which a worker should send further heartbeats: one of its own zone if
/// there is any, by rendezvous hashing of the worker's id.
base::Endpoint RegistryImpl::preferredServerFor(const WorkerRecord& worker) const {
  const consensus::Membership membership = raft_->status().membership;
  base::Endpoint preferred = options_.self.resourceEndpoint;
  std::pair<bool, std::uint64_t> best;
  for (const consensus::Member& member : membership.members) {
    const std::string text = worker.id.value + "@" + std::to_string(member.id.value);
    const std::pair<bool, std::uint64_t> rank(zoneOf(member) == worker.zone,
                                              XXH3_64bits(text.data(), text.size()));
    if (rank > best) {
      best = rank;
      preferred = member.resourceEndpoint;
    }
  }
  return preferred;
}

void RegistryImpl::decide(std::uint64_t call, const ReplaceDocument& body) {
  const auto read = documents_.read(body.text);
  base::Result<void> valid = base::success();
  if (read) {
    valid = catalog::validate(*read.value());
  }
  if (!read || !valid) {
    ControlAnswer refusal;
    refusal.status = ControlStatus::refused;
    refusal.error = read ? valid.error() : read.error();
    log_.write(LogEvent::documentRefused,
               {{"field", refusal.error.field}, {"detail", refusal.error.detail}});
    answer(call, std::move(refusal));
    return;
  }
  const std::uint64_t version = read.value()->version;
  if (version <= state_.documentVersion()) {
    answerDone(call);
    return;
  }
  if (version <= pendingDocumentVersion_) {
    callsByEntry_[pendingDocumentIndex_].push_back(call);
    return;
  }
  propose(call, StoreDocument{version, body.text});
  pendingDocumentVersion_ = version;
  pendingDocumentIndex_ = raft_->status().lastIndex;
}

void RegistryImpl::decide(std::uint64_t call, const ReadDocument& /*body*/) {
  const auto token = raft_->beginRead(now_);
  if (token) {
    reads_.push_back({call, token.value()});
  }
}

/// A worker that repeats its heartbeat before its entry is applied waits for that entry.
void RegistryImpl::decide(std::uint64_t call, const ReportAlive& body) {
  const WorkerRecord& record = body.heartbeat.worker;
  if (!leading_->heartbeat(body.heartbeat, now_)) {
    answerDone(call);
    return;
  }
  const auto pending = pendingWorkers_.find(record.id);
  if (pending != pendingWorkers_.end() && pending->second.record == record) {
    callsByEntry_[pending->second.index].push_back(call);
    return;
  }
  if (const auto index = propose(call, StoreWorker{record})) {
    pendingWorkers_[record.id] = {record, *index};
  }
}

void RegistryImpl::decide(std::uint64_t call, const ReportGone& body) {
  const WorkerRecord* present = body.bornMillis == 0 ? state_.findIncarnation(body.name) : nullptr;
  const WorkerId worker = present == nullptr ? workerIdOf(body.name, body.bornMillis) : present->id;
  if (state_.wasForgotten(worker)) {
    answerDone(call);
  } else {
    propose(call, ForgetWorker{worker});
  }
}

/// Idempotent: a call for a zone that already is in the requested state is acknowledged again.
void RegistryImpl::decide(std::uint64_t call, const EvacuateZone& body) {
  if (!knowsZone(body.zone)) {
    ControlAnswer refusal;
    refusal.status = ControlStatus::refused;
    refusal.error = {ErrorCode::outOfRange, "zone", "'" + body.zone.value + "' is not known"};
    answer(call, std::move(refusal));
  } else if (state_.featureLevel() < feature::kZoneEvacuation) {
    answerUnavailable(call, "not all servers know evacuations");
  } else {
    propose(call, StoreZoneEvacuation{body.zone, body.evacuated, body.basedOn});
  }
}

bool RegistryImpl::knowsZone(const base::ZoneId& zone) const {
  return options_.zones.empty() || state_.zoneRevision(zone) > 0 ||
         std::count(options_.zones.begin(), options_.zones.end(), zone) != 0;
}

std::optional<consensus::LogIndex> RegistryImpl::propose(std::uint64_t call,
                                                         const Command& command) {
  const auto index = raft_->propose(now_, encodeCommand(command));
  if (!index) {
    return std::nullopt;
  }
  callsByEntry_[index.value()].push_back(call);
  return index.value();
}

void RegistryImpl::answer(std::uint64_t number, ControlAnswer answer) {
  const WaitingCall* call = calls_.find(number);
  if (call == nullptr) {
    return;
  }
  const CallOrigin origin = call->origin;
  calls_.erase(number);
  if (origin.connection) {
    actions_.emplace_back(control::SendToConnection{
        *origin.connection,
        RegistryMessage{MessageBody(ForwardedAnswer{origin.sequence, std::move(answer)})}});
  } else {
    actions_.emplace_back(CallAnswered{origin.sequence, std::move(answer)});
  }
}

void RegistryImpl::answerDone(std::uint64_t call) {
  ControlAnswer done;
  done.status = ControlStatus::done;
  done.leader = options_.self.resourceEndpoint;
  answer(call, std::move(done));
}

/// Answers a call whose log entry is applied. An evacuation that was based on an older revision of
/// its zone had no effect and is answered as unavailable.
void RegistryImpl::answerApplied(std::uint64_t call) {
  const WaitingCall* waiting = calls_.find(call);
  if (waiting == nullptr) {
    return;
  }
  if (const auto* evacuation = std::get_if<EvacuateZone>(&waiting->call);
      evacuation != nullptr && state_.evacuated(evacuation->zone) != evacuation->evacuated) {
    answerUnavailable(call, "the zone was changed since");
  } else if (const auto* alive = std::get_if<ReportAlive>(&waiting->call)) {
    answerRegistered(call, alive->heartbeat.worker);
  } else {
    answerDone(call);
  }
}

/// Answers a registration with the server that should take the worker's further heartbeats: any
/// server can acknowledge those that change nothing.
void RegistryImpl::answerRegistered(std::uint64_t call, const WorkerRecord& worker) {
  ControlAnswer done;
  done.status = ControlStatus::done;
  done.leader = state_.featureLevel() >= feature::kHeartbeatBatches
                    ? preferredServerFor(worker)
                    : options_.self.resourceEndpoint;
  answer(call, std::move(done));
}

void RegistryImpl::answerUnavailable(std::uint64_t call, std::string_view reason) {
  log_.write(LogEvent::callUnavailable, {{"reason", reason}});
  ControlAnswer unavailable;
  unavailable.status = ControlStatus::unavailable;
  unavailable.error = {ErrorCode::noQuorum, "", std::string(reason)};
  answer(call, std::move(unavailable));
}

/// Sheds heartbeats only: workers repeat them with increasing backoff. Calls that change the
/// document or a zone are always accepted.
void RegistryImpl::take(WaitingCall call) {
  const bool heartbeat = std::holds_alternative<ReportAlive>(call.call);
  const std::uint64_t number = calls_.add(std::move(call));
  if (heartbeat && calls_.size() > kMaxWaitingCalls) {
    answerUnavailable(number, "too many calls wait");
  }
}

/// Hands over a bounded number of calls per event loop iteration, so that calls never delay
/// consensus, however many arrive.
void RegistryImpl::handOverCalls() {
  const consensus::RaftStatus status = raft_->status();
  callsRemaining_ = false;
  if (status.leader == base::ServerId{}) {
    return;
  }
  const bool own = status.role == Role::leader;
  if (own && (!isActiveLeader() || !toleratesLosses())) {
    return;
  }
  const std::size_t maxWaiting = own ? kMaxWaitingCalls : kMaxForwardedHeartbeats;
  for (const std::uint64_t number :
       calls_.handOver(status.leader, kMaxCallsPerIteration, maxWaiting)) {
    WaitingCall& call = *calls_.find(number);
    if (!own && call.origin.connection) {
      continue;  // Forwarded to this server, which no longer leads: its sender learns that too.
    }
    if (own) {
      const ControlCall body = call.call;
      std::visit([this, number](const auto& alternative) { decide(number, alternative); }, body);
    } else if (std::holds_alternative<EvacuateZone>(call.call) &&
               levelOf(status.leader) < feature::kZoneEvacuation) {
      answerUnavailable(number, "the leader knows no evacuations");
    } else if (const auto leader = peerEndpointOf(status.leader)) {
      actions_.emplace_back(control::SendToServer{
          status.leader, *leader, RegistryMessage{MessageBody(ForwardedCall{number, call.call})}});
    }
  }
  callsRemaining_ = calls_.hasMore(maxWaiting);
}

void RegistryImpl::expireCalls() {
  for (const std::uint64_t number : calls_.expired(now_)) {
    answerUnavailable(number, raft_->status().leader == base::ServerId{} ? "no leader is known"
                                                                         : "not confirmed in time");
  }
}

void RegistryImpl::answerReads() {
  std::erase_if(reads_, [this](const PendingRead& read) {
    const auto ready = raft_->readReady(read.token);
    if (ready.has_error()) {
      answerUnavailable(read.call, "leadership was lost");
      return true;
    }
    if (!ready.value() || appliedIndex_ < *ready.value()) {
      return false;
    }
    ControlAnswer found;
    found.status = ControlStatus::done;
    found.leader = options_.self.resourceEndpoint;
    found.text = state_.documentText();
    if (state_.documentVersion() == 0) {
      found.status = ControlStatus::unavailable;
    }
    answer(read.call, std::move(found));
    return true;
  });
}

}  // namespace walnut::registry
