#include "http/open_connections.h"

#include <sys/socket.h>

#include <algorithm>

#include "walnut/runtime/clock.h"

namespace walnut::http {

void OpenConnections::set(const Poco::Net::SocketImpl* connection, base::TimePoint countsUntil) {
  const std::lock_guard lock(mutex_);
  countsUntil_[connection] = countsUntil;
  changed_.notify_all();
}

void OpenConnections::queued(const Poco::Net::SocketImpl* connection) {
  set(connection, base::kNever);
}

void OpenConnections::expected(const Poco::Net::SocketImpl* connection) {
  set(connection, runtime::now() + grace_);
}

void OpenConnections::used(const Poco::Net::SocketImpl* connection) {
  set(connection, base::kNever);
}

void OpenConnections::closed(const Poco::Net::SocketImpl* connection) {
  const std::lock_guard lock(mutex_);
  countsUntil_.erase(connection);
  changed_.notify_all();
}

void OpenConnections::waitUntilNone() {
  std::unique_lock lock(mutex_);
  while (true) {
    const base::TimePoint now = runtime::now();
    std::erase_if(countsUntil_, [now](const auto& entry) { return entry.second <= now; });
    if (countsUntil_.empty()) {
      return;
    }
    const auto next = std::min_element(
        countsUntil_.begin(), countsUntil_.end(),
        [](const auto& left, const auto& right) { return left.second < right.second; });
    if (next->second == base::kNever) {
      changed_.wait(lock);
    } else {
      changed_.wait_for(lock, next->second - now);
    }
  }
}

OpenSocketImpl::OpenSocketImpl(poco_socket_t descriptor, OpenConnections& open,
                               const DrainSignal& drain)
    : StreamSocketImpl(descriptor), open_(open), drain_(drain) {
  open_.queued(this);
}

OpenSocketImpl::~OpenSocketImpl() { open_.closed(this); }

bool OpenSocketImpl::poll(const Poco::Timespan& timeout, int mode) {
  if (mode != SELECT_READ) {
    return StreamSocketImpl::poll(timeout, mode);
  }
  return used_ ? drain_.awaitInput(sockfd(), timeout) : awaitFirstRequest(timeout);
}

int OpenSocketImpl::receiveBytes(void* buffer, int length, int flags) {
  const int count = StreamSocketImpl::receiveBytes(buffer, length, flags);
  const bool peeks = (flags & MSG_PEEK) != 0;
  if (count > 0 && !peeks) {
    tracker_.received({static_cast<const char*>(buffer), static_cast<std::size_t>(count)});
  } else if (count == 0 && length > 0) {
    tracker_.ended();
  }
  return count;
}

bool OpenSocketImpl::awaitFirstRequest(const Poco::Timespan& timeout) {
  // A request that has come already is not subject to the grace.
  bool ready = StreamSocketImpl::poll(Poco::Timespan(0), SELECT_READ);
  if (!ready) {
    open_.expected(this);
    ready = StreamSocketImpl::poll(timeout, SELECT_READ);
  }
  if (ready) {
    used_ = true;
    open_.used(this);
  }
  return ready;
}

}  // namespace walnut::http
