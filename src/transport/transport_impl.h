#pragma once
/// @file
/// Implementation of the transport with a poll thread.

#include <Poco/Net/PollSet.h>
#include <Poco/Net/ServerSocket.h>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <unordered_map>
#include <variant>
#include <vector>

#include "event/waker.h"
#include "transport/connection.h"
#include "walnut/transport/transport.h"

namespace walnut::transport {

/// Transport with one poll thread, which owns all sockets and connections. Other threads only queue
/// commands and wake the poll thread. Invariant: each Opened is followed by exactly one Closed,
/// unless the transport is destroyed first; `close` also causes a Closed. Destruction drops all
/// queued data.
class TransportImpl : public Transport {
 public:
  /// Throws Poco::Exception if listening fails.
  TransportImpl(const TransportOptions& options, std::string helloFrame, EventSink sink);
  ~TransportImpl() override;
  TransportImpl(const TransportImpl&) = delete;
  TransportImpl& operator=(const TransportImpl&) = delete;

  std::uint16_t port() const override { return port_; }
  void open(const base::Endpoint& remote) override;
  void close(protocol::ConnectionId connection) override;
  void send(protocol::ConnectionId connection, const protocol::Message& message) override;
  TrafficCounters counters() const override;

 private:
  struct OpenCommand {
    base::Endpoint remote;
  };
  struct CloseCommand {
    protocol::ConnectionId connection;
    base::Error error;
  };
  struct SendCommand {
    protocol::ConnectionId connection;
    std::string frame;
  };
  using Command = std::variant<OpenCommand, CloseCommand, SendCommand>;
  using ConnectionMap = std::map<protocol::ConnectionId, std::unique_ptr<Connection>>;

  void post(Command command);
  void run();
  void pollOnce();
  void handleReady(const Poco::Net::Socket& socket, int mode);

  void runCommands();
  void execute(const OpenCommand& command);
  void execute(const CloseCommand& command);
  void execute(const SendCommand& command);

  void acceptAll();
  void pauseAccepting(const std::string& detail);
  void add(const Poco::Net::StreamSocket& socket, const base::Endpoint& remote, bool accepted);
  base::Result<void> handleConnection(Connection& connection, int mode);
  base::Result<void> beginGreeting(Connection& connection);
  base::Result<void> onMessage(Connection& connection, protocol::Message message);
  base::Result<void> onHello(Connection& connection, const protocol::Hello& hello);
  base::Result<void> write(Connection& connection);

  void handleTimers();
  /// @return the time at which the connection times out unless data is received from its peer.
  base::TimePoint deadlineOf(const Connection& connection) const;
  base::Error timeoutErrorOf(const Connection& connection) const;
  void end(protocol::ConnectionId connection, const base::Error& error);
  /// After an unexpected error nothing is known of the state of the connections.
  void endAll(const base::Error& error);

  const TransportOptions options_;
  const std::string helloFrame_;
  const EventSink sink_;

  std::mutex commandsMutex_;
  std::vector<Command> commands_;
  std::atomic<bool> stopping_ = false;
  event::Waker waker_;

  // Used by the poll thread only.
  std::optional<Poco::Net::ServerSocket> listener_;
  std::uint16_t port_ = 0;
  std::optional<base::TimePoint> resumeAcceptingAt_;
  Poco::Net::PollSet pollSet_;
  ConnectionMap connections_;
  std::unordered_map<const Poco::Net::SocketImpl*, protocol::ConnectionId> idsBySocket_;
  std::vector<protocol::ConnectionId> unflushed_;  ///< Connections with newly queued frames.
  std::uint64_t lastId_ = 0;
  base::TimePoint nextTimer_ = base::kNever;

  std::atomic<std::uint64_t> bytesSent_ = 0;
  std::atomic<std::uint64_t> bytesReceived_ = 0;
  std::atomic<std::uint64_t> messagesSent_ = 0;
  std::atomic<std::uint64_t> messagesReceived_ = 0;

  std::thread thread_;  ///< Must be last: started once all other members are ready.
};

}  // namespace walnut::transport
