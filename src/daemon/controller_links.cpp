#include "daemon/controller_links.h"

namespace walnut::daemon {

void ControllerLinks::open(const base::Endpoint& endpoint) {
  links_[endpoint];
  transport_.open(endpoint);
}

void ControllerLinks::close(const base::Endpoint& endpoint) {
  const auto found = links_.find(endpoint);
  if (found == links_.end()) {
    return;
  }
  if (found->second.connection) {
    transport_.close(*found->second.connection);
  }
  links_.erase(found);
}

std::optional<routing::RouterInput> ControllerLinks::take(const transport::Event& event) {
  if (const auto* nowOpen = std::get_if<transport::Opened>(&event)) {
    return opened(*nowOpen);
  }
  if (const auto* nowClosed = std::get_if<transport::Closed>(&event)) {
    return closed(*nowClosed);
  }
  if (const auto* failed = std::get_if<transport::OpenFailed>(&event)) {
    return openFailed(*failed);
  }
  const auto& received = std::get<transport::Received>(event);
  return routing::ControllerMessage{received.connection, received.message};
}

std::optional<routing::RouterInput> ControllerLinks::opened(const transport::Opened& event) {
  const auto found = links_.find(event.remote);
  if (found == links_.end()) {
    transport_.close(event.connection);  // Closed by the logic while it was being opened.
    return std::nullopt;
  }
  if (found->second.connection) {
    transport_.close(*found->second.connection);
  }
  found->second.connection = event.connection;
  return routing::ControllerConnected{event.connection, event.remote, event.hello};
}

std::optional<routing::RouterInput> ControllerLinks::closed(const transport::Closed& event) {
  const auto found = links_.find(event.remote);
  if (found == links_.end() || found->second.connection != event.connection) {
    return std::nullopt;
  }
  found->second.connection.reset();
  return routing::ControllerDisconnected{event.remote};
}

std::optional<routing::RouterInput> ControllerLinks::openFailed(
    const transport::OpenFailed& event) {
  const auto found = links_.find(event.remote);
  if (found == links_.end() || found->second.connection) {
    return std::nullopt;
  }
  return routing::ControllerDisconnected{event.remote};
}

}  // namespace walnut::daemon
