#include "http/listening_socket.h"

#include <sys/socket.h>

#include <cerrno>
#include <thread>

namespace walnut::http {

bool ListeningSocketImpl::poll(const Poco::Timespan& timeout, int /*mode*/) {
  {
    const std::lock_guard lock(mutex_);
    if (state_ == State::released) {
      std::this_thread::yield();  // The server is about to set its own flag.
      return false;
    }
  }
  // Read before the look at the backlog, which then sees all that was connected before the drain.
  const bool draining = drain_.raised();
  if (drain_.awaitInput(sockfd(), timeout)) {
    return true;
  }
  if (draining) {
    close();
    moveTo(State::closed);
    waitWhile(State::closed);
  }
  return false;
}

Poco::Net::SocketImpl* ListeningSocketImpl::acceptConnection(
    Poco::Net::SocketAddress& clientAddress) {
  sockaddr_storage buffer{};
  auto* const address = reinterpret_cast<sockaddr*>(&buffer);
  socklen_t length = sizeof(buffer);
  int descriptor = ::accept(sockfd(), address, &length);
  while (descriptor < 0 && errno == EINTR) {
    length = sizeof(buffer);
    descriptor = ::accept(sockfd(), address, &length);
  }
  if (descriptor < 0) {
    error();  // Throws.
  }
  clientAddress = Poco::Net::SocketAddress(address, length);
  return new OpenSocketImpl(descriptor, open_, drain_);
}

void ListeningSocketImpl::drain() {
  drain_.raise();
  waitWhile(State::listening);
}

void ListeningSocketImpl::release() { moveTo(State::released); }

void ListeningSocketImpl::moveTo(State state) {
  const std::lock_guard lock(mutex_);
  state_ = state;
  changed_.notify_all();
}

void ListeningSocketImpl::waitWhile(State state) {
  std::unique_lock lock(mutex_);
  changed_.wait(lock, [this, state] { return state_ != state; });
}

}  // namespace walnut::http
