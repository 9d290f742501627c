#include "event/waker.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <array>

namespace walnut::event {

Waker::Waker() : socket_(Poco::Net::SocketAddress("127.0.0.1", 0)) {
  socket_.connect(socket_.address());
  socket_.setBlocking(false);
}

void Waker::wake() {
  if (pending_.exchange(true)) {
    return;
  }
  try {
    constexpr char kSignal = 'w';
    socket_.sendBytes(&kSignal, sizeof(kSignal));
  } catch (const Poco::Exception&) {
    // The polling thread still checks at its next timer, and a later call sends again.
    pending_ = false;
  }
}

void Waker::drain() {
  std::array<char, 16> buffer{};
  try {
    while (socket_.receiveBytes(buffer.data(), static_cast<int>(buffer.size())) > 0) {
    }
  } catch (const Poco::Exception&) {
    // Nothing more to read.
  }
  pending_ = false;
}

}  // namespace walnut::event
