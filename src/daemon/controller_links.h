#pragma once
/// @file
/// Connections of a router to the controllers of its cell, as its routing logic orders them.

#include <map>
#include <optional>

#include "walnut/routing/router.h"
#include "walnut/transport/transport.h"

namespace walnut::daemon {

/// Carries out OpenController and CloseController, and turns the transport's events into inputs.
/// Reconnection with backoff is the routing logic's. Owned by the decision loop.
class ControllerLinks {
 public:
  explicit ControllerLinks(transport::Transport& transport) : transport_(transport) {}

  void open(const base::Endpoint& endpoint);
  void close(const base::Endpoint& endpoint);

  /// @return the input for the routing logic, or nothing if the event is of a connection that is
  /// no longer wanted.
  std::optional<routing::RouterInput> take(const transport::Event& event);

 private:
  /// A link is there from `open` until `close`.
  struct Link {
    std::optional<protocol::ConnectionId> connection;  ///< The one that the logic knows.
  };

  std::optional<routing::RouterInput> opened(const transport::Opened& event);
  std::optional<routing::RouterInput> closed(const transport::Closed& event);
  std::optional<routing::RouterInput> openFailed(const transport::OpenFailed& event);

  transport::Transport& transport_;
  std::map<base::Endpoint, Link> links_;
};

}  // namespace walnut::daemon
