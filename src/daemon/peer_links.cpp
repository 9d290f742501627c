#include "daemon/peer_links.h"

#include <algorithm>

namespace walnut::daemon {

namespace {

/// Below the least election timeout, so that a server that is back is soon heard.
constexpr base::Duration kBackoffMin = std::chrono::milliseconds(20);
constexpr base::Duration kBackoffMax = std::chrono::milliseconds(400);
constexpr std::uint32_t kMaxBackoffDoublings = 8;
/// Messages that wait while a connection is being opened. Consensus sends again what is lost.
constexpr std::size_t kMaxWaiting = 64;

}  // namespace

PeerLinks::PeerLinks(transport::Transport& transport, base::ServerId self, std::uint64_t seed)
    : transport_(transport), self_(self), random_(seed) {}

void PeerLinks::send(base::TimePoint now, const control::SendToServer& send) {
  Link& link = links_[send.server];
  link.endpoint = send.endpoint;
  if (!link.candidates.empty()) {
    transport_.send(link.candidates.front().connection, send.message);
    return;
  }
  if (!link.opening) {
    if (now < link.openAgainAt) {
      return;
    }
    link.opening = true;
    transport_.open(link.endpoint);
  }
  if (link.waiting.size() == kMaxWaiting) {
    link.waiting.pop_front();
  }
  link.waiting.push_back(send.message);
}

void PeerLinks::opened(base::TimePoint now, const transport::Opened& event) {
  const base::ServerId server{event.hello.id};
  if (!event.accepted) {
    Link* asked = findOpening(event.remote);
    if (asked != nullptr && asked != &links_[server]) {
      backOff(now, *asked);  // Another server answers at that endpoint.
    } else if (asked != nullptr) {
      asked->opening = false;
    }
  }
  Link& link = links_[server];
  link.failures = 0;
  const Candidate candidate{event.accepted ? server : self_, event.connection};
  link.candidates.insert(
      std::upper_bound(link.candidates.begin(), link.candidates.end(), candidate), candidate);
  for (const protocol::Message& message : link.waiting) {
    transport_.send(link.candidates.front().connection, message);
  }
  link.waiting.clear();
}

void PeerLinks::closed(const transport::Closed& event) {
  for (auto& [server, link] : links_) {
    std::erase_if(link.candidates, [&event](const Candidate& candidate) {
      return candidate.connection == event.connection;
    });
  }
}

void PeerLinks::openFailed(base::TimePoint now, const transport::OpenFailed& event) {
  Link* link = findOpening(event.remote);
  if (link != nullptr) {
    backOff(now, *link);
  }
}

PeerLinks::Link* PeerLinks::findOpening(const base::Endpoint& endpoint) {
  for (auto& [server, link] : links_) {
    if (link.opening && link.endpoint == endpoint) {
      return &link;
    }
  }
  return nullptr;
}

void PeerLinks::backOff(base::TimePoint now, Link& link) {
  const std::uint32_t doublings = std::min(link.failures, kMaxBackoffDoublings);
  const base::Duration ceiling = std::min(kBackoffMax, kBackoffMin * (1U << doublings));
  ++link.failures;
  link.opening = false;
  link.waiting.clear();
  link.openAgainAt = now + random_.between(ceiling / 2, ceiling);
}

}  // namespace walnut::daemon
