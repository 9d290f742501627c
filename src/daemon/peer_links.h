#pragma once
/// @file
/// Connections of a controller to the other servers of its cell.

#include <deque>
#include <map>
#include <vector>

#include "walnut/base/random.h"
#include "walnut/control/controller.h"
#include "walnut/transport/transport.h"

namespace walnut::daemon {

/// Keeps one connection in use for each server, in both directions, whoever opened it: a
/// connection that carries one direction only would be taken for silent and closed. If both sides
/// opened one, both use the one that the server with the smaller id opened.
///
/// A link has these states: open (there is a connection), opening (messages wait for it, bounded),
/// backing off (messages are dropped). It is opened by the first message after a backoff. Owned by
/// the decision loop.
class PeerLinks {
 public:
  PeerLinks(transport::Transport& transport, base::ServerId self, std::uint64_t seed);

  void send(base::TimePoint now, const control::SendToServer& send);

  /// Of connections to and from other controllers.
  void opened(base::TimePoint now, const transport::Opened& event);
  void closed(const transport::Closed& event);
  void openFailed(base::TimePoint now, const transport::OpenFailed& event);

 private:
  struct Candidate {
    base::ServerId opener;
    protocol::ConnectionId connection;
    auto operator<=>(const Candidate&) const = default;
  };
  struct Link {
    base::Endpoint endpoint;
    std::vector<Candidate> candidates;  ///< Ascending; the first one is in use.
    bool opening = false;
    std::uint32_t failures = 0;
    base::TimePoint openAgainAt;
    std::deque<protocol::Message> waiting;
  };

  void backOff(base::TimePoint now, Link& link);
  Link* findOpening(const base::Endpoint& endpoint);

  transport::Transport& transport_;
  const base::ServerId self_;
  base::Random random_;
  std::map<base::ServerId, Link> links_;
};

}  // namespace walnut::daemon
