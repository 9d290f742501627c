#pragma once
/// @file
/// Test fixtures for the transport: a collector of events, and a peer that writes raw bytes.

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <array>
#include <deque>
#include <memory>
#include <string>
#include <variant>

#include "runtime/inbox.h"
#include "transport/frame.h"
#include "walnut/transport/transport.h"

// clang-format off
// Must be included last: it defines `new` as a macro, which breaks standard library headers.
#include <CppUTest/TestHarness.h>
// clang-format on

namespace walnut::transport {

/// Time limit for a single wait, which is only reached if a test fails.
inline constexpr base::Duration kWaitLimit = std::chrono::seconds(30);

/// Transport together with a queue of its events.
class TestTransport {
 public:
  explicit TestTransport(const TransportOptions& options = {}) {
    auto made = makeTransport(options, [this](Event event) { events_.push(std::move(event)); });
    CHECK_TRUE(made.has_value());
    transport_ = std::move(made.value());
  }

  Transport& operator*() { return *transport_; }
  Transport* operator->() { return transport_.get(); }
  base::Endpoint endpoint() const { return {"127.0.0.1", transport_->port()}; }

  Event expectAny() {
    if (pending_.empty()) {
      for (Event& event : events_.waitUntil(runtime::now() + kWaitLimit)) {
        pending_.push_back(std::move(event));
      }
    }
    CHECK_TRUE_TEXT(!pending_.empty(), "no event arrived before the time limit");
    Event event = std::move(pending_.front());
    pending_.pop_front();
    return event;
  }

  /// @return the next event, which must be of type `Kind`.
  template <class Kind>
  Kind expect() {
    const Event event = expectAny();
    CHECK_TRUE_TEXT(std::holds_alternative<Kind>(event), "an event of another type arrived");
    return std::get<Kind>(event);
  }

  /// @return true if no event is queued at the moment.
  bool hasNoEvents() const { return pending_.empty() && events_.size() == 0; }

 private:
  runtime::Inbox<Event> events_;
  std::deque<Event> pending_;
  std::unique_ptr<Transport> transport_;  ///< Must be last: its thread uses the inbox.
};

/// Peer with a blocking socket that sends exactly the bytes given by the test.
class RawPeer {
 public:
  explicit RawPeer(const base::Endpoint& remote)
      : socket_(Poco::Net::SocketAddress(remote.address, remote.port)) {
    socket_.setReceiveTimeout(Poco::Timespan(kWaitLimit.count()));
  }

  void write(const std::string& bytes) {
    socket_.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
  }
  void finishWriting() { socket_.shutdownSend(); }

  /// Reads until the other side closes or resets the connection.
  void readToEnd() {
    std::array<char, 4096> buffer{};
    try {
      while (socket_.receiveBytes(buffer.data(), static_cast<int>(buffer.size())) > 0) {
      }
    } catch (const Poco::TimeoutException&) {
      FAIL("the connection was not closed");
    } catch (const Poco::Exception&) {
      // The connection was reset, which also ends it.
    }
  }

 private:
  Poco::Net::StreamSocket socket_;
};

inline std::string helloFrame() { return encodeFrame(protocol::Hello{}).value(); }

inline std::string probeFrame(std::uint64_t sequence) {
  return encodeFrame(protocol::ProbeRequest{sequence}).value();
}

}  // namespace walnut::transport
