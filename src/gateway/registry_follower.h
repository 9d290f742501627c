#pragma once
/// @file
/// Dispatches the registry's messages to the session and to the gateway.

#include <optional>

#include "gateway/document_receiver.h"
#include "gateway/gateway.h"
#include "gateway/registry_session.h"
#include "walnut/registry/view_codec.h"

namespace walnut::gateway {

/// Decides which messages of registry servers change the gateway's state: only those of the server
/// that the session follows, which is a leader with a valid lease. Messages of other servers are
/// ignored, also after a restart. Invariant: a gateway that knows of a newer document receives it,
/// or subscribes again.
class RegistryFollower {
 public:
  RegistryFollower(const event::Scheduler& scheduler, RegistrySession& session, Gateway& gateway,
                   runtime::EventLog& log)
      : scheduler_(scheduler), session_(session), gateway_(gateway), log_(log) {}

  /// @return true if the message changed the gateway's state.
  bool messageReceived(protocol::ConnectionId connection, const registry::RegistryMessage& message);

 private:
  bool receive(protocol::ConnectionId connection, const registry::PackedView& packed);
  bool receive(protocol::ConnectionId connection, const registry::ViewUpdate& view);
  bool receive(protocol::ConnectionId connection, const registry::DocumentPart& part);
  bool receive(protocol::ConnectionId connection, const registry::SuspectList& list);
  bool receive(protocol::ConnectionId connection, const registry::SuspectPartList& list);
  bool receive(protocol::ConnectionId connection, const registry::NotLeading& message);
  bool receive(protocol::ConnectionId connection, const registry::DocumentConfirmed& answer);
  bool receive(protocol::ConnectionId connection, const registry::QuotaGrant& grant);
  bool receive(protocol::ConnectionId connection, const registry::LateModels& late);
  bool receive(protocol::ConnectionId connection, const registry::ModelForecasts& forecasts);
  bool receive(protocol::ConnectionId connection, const registry::ShareGrant& grant);
  bool receive(protocol::ConnectionId connection, const registry::WorkerTimings& update);
  bool receive(protocol::ConnectionId connection, const registry::StreamOriginFound& answer);
  bool receive(protocol::ConnectionId connection, const registry::StartingRetries& grant);
  template <class Other>
  bool receive(protocol::ConnectionId, const Other&) {
    return false;  // A message for servers only.
  }
  void refuseDocument(const registry::DocumentPart& part, const base::Error& error);

  void resubscribeIfStalled();

  const event::Scheduler& scheduler_;
  RegistrySession& session_;
  Gateway& gateway_;
  runtime::EventLog& log_;
  DocumentReceiver receiver_;
  registry::ViewDecoder viewDecoder_;
  /// When a newer document was announced, or a part of it last came.
  std::optional<base::TimePoint> documentProgressAt_;
  /// Connection that has sent a list of suspects, but no view yet.
  std::optional<protocol::ConnectionId> suspectsConnection_;
  /// The same of a list of suspect parts.
  std::optional<protocol::ConnectionId> suspectPartsConnection_;
};

}  // namespace walnut::gateway
