#include "http/drain_signal.h"

#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <climits>

namespace walnut::http {

namespace {

/// @return whether `descriptor` has input (or an end, or an error), by the timeout or when `event`
/// is readable.
bool hasInput(int descriptor, int event, int timeoutMillis) {
  std::array<pollfd, 2> watched{{{descriptor, POLLIN, 0}, {event, POLLIN, 0}}};
  int count = ::poll(watched.data(), watched.size(), timeoutMillis);
  while (count < 0 && errno == EINTR) {
    count = ::poll(watched.data(), watched.size(), timeoutMillis);
  }
  return count > 0 && watched[0].revents != 0;
}

}  // namespace

DrainSignal::DrainSignal() : event_(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {}

DrainSignal::~DrainSignal() {
  if (event_ >= 0) {
    ::close(event_);
  }
}

void DrainSignal::raise() {
  raised_ = true;
  if (event_ >= 0) {
    ::eventfd_write(event_, 1);
  }
}

bool DrainSignal::awaitInput(int descriptor, const Poco::Timespan& timeout) const {
  const auto millis = std::min<Poco::Timespan::TimeDiff>(timeout.totalMilliseconds(), INT_MAX);
  if (!raised_ && hasInput(descriptor, event_, static_cast<int>(millis))) {
    return true;
  }
  return raised_ && hasInput(descriptor, event_, 0);
}

}  // namespace walnut::http
