#pragma once
/// @file
/// A server for tests that answers each connection with the bytes that the test gives it.

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "net/connection.h"
#include "net/listener.h"

namespace walnut::net::testing {

/// Writes once to each connection, when the first bytes of a request come.
class RawServer {
 public:
  /// What follows the bytes on a connection.
  enum class Then { keepOpen, close, reset };

  explicit RawServer(event::Dispatcher& dispatcher) : dispatcher_(dispatcher) {
    listener_ = std::move(
        Listener::open(dispatcher, {"127.0.0.1", 0}, [this](const Poco::Net::StreamSocket& socket) {
          peers_.push_back(std::make_unique<Peer>(*this, socket));
        }).value());
  }
  const base::Endpoint& endpoint() const { return listener_->endpoint(); }

  std::string bytes;
  bool endless = false;  ///< The bytes follow each other until the client closes.
  Then then = Then::keepOpen;
  std::size_t requests = 0;
  std::size_t ended = 0;  ///< Connections that the client has closed.

 private:
  struct Peer : ConnectionCallbacks {
    Peer(RawServer& owner, const Poco::Net::StreamSocket& accepted)
        : server(owner), socket(accepted), connection(owner.dispatcher_, accepted, *this) {}

    void onData(std::string_view) override {
      if (std::exchange(answered, true)) {
        return;
      }
      ++server.requests;
      connection.write(server.bytes);
      finish();
    }
    void onEndOfStream() override { end(); }
    void onEnd(const base::Error&) override { end(); }
    void onDrained() override {
      if (answered && server.endless && !closed) {
        connection.write(server.bytes);
      }
    }
    void finish() {
      if (server.then == Then::keepOpen) {
        return;
      }
      if (server.then == Then::reset) {
        socket.setLinger(true, 0);
      }
      closed = true;
      connection.close();
    }
    void end() {
      if (!std::exchange(closed, true)) {
        ++server.ended;
        connection.close();
      }
    }

    RawServer& server;
    Poco::Net::StreamSocket socket;
    Connection connection;
    bool answered = false;
    bool closed = false;
  };

  event::Dispatcher& dispatcher_;
  std::unique_ptr<Listener> listener_;
  std::vector<std::unique_ptr<Peer>> peers_;
};

}  // namespace walnut::net::testing
