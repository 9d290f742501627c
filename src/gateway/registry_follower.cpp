#include "gateway/registry_follower.h"

#include <variant>

namespace walnut::gateway {

bool RegistryFollower::messageReceived(protocol::ConnectionId connection,
                                       const registry::RegistryMessage& message) {
  if (const auto* view = std::get_if<registry::ViewUpdate>(&message.body)) {
    return viewReceived(connection, *view);
  }
  if (const auto* other = std::get_if<registry::NotLeading>(&message.body)) {
    session_.notLeading(connection, *other);
  }
  return false;
}

bool RegistryFollower::viewReceived(protocol::ConnectionId connection,
                                    const registry::ViewUpdate& view) {
  const bool fromLeader = !view.provisional && session_.viewReceived(connection, view);
  const bool better = view.provisional && gateway_.documentVersion() == 0;
  if (!fromLeader && !better) {
    return false;
  }
  gateway_.viewReceived(view);
  return true;
}

}  // namespace walnut::gateway
