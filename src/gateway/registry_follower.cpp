#include "gateway/registry_follower.h"

#include <utility>
#include <variant>

namespace walnut::gateway {

using runtime::LogEvent;

bool RegistryFollower::messageReceived(protocol::ConnectionId connection,
                                       const registry::RegistryMessage& message) {
  return std::visit([this, connection](const auto& body) { return receive(connection, body); },
                    message.body);
}

bool RegistryFollower::receive(protocol::ConnectionId connection,
                               const registry::ViewUpdate& view) {
  if (!session_.viewReceived(connection, view)) {
    return false;
  }
  gateway_.viewReceived(view);
  return true;
}

bool RegistryFollower::receive(protocol::ConnectionId connection,
                               const registry::NotLeading& message) {
  session_.notLeading(connection, message);
  return false;
}

bool RegistryFollower::receive(protocol::ConnectionId connection,
                               const registry::DocumentPart& part) {
  if (!session_.partReceived(connection)) {
    return false;
  }
  auto document = receiver_.take(part, gateway_.document().get());
  if (document.has_error()) {
    refuseDocument(part, document.error());
    return false;
  }
  const bool taken =
      document.value() != nullptr && gateway_.documentReceived(std::move(document.value()));
  session_.setSubscription({gateway_.documentVersion(), receiver_.cursor()});
  session_.send(registry::DocumentPartTaken{receiver_.cursor()});
  return taken;
}

/// The document is asked for as a whole: the delta may be what is wrong.
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
