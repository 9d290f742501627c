#include "transport/connection.h"

#include <Poco/Exception.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <climits>
#include <system_error>

namespace walnut::transport {

namespace {

using base::Error;
using base::ErrorCode;
using base::Result;

constexpr std::size_t kReadBufferBytes = 64U << 10U;
/// Maximum number of reads from one connection before other connections are served.
constexpr int kMaxReadsPerIteration = 16;

Error lost(const std::string& detail) { return {ErrorCode::connectionLost, "connection", detail}; }

/// @return true if POCO's exception only means that the operation would block.
bool wouldBlock(const Poco::Exception& exception) {
  return exception.code() == EAGAIN || exception.code() == EWOULDBLOCK;
}

}  // namespace

Connection::Connection(protocol::ConnectionId id, const Poco::Net::StreamSocket& socket,
                       base::Endpoint remote, bool accepted, base::TimePoint now)
    : id_(id),
      socket_(socket),
      remote_(std::move(remote)),
      accepted_(accepted),
      state_(accepted ? ConnectionState::greeting : ConnectionState::connecting),
      startedAt_(now),
      lastReceivedAt_(now) {}

Result<void> Connection::finishConnecting(base::TimePoint now) {
  try {
    const int failure = socket_.impl()->socketError();
    if (failure != 0) {
      return Error{ErrorCode::connectFailed, "connection",
                   std::generic_category().message(failure)};
    }
    socket_.setNoDelay(true);
  } catch (const Poco::Exception& exception) {
    return Error{ErrorCode::connectFailed, "connection", exception.displayText()};
  }
  state_ = ConnectionState::greeting;
  lastReceivedAt_ = now;
  return base::success();
}

Result<std::size_t> Connection::receive(base::TimePoint now, const MessageHandler& onMessage) {
  // The read buffer is shared by all connections, so that idle ones need none.
  static thread_local std::array<char, kReadBufferBytes> buffer;
  std::size_t total = 0;
  for (int iteration = 0; iteration < kMaxReadsPerIteration; ++iteration) {
    int count = 0;
    try {
      count = socket_.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
    } catch (const Poco::Exception& exception) {
      if (wouldBlock(exception)) {
        break;
      }
      return lost(exception.displayText());
    }
    if (count == 0) {
      return lost("closed by the peer");
    }
    if (count < 0) {
      break;  // No more data is available.
    }
    lastReceivedAt_ = now;
    total += static_cast<std::size_t>(count);
    reader_.feed({buffer.data(), static_cast<std::size_t>(count)});
    BOOST_OUTCOME_TRYV(dispatch(onMessage));
    if (static_cast<std::size_t>(count) < buffer.size()) {
      break;
    }
  }
  return total;
}

Result<void> Connection::dispatch(const MessageHandler& onMessage) {
  while (true) {
    BOOST_OUTCOME_TRY(message, reader_.next());
    if (!message) {
      return base::success();
    }
    BOOST_OUTCOME_TRYV(onMessage(std::move(*message)));
  }
}

Result<void> Connection::queue(std::string_view frame, std::size_t limit) {
  if (output_.size() + frame.size() > limit) {
    return Error{ErrorCode::inputTooLarge, "outputQueue",
                 "the peer is too slow: over " + std::to_string(limit) + " bytes would wait"};
  }
  output_.append(frame);
  return base::success();
}

Result<std::size_t> Connection::flush() {
  std::size_t total = 0;
  while (!output_.empty()) {
    const std::string_view bytes = output_.front().substr(0, INT_MAX);
    int count = 0;
    try {
      count = socket_.sendBytes(bytes.data(), static_cast<int>(bytes.size()), MSG_NOSIGNAL);
    } catch (const Poco::Exception& exception) {
      if (wouldBlock(exception)) {
        break;
      }
      return lost(exception.displayText());
    }
    if (count <= 0) {
      break;
    }
    total += static_cast<std::size_t>(count);
    output_.consume(static_cast<std::size_t>(count));
  }
  return total;
}

}  // namespace walnut::transport
