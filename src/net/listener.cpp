#include "net/listener.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <utility>

#include "net/connection.h"
#include "walnut/runtime/settings.h"

namespace walnut::net {

namespace {

using base::Error;
using base::ErrorCode;
using Poco::Net::PollSet;

constexpr int kBacklog = 512;
constexpr int kMaxAcceptsPerIteration = 64;
constexpr base::Duration kAcceptPause = std::chrono::milliseconds(100);

}  // namespace

base::Result<std::unique_ptr<Listener>> Listener::open(event::Dispatcher& dispatcher,
                                                       const base::Endpoint& endpoint,
                                                       AcceptCallback onAccept) {
  BOOST_OUTCOME_TRY(address, toSocketAddress(endpoint));
  try {
    Poco::Net::ServerSocket socket;
    constexpr bool kReuseAddress = true;
    constexpr bool kReusePort = false;
    socket.bind(address, kReuseAddress, kReusePort);
    socket.listen(kBacklog);
    socket.setBlocking(false);
    base::Endpoint bound{endpoint.address, socket.address().port()};
    return std::unique_ptr<Listener>(
        new Listener(dispatcher, socket, std::move(bound), std::move(onAccept)));
  } catch (const Poco::Exception& exception) {
    return Error{ErrorCode::connectFailed, "listen",
                 runtime::formatEndpoint(endpoint) + ": " + exception.displayText()};
  }
}

Listener::Listener(event::Dispatcher& dispatcher, const Poco::Net::ServerSocket& socket,
                   base::Endpoint endpoint, AcceptCallback onAccept)
    : dispatcher_(dispatcher),
      socket_(socket),
      endpoint_(std::move(endpoint)),
      onAccept_(std::move(onAccept)),
      resumeTimer_(
          dispatcher.createTimer([this] { dispatcher_.add(socket_, PollSet::POLL_READ, *this); })) {
  dispatcher_.add(socket_, PollSet::POLL_READ, *this);
}

Listener::~Listener() { dispatcher_.remove(socket_); }

void Listener::onReady(int /*mode*/) {
  try {
    for (int count = 0; count < kMaxAcceptsPerIteration; ++count) {
      if (!socket_.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
        return;
      }
      Poco::Net::SocketAddress peer;
      Poco::Net::StreamSocket accepted = socket_.acceptConnection(peer);
      accepted.setBlocking(false);
      accepted.setNoDelay(true);
      onAccept_(accepted);
    }
  } catch (const Poco::Exception&) {
    dispatcher_.remove(socket_);
    resumeTimer_->enableAt(dispatcher_.now() + kAcceptPause);
  }
}

}  // namespace walnut::net
