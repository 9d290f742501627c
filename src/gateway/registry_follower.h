#pragma once
/// @file
/// Hands the registry's messages to the session and to the gateway.

#include <optional>

#include "gateway/document_receiver.h"
#include "gateway/gateway.h"
#include "gateway/registry_session.h"
#include "walnut/registry/view_codec.h"

namespace walnut::gateway {

/// Invariant: a gateway that knows of a newer document takes it, or asks again.
/// Decides which message changes what the gateway believes: only what the server says that it
/// follows, which is a leader with a valid lease. Nothing else is believed, also after a restart.
class RegistryFollower {
 public:
  RegistryFollower(const event::Scheduler& scheduler, RegistrySession& session, Gateway& gateway,
                   runtime::EventLog& log)
      : scheduler_(scheduler), session_(session), gateway_(gateway), log_(log) {}

  /// @return true if the gateway took something from the message.
  bool messageReceived(protocol::ConnectionId connection, const registry::RegistryMessage& message);

 private:
  bool receive(protocol::ConnectionId connection, const registry::PackedView& packed);
  bool receive(protocol::ConnectionId connection, const registry::ViewUpdate& view);
  bool receive(protocol::ConnectionId connection, const registry::DocumentPart& part);
  bool receive(protocol::ConnectionId connection, const registry::SuspectList& list);
  bool receive(protocol::ConnectionId connection, const registry::NotLeading& message);
  bool receive(protocol::ConnectionId connection, const registry::DocumentConfirmed& answer);
  bool receive(protocol::ConnectionId connection, const registry::QuotaGrant& grant);
  bool receive(protocol::ConnectionId connection, const registry::LateModels& late);
  bool receive(protocol::ConnectionId connection, const registry::ShareGrant& grant);
  template <class Other>
  bool receive(protocol::ConnectionId, const Other&) {
    return false;  // For servers only.
  }
  void refuseDocument(const registry::DocumentPart& part, const base::Error& error);

  void askAgainIfStuck();

  const event::Scheduler& scheduler_;
  RegistrySession& session_;
  Gateway& gateway_;
  runtime::EventLog& log_;
  DocumentReceiver receiver_;
  registry::ViewDecoder viewDecoder_;
  /// When a newer document was told of, or a part of it came.
  std::optional<base::TimePoint> documentMovedAt_;
  /// Has told of suspects, and sent no view yet.
  std::optional<protocol::ConnectionId> suspectsFrom_;
};

}  // namespace walnut::gateway
