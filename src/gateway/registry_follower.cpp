#include "gateway/registry_follower.h"

#include <utility>
#include <variant>

namespace walnut::gateway {

using runtime::LogEvent;

namespace {

/// Time within which a gateway that knows of a newer document gets a part of it: a leader sends a
/// part to each of 400 gateways in half a second (DocumentSender).
constexpr base::Duration kDocumentTimeout = std::chrono::milliseconds(1500);

}  // namespace

bool RegistryFollower::messageReceived(protocol::ConnectionId connection,
                                       const registry::RegistryMessage& message) {
  if (!std::holds_alternative<registry::NotLeading>(message.body)) {
    session_.messageArrived(connection);
  }
  return std::visit([this, connection](const auto& body) { return receive(connection, body); },
                    message.body);
}

/// Decodes and applies a view. A view of another connection than the followed one is not decoded:
/// that would corrupt the decoder's table of names.
bool RegistryFollower::receive(protocol::ConnectionId connection,
                               const registry::PackedView& packed) {
  if (!session_.isCurrent(connection)) {
    return false;
  }
  const auto view = viewDecoder_.decode(packed.bytes);
  if (view.has_error()) {
    log_.write(LogEvent::viewRefused,
               {{"bytes", packed.bytes.size()}, {"detail", view.error().detail}});
    session_.subscribeAgain();
    return false;
  }
  return receive(connection, view.value());
}

bool RegistryFollower::receive(protocol::ConnectionId connection,
                               const registry::ViewUpdate& view) {
  if (!session_.viewReceived(connection, view)) {
    return false;
  }
  if (view.complete) {
    gateway_.leaderFollowed(suspectsConnection_ == connection,
                            suspectPartsConnection_ == connection);
    suspectsConnection_.reset();
    suspectPartsConnection_.reset();
  }
  gateway_.viewReceived(view);
  resubscribeIfStalled();
  return true;
}

bool RegistryFollower::receive(protocol::ConnectionId connection,
                               const registry::SuspectList& list) {
  if (!session_.isCurrent(connection)) {
    return false;
  }
  if (!session_.following()) {
    suspectsConnection_ = connection;
  }
  gateway_.suspectsReceived(list);
  return true;
}

bool RegistryFollower::receive(protocol::ConnectionId connection,
                               const registry::SuspectPartList& list) {
  if (!session_.isCurrent(connection)) {
    return false;
  }
  if (!session_.following()) {
    suspectPartsConnection_ = connection;
  }
  gateway_.suspectPartsReceived(list);
  return true;
}

bool RegistryFollower::receive(protocol::ConnectionId connection,
                               const registry::NotLeading& message) {
  session_.notLeading(connection, message);
  return false;
}

bool RegistryFollower::receive(protocol::ConnectionId connection,
                               const registry::DocumentConfirmed& answer) {
  if (session_.isCurrent(connection)) {
    gateway_.documentConfirmed(answer);
  }
  return false;
}

bool RegistryFollower::receive(protocol::ConnectionId connection,
                               const registry::QuotaGrant& grant) {
  if (session_.isCurrent(connection)) {
    gateway_.quotaGranted(grant);
  }
  return false;
}

bool RegistryFollower::receive(protocol::ConnectionId connection,
                               const registry::ShareGrant& grant) {
  if (session_.isCurrent(connection)) {
    gateway_.sharesGranted(grant);
  }
  return false;
}

bool RegistryFollower::receive(protocol::ConnectionId connection,
                               const registry::LateModels& late) {
  if (session_.isCurrent(connection)) {
    gateway_.lateModelsReceived(late);
  }
  return false;
}

bool RegistryFollower::receive(protocol::ConnectionId connection,
                               const registry::ModelForecasts& forecasts) {
  if (session_.isCurrent(connection)) {
    gateway_.forecastsReceived(forecasts);
  }
  return false;
}

bool RegistryFollower::receive(protocol::ConnectionId connection,
                               const registry::WorkerTimings& update) {
  if (session_.isCurrent(connection)) {
    gateway_.timingsReceived(update);
  }
  return false;
}

bool RegistryFollower::receive(protocol::ConnectionId connection,
                               const registry::StreamOriginFound& answer) {
  if (session_.isCurrent(connection)) {
    gateway_.streamOriginReceived(answer);
  }
  return false;
}

bool RegistryFollower::receive(protocol::ConnectionId connection,
                               const registry::StartingRetries& grant) {
  if (session_.isCurrent(connection)) {
    gateway_.startingRetriesReceived(grant);
  }
  return false;
}

bool RegistryFollower::receive(protocol::ConnectionId connection,
                               const registry::DocumentPart& part) {
  if (!session_.partReceived(connection)) {
    return false;
  }
  documentProgressAt_ = scheduler_.now();
  auto document = receiver_.take(part, gateway_.document().get());
  if (document.has_error()) {
    refuseDocument(part, document.error());
    return false;
  }
  const bool taken =
      document.value() != nullptr && gateway_.documentReceived(std::move(document.value()));
  session_.setSubscription({gateway_.documentVersion(), receiver_.cursor()});
  session_.send(registry::DocumentPartAck{receiver_.cursor()});
  return taken;
}

void RegistryFollower::resubscribeIfStalled() {
  if (!gateway_.isBehind()) {
    documentProgressAt_.reset();
    return;
  }
  if (!documentProgressAt_) {
    documentProgressAt_ = scheduler_.now();
  }
  if (scheduler_.now() < *documentProgressAt_ + kDocumentTimeout) {
    return;
  }
  log_.write(LogEvent::documentStuck, {{"held", gateway_.documentVersion()},
                                       {"partial", receiver_.cursor().version},
                                       {"bytes", receiver_.cursor().received}});
  documentProgressAt_.reset();
  session_.subscribeAgain();
}

/// Subscribes again for the whole document, as the delta may be at fault.
void RegistryFollower::refuseDocument(const registry::DocumentPart& part,
                                      const base::Error& error) {
  log_.write(LogEvent::documentRefused, {{"version", part.version},
                                         {"base", part.baseVersion},
                                         {"field", error.field},
                                         {"detail", error.detail}});
  session_.setSubscription({});
  session_.subscribeAgain();
}

}  // namespace walnut::gateway
