#pragma once
/// @file
/// Hands the registry's messages to the session and to the gateway.

#include "gateway/gateway.h"
#include "gateway/registry_session.h"

namespace walnut::gateway {

/// Decides which message changes what the gateway believes.
class RegistryFollower {
 public:
  RegistryFollower(RegistrySession& session, Gateway& gateway)
      : session_(session), gateway_(gateway) {}

  /// @return true if the gateway took something from the message.
  bool messageReceived(protocol::ConnectionId connection, const registry::RegistryMessage& message);

 private:
  bool viewReceived(protocol::ConnectionId connection, const registry::ViewUpdate& view);

  RegistrySession& session_;
  Gateway& gateway_;
};

}  // namespace walnut::gateway
