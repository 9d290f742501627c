#include "control/api_service.h"

#include <algorithm>
#include <utility>

#include "control/api_requests.h"
#include "control/member_change.h"

namespace walnut::control {

namespace {
/// Time until a request that found no leader is dispatched again; a change of the leader is noticed
/// immediately.
constexpr base::Duration kRetryInterval = std::chrono::milliseconds(50);
/// Time until a forwarded request without an answer is forwarded again, because the message or its
/// answer may have been lost with a connection. It is several times the duration of a commit, so
/// that this is rare.
constexpr base::Duration kForwardRetryInterval = std::chrono::seconds(1);
}  // namespace

void ApiService::call(base::TimePoint now, const ApiCall& call) {
  Request request;
  request.caller = LocalCaller{call.call};
  request.request = call.request;
  if (stopping_) {
    protocol::ApiReply refusal;
    refusal.error = base::Error{base::ErrorCode::stopping, "", "this server is being stopped"};
    actions_.emplace_back(ApiAnswer{call.call, std::move(refusal)});
    return;
  }
  add(now, std::move(request));
}

void ApiService::forwarded(base::TimePoint now, protocol::ConnectionId connection,
                           const protocol::ForwardedRequest& request) {
  Request added;
  added.caller = RemoteCaller{connection, request.sequence};
  added.request = request.request;
  add(now, std::move(added));
}

void ApiService::add(base::TimePoint now, Request request) {
  const RequestNumber number = nextNumber_++;
  request.deadline = now + options_.apiTimeout;
  request.retryAt = now;
  const auto checked = checkRequest(request.request);
  const bool isStatus = std::holds_alternative<protocol::GetStatus>(request.request);
  requests_.emplace(number, std::move(request));
  if (checked.has_error()) {
    answer(number, checked.error());
  } else if (isStatus) {
    protocol::ApiReply reply;
    reply.version = state_.appliedIndex();
    reply.status = status();
    answer(number, std::move(reply));
  }
}

void ApiService::answer(RequestNumber number, protocol::ApiReply reply) {
  const auto found = requests_.find(number);
  if (found == requests_.end()) {
    return;
  }
  if (const auto* local = std::get_if<LocalCaller>(&found->second.caller)) {
    actions_.emplace_back(ApiAnswer{local->call, std::move(reply)});
  } else {
    const auto& remote = std::get<RemoteCaller>(found->second.caller);
    actions_.emplace_back(SendToConnection{
        remote.connection, protocol::ForwardedReply{remote.sequence, std::move(reply)}});
  }
  requests_.erase(found);
}

void ApiService::answer(RequestNumber number, base::Error error) {
  protocol::ApiReply reply;
  reply.error = std::move(error);
  answer(number, std::move(reply));
}

/// Puts a request back into state waiting. A request of another server is answered `notLeader`
/// instead, because that server knows best which server to ask next.
void ApiService::returnToWaiting(base::TimePoint now, RequestNumber number) {
  Request& request = requests_.at(number);
  if (request.isRemote()) {
    answer(number, base::Error{base::ErrorCode::notLeader, "", "this server does not lead"});
    return;
  }
  request.state = State::waiting;
  request.retryAt = now + kRetryInterval;
}

/// Dispatches requests again that were given to a previous leader. A remote write whose entry is
/// still in the log is left alone: its outcome may still become visible, and the server that
/// forwarded it asks again.
void ApiService::handleLeaderChange(base::TimePoint now) {
  const consensus::RaftStatus status = raft_.status();
  if (status.term == seenTerm_ && status.leader == seenLeader_) {
    return;
  }
  seenTerm_ = status.term;
  seenLeader_ = status.leader;
  std::vector<RequestNumber> affected;
  for (const auto& [number, request] : requests_) {
    if (!request.isRemote() || request.state == State::reading) {
      affected.push_back(number);
    }
  }
  for (const RequestNumber number : affected) {
    returnToWaiting(now, number);
    const auto kept = requests_.find(number);
    if (kept != requests_.end()) {
      kept->second.retryAt = now;
    }
  }
}

void ApiService::flush(base::TimePoint now) {
  if (requests_.empty()) {
    return;
  }
  handleLeaderChange(now);
  std::vector<RequestNumber> due;
  std::vector<RequestNumber> overdue;
  for (const auto& [number, request] : requests_) {
    if (request.deadline <= now) {
      overdue.push_back(number);
    } else if (request.mayBeDispatched() && request.retryAt <= now) {
      due.push_back(number);
    }
  }
  for (const RequestNumber number : overdue) {
    answerOverdue(number);
  }
  for (const RequestNumber number : due) {
    dispatch(now, number);
  }
}

void ApiService::dispatch(base::TimePoint now, RequestNumber number) {
  if (raft_.status().role == consensus::Role::leader) {
    dispatchAsLeader(now, number);
  } else {
    forward(now, number);
  }
}

void ApiService::forward(base::TimePoint now, RequestNumber number) {
  Request& request = requests_.at(number);
  const consensus::RaftStatus status = raft_.status();
  if (request.isRemote() || status.leader == base::ServerId{} || status.leader == status.self) {
    returnToWaiting(now, number);
    return;
  }
  auto send = peers_.sendTo(status.leader, protocol::ForwardedRequest{number, request.request});
  if (!send) {
    returnToWaiting(now, number);
    return;
  }
  actions_.push_back(std::move(*send));
  request.state = State::forwarded;
  request.retryAt = now + kForwardRetryInterval;
  request.mayHaveTakenEffect = request.mayHaveTakenEffect || isWrite(request.request);
}

void ApiService::forwardedReply(base::TimePoint now, const protocol::ForwardedReply& reply) {
  const auto found = requests_.find(reply.sequence);
  if (found == requests_.end() || found->second.isRemote()) {
    return;
  }
  if (reply.reply.error && reply.reply.error->code == base::ErrorCode::notLeader) {
    returnToWaiting(now, reply.sequence);
    return;
  }
  answer(reply.sequence, reply.reply);
}

void ApiService::dispatchAsLeader(base::TimePoint now, RequestNumber number) {
  const protocol::ApiRequest& request = requests_.at(number).request;
  if (const auto* put = std::get_if<PutResource>(&request)) {
    propose(now, number, *put);
  } else if (const auto* removal = std::get_if<DeleteResource>(&request)) {
    propose(now, number, *removal);
  } else if (std::holds_alternative<protocol::ChangeMember>(request)) {
    changeMember(now, number);
  } else {
    beginRead(now, number);
  }
}

void ApiService::propose(base::TimePoint now, RequestNumber number, CommandBody body) {
  proposed(now, number, log_.propose(now, std::move(body)));
}

void ApiService::proposed(base::TimePoint now, RequestNumber number,
                          const base::Result<consensus::LogIndex>& index) {
  Request& request = requests_.at(number);
  if (index.has_error()) {
    request.refusal = index.error();
    returnToWaiting(now, number);
    return;
  }
  request.state = State::proposed;
  request.index = index.value();
  request.mayHaveTakenEffect = true;
  const auto replaced = pending_.add(index.value(), log_.term(), number);
  if (replaced && requests_.contains(*replaced) &&
      requests_.at(*replaced).state == State::proposed) {
    returnToWaiting(now, *replaced);
  }
}

void ApiService::changeMember(base::TimePoint now, RequestNumber number) {
  const auto& change = std::get<protocol::ChangeMember>(requests_.at(number).request);
  const consensus::RaftStatus status = raft_.status();
  auto next = membershipAfter(status.membership, change);
  if (next.has_error()) {
    answer(number, next.error());
    return;
  }
  if (next.value()) {
    const auto index = raft_.changeMembership(now, *next.value());
    const bool refused = index.has_error() && index.error().code == base::ErrorCode::outOfRange;
    if (refused) {
      answer(number, index.error());
    } else {
      proposed(now, number, index);
    }
    return;
  }
  if (state_.appliedIndex() < status.membershipIndex) {
    returnToWaiting(now, number);  // The change is in the log but not yet committed.
    return;
  }
  protocol::ApiReply reply;
  reply.version = status.membershipIndex;
  answer(number, std::move(reply));
}

void ApiService::applied(base::TimePoint now, const AppliedEntry& entry) {
  const auto settled = pending_.settle(entry);
  if (!settled || !requests_.contains(settled->waiter)) {
    return;
  }
  const Request& request = requests_.at(settled->waiter);
  if (!settled->applied) {
    if (request.state == State::proposed && request.index == entry.index) {
      returnToWaiting(now, settled->waiter);
    }
    return;
  }
  protocol::ApiReply reply;
  reply.version = entry.index;
  if (entry.result.write) {
    reply.error = entry.result.write->error;
    reply.version = entry.result.write->version;
    reply.currentVersion = entry.result.write->currentVersion;
  }
  answer(settled->waiter, std::move(reply));
}

void ApiService::snapshotInstalled(base::TimePoint now, consensus::LogIndex index) {
  for (const RequestNumber number : pending_.dropUpTo(index)) {
    const auto found = requests_.find(number);
    if (found == requests_.end()) {
      continue;
    }
    if (found->second.isRemote()) {
      // The server that forwarded it asks again or reports the outcome as unknown.
      requests_.erase(found);
    } else if (found->second.state == State::proposed) {
      returnToWaiting(now, number);
    }
  }
}

void ApiService::beginRead(base::TimePoint now, RequestNumber number) {
  const auto token = raft_.beginRead(now);
  if (token.has_error()) {
    returnToWaiting(now, number);
    return;
  }
  Request& request = requests_.at(number);
  request.state = State::reading;
  request.readToken = token.value();
}

void ApiService::answerReads(base::TimePoint now) {
  std::vector<RequestNumber> reading;
  for (const auto& [number, request] : requests_) {
    if (request.state == State::reading) {
      reading.push_back(number);
    }
  }
  for (const RequestNumber number : reading) {
    const Request& request = requests_.at(number);
    const auto ready = raft_.readReady(request.readToken);
    if (ready.has_error()) {
      returnToWaiting(now, number);
    } else if (ready.value() && *ready.value() <= state_.appliedIndex()) {
      answer(number, read(request.request));
    }
  }
}

protocol::ApiReply ApiService::read(const protocol::ApiRequest& request) const {
  protocol::ApiReply reply;
  reply.version = state_.appliedIndex();
  if (const auto* get = std::get_if<protocol::GetResource>(&request)) {
    const auto found = state_.resources().find(get->key);
    if (found == state_.resources().end()) {
      reply.error = base::Error{base::ErrorCode::notFound, get->key.name, "no such resource"};
    } else {
      reply.resources.push_back(found->second);
    }
    return reply;
  }
  const auto& list = std::get<protocol::ListResources>(request);
  for (const auto& [key, resource] : state_.resources()) {
    if (!list.kind || key.kind == *list.kind) {
      reply.resources.push_back(resource);
    }
  }
  return reply;
}

/// Returns the status as seen by this server, so that an operator sees the status of each server
/// even while there is no leader.
protocol::CellStatus ApiService::status() const {
  const consensus::RaftStatus raft = raft_.status();
  protocol::CellStatus status;
  status.server = raft.self;
  status.leader = raft.leader;
  status.term = raft.term;
  status.appliedIndex = state_.appliedIndex();
  status.firstIndex = raft.firstIndex;
  status.membership = raft.membership;
  for (const auto& [id, engine] : state_.engines()) {
    status.engines.push_back(engine);
  }
  for (const auto& [id, replica] : state_.replicas()) {
    status.replicas.push_back(replica);
  }
  status.routersConnected = peers_.routerCount();
  return status;
}

void ApiService::answerOverdue(RequestNumber number) {
  const Request& request = requests_.at(number);
  if (request.mayHaveTakenEffect) {
    answer(number, base::Error{base::ErrorCode::outcomeUnknown, "",
                               "no answer of a leader in time: resend with the same request id"});
    return;
  }
  const bool changing =
      request.refusal && request.refusal->code == base::ErrorCode::membershipChangePending;
  answer(number, changing ? *request.refusal
                          : base::Error{base::ErrorCode::noQuorum, "", "no leader is known"});
}

base::TimePoint ApiService::nextWakeup() const {
  base::TimePoint wakeup = base::kNever;
  for (const auto& [number, request] : requests_) {
    wakeup = std::min(wakeup, request.deadline);
    if (request.mayBeDispatched()) {
      wakeup = std::min(wakeup, request.retryAt);
    }
  }
  return wakeup;
}

}  // namespace walnut::control
