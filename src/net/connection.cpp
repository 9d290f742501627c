#include "net/connection.h"

#include <Poco/Exception.h>
#include <Poco/Net/IPAddress.h>
#include <Poco/Net/SocketAddress.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <system_error>
#include <utility>

namespace walnut::net {

namespace {

using base::Error;
using base::ErrorCode;
using Poco::Net::PollSet;

constexpr std::size_t kReadBytes = 16U << 10U;

bool wouldBlock(const Poco::Exception& exception) {
  return exception.code() == EAGAIN || exception.code() == EWOULDBLOCK;
}

}  // namespace

base::Result<Poco::Net::SocketAddress> toSocketAddress(const base::Endpoint& endpoint) {
  Poco::Net::IPAddress address;
  if (!Poco::Net::IPAddress::tryParse(endpoint.address, address)) {
    return Error{ErrorCode::malformedInput, "endpoint",
                 "'" + endpoint.address + "' is not an IP number"};
  }
  return Poco::Net::SocketAddress(address, endpoint.port);
}

Connection::Connection(event::Dispatcher& dispatcher, const Poco::Net::StreamSocket& socket,
                       ConnectionCallbacks& callbacks)
    : dispatcher_(dispatcher), callbacks_(callbacks), socket_(socket), state_(State::open) {
  mode_ = PollSet::POLL_READ | PollSet::POLL_ERROR;
  dispatcher_.add(socket_, mode_, *this);
}

Connection::Connection(event::Dispatcher& dispatcher, const base::Endpoint& remote,
                       base::Duration connectTimeout, base::Duration unackedTimeout,
                       ConnectionCallbacks& callbacks)
    : dispatcher_(dispatcher), callbacks_(callbacks) {
  connectTimer_ = dispatcher_.createTimer([this] {
    if (state_ == State::connecting) {
      fail({ErrorCode::connectFailed, "connection", "no answer to the connect"});
    }
  });
  const auto address = toSocketAddress(remote);
  try {
    if (address.has_error()) {
      throw Poco::InvalidArgumentException(address.error().detail);
    }
    socket_.connectNB(address.value());
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(unackedTimeout);
    socket_.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(millis.count()));
    mode_ = PollSet::POLL_READ | PollSet::POLL_WRITE | PollSet::POLL_ERROR;
    dispatcher_.add(socket_, mode_, *this);
    connectTimer_->enableAt(dispatcher_.now() + connectTimeout);
  } catch (const Poco::Exception&) {
    connectTimer_->enableAt(dispatcher_.now());
  }
}

Connection::~Connection() { close(); }

void Connection::write(std::string_view bytes) {
  if (state_ == State::closed) {
    return;
  }
  output_.append(bytes);
  if (state_ == State::open) {
    flush();
  }
  updateCount();
}

void Connection::writeOwned(std::string bytes) {
  if (state_ == State::closed) {
    return;
  }
  output_.append(std::move(bytes));
  if (state_ == State::open) {
    flush();
  }
  updateCount();
}

void Connection::reserveOutput(std::size_t bytes) {
  reservedOutput_ = bytes;
  updateCount();
}

/// A connection that is closed counts no output, although the buffer keeps it until the end.
void Connection::updateCount() {
  if (counter_ == nullptr) {
    return;
  }
  const bool isClosed = state_ == State::closed;
  const ByteCount count =
      isClosed ? ByteCount{} : ByteCount{output_.size(), std::max(output_.size(), reservedOutput_)};
  if (count != count_) {
    counter_->countChanged(std::exchange(count_, count), count);
  }
}

void Connection::close() {
  if (state_ == State::closed) {
    return;
  }
  state_ = State::closed;
  updateCount();
  connectTimer_.reset();
  dispatcher_.remove(socket_);
  try {
    socket_.close();
  } catch (const Poco::Exception&) {
    // The descriptor is released even if closing fails.
  }
}

void Connection::setReading(bool enabled) {
  reading_ = enabled;
  updateMode();
}

bool Connection::hasUnread() const {
  if (state_ != State::open || endOfStream_) {
    return false;
  }
  try {
    return socket_.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
  } catch (const Poco::Exception&) {
    return false;
  }
}

void Connection::onReady(int mode) {
  if (state_ == State::connecting) {
    finishConnecting();
    return;
  }
  if ((mode & (PollSet::POLL_READ | PollSet::POLL_ERROR)) != 0) {
    receive();
  }
  if (state_ == State::open && (mode & PollSet::POLL_WRITE) != 0) {
    flush();
  }
}

void Connection::finishConnecting() {
  try {
    const int failure = socket_.impl()->socketError();
    if (failure != 0) {
      fail({ErrorCode::connectFailed, "connection", std::generic_category().message(failure)});
      return;
    }
    socket_.setNoDelay(true);
  } catch (const Poco::Exception& exception) {
    fail({ErrorCode::connectFailed, "connection", exception.displayText()});
    return;
  }
  state_ = State::open;
  connectTimer_->disable();
  callbacks_.onConnected();
  if (state_ == State::open) {
    flush();
  }
}

void Connection::receive() {
  static thread_local std::array<char, kReadBytes> buffer;
  int count = 0;
  try {
    count = socket_.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
  } catch (const Poco::Exception& exception) {
    if (!wouldBlock(exception)) {
      fail({ErrorCode::connectionLost, "connection", exception.displayText()});
    }
    return;
  }
  if (count < 0) {
    return;
  }
  if (count > 0) {
    callbacks_.onData({buffer.data(), static_cast<std::size_t>(count)});
    return;
  }
  if (endOfStream_) {
    fail({ErrorCode::connectionLost, "connection", "reset after its end"});
    return;
  }
  endOfStream_ = true;
  updateMode();
  callbacks_.onEndOfStream();
}

void Connection::flush() {
  const bool hadOutput = !output_.empty();
  while (!output_.empty()) {
    const std::string_view bytes = output_.front();
    int count = 0;
    try {
      count = socket_.sendBytes(bytes.data(), static_cast<int>(bytes.size()), MSG_NOSIGNAL);
    } catch (const Poco::Exception& exception) {
      if (!wouldBlock(exception)) {
        // Data that the peer sent before it closed may still be unread, and is more informative
        // than this error. The next read reports the error as well.
        output_.consume(output_.size());
        updateMode();
        updateCount();
        return;
      }
      count = 0;
    }
    if (count <= 0) {
      break;
    }
    output_.consume(static_cast<std::size_t>(count));
  }
  updateMode();
  updateCount();
  if (output_.empty() && hadOutput) {
    callbacks_.onDrained();
  }
}

void Connection::updateMode() {
  if (state_ != State::open) {
    return;
  }
  int mode = PollSet::POLL_ERROR;
  if (reading_ && !endOfStream_) {
    mode |= PollSet::POLL_READ;
  }
  if (!output_.empty()) {
    mode |= PollSet::POLL_WRITE;
  }
  if (mode != mode_) {
    mode_ = mode;
    dispatcher_.update(socket_, mode);
  }
}

void Connection::fail(const Error& error) {
  if (state_ == State::closed) {
    return;
  }
  close();
  callbacks_.onEnd(error);
}

}  // namespace walnut::net
