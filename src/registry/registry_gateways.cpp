/// @file
/// What a leader tells gateways, and when: subscriptions, views, confirmations of the document.

#include <algorithm>
#include <utility>

#include "registry/registry_impl.h"

namespace walnut::registry {

namespace {

constexpr base::Duration kWaitLogInterval = std::chrono::seconds(1);

protocol::Message wrap(MessageBody body) { return RegistryMessage{std::move(body)}; }

}  // namespace

/// Only the leader serves gateways: the state that another server has applied may be older than
/// what was acknowledged, and it is older after a restart. A leader that has not committed an entry
/// of its term yet keeps the subscription until it has.
void RegistryImpl::receiveBody(protocol::ConnectionId from, const Subscribe& message) {
  if (leading_ == nullptr) {
    refuseGateway(from);
    return;
  }
  if (isActiveLeader() && raft_->leaseValid(now_)) {
    subscribe(from, message);
    return;
  }
  WaitingSubscription& waiting = waitingSubscriptions_[from];
  waiting.request = message;
  waiting.proof.begin(*raft_, now_);
  waiting.since = now_;
}

void RegistryImpl::subscribe(protocol::ConnectionId gateway, const Subscribe& request) {
  const auto found = gatewayPeers_.find(gateway);
  const Peer peer = found == gatewayPeers_.end() ? Peer{} : found->second;
  leading_->subscribe(gateway, request, peer.zone, peer.featureLevel);
}

void RegistryImpl::receiveBody(protocol::ConnectionId from, const ConfirmDocument& message) {
  if (leading_ != nullptr) {
    confirmer_.addQuery(from, message);
  }
}

void RegistryImpl::refuseGateway(protocol::ConnectionId gateway) {
  actions_.emplace_back(control::SendToConnection{
      gateway, wrap(NotLeading{serverEndpoints(), peerEndpointOf(raft_->status().leader)})});
}

/// Accepts the gateways for which this server is known to have led after they subscribed.
void RegistryImpl::acceptSubscriptions() {
  std::erase_if(waitingSubscriptions_, [this](const auto& entry) {
    const auto& [gateway, waiting] = entry;
    if (!waiting.proof.holds(*raft_, appliedIndex_, now_)) {
      return false;
    }
    subscribe(gateway, waiting.request);
    return true;
  });
}

void RegistryImpl::logWaitingGateways() {
  if (waitingSubscriptions_.empty() || now_ < nextWaitLogAt_) {
    return;
  }
  base::TimePoint first = now_;
  for (const auto& [gateway, waiting] : waitingSubscriptions_) {
    first = std::min(first, waiting.since);
  }
  if (now_ < first + kWaitLogInterval) {
    return;
  }
  nextWaitLogAt_ = now_ + kWaitLogInterval;
  const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(now_ - first);
  log_.write(runtime::LogEvent::dependencyLost,
             {{"dependency", "quorum"},
              {"gateways", std::uint64_t{waitingSubscriptions_.size()}},
              {"millis", static_cast<std::uint64_t>(millis.count())},
              {"active", isActiveLeader() ? "yes" : "no"},
              {"lease", raft_->leaseValid(now_) ? "yes" : "no"}});
}

/// Without the lease, gateways are told something only if this server led after it told them
/// something before. A leader that was deposed tells them at most once more.
void RegistryImpl::runDuties() {
  acceptSubscriptions();
  const bool hasLease = raft_->leaseValid(now_);
  const bool maySend = hasLease || sendingProof_.holds(*raft_, appliedIndex_, now_);
  const bool hasSent = leading_->run(now_, {hasLease, maySend}, serverEndpoints());
  if (hasLease) {
    sendingProof_ = {};
  } else if (hasSent || !sendingProof_.isBegun()) {
    sendingProof_.begin(*raft_, now_);
  }
}

/// Gateways trust the answer for some time by their own clocks. It is therefore sent only once a
/// majority has confirmed, after the query arrived, that no other server leads.
void RegistryImpl::confirmDocuments() {
  if (leading_ == nullptr) {
    return;
  }
  while (confirmer_.isConfirming()) {
    const auto ready = raft_->readReady(confirmer_.token());
    if (ready.has_error()) {
      confirmer_ = {};
      return;
    }
    if (!ready.value() || appliedIndex_ < *ready.value()) {
      break;
    }
    for (const DocumentConfirmer::Query& query : confirmer_.takeConfirmed()) {
      actions_.emplace_back(control::SendToConnection{
          query.gateway, wrap(DocumentConfirmed{query.sequence, state_.documentVersion()})});
    }
  }
  if (confirmer_.roundDue(now_)) {
    const auto token = raft_->beginRead(now_);
    if (token) {
      confirmer_.begin(token.value(), now_);
    }
  }
}

}  // namespace walnut::registry
