#include "transport/transport_impl.h"

#include <Poco/Exception.h>
#include <Poco/Net/IPAddress.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <exception>

#include "walnut/runtime/clock.h"
#include "walnut/runtime/log.h"
#include "walnut/runtime/settings.h"

namespace walnut::transport {

namespace {

using base::Error;
using base::ErrorCode;
using base::Result;
using Poco::Net::PollSet;

/// Maximum number of connections waiting to be accepted; above the 400 routers that may restart at
/// the same time.
constexpr int kListenBacklog = 512;
/// Time for which accepting is suspended when the system runs out of descriptors or memory.
constexpr base::Duration kAcceptPause = std::chrono::milliseconds(100);
/// Time for a Hello, in connect timeouts: the peer's kernel connects at once, but its process may
/// be held up.
constexpr int kGreetingTimeouts = 8;
constexpr base::Duration kMaxPollDuration = std::chrono::seconds(1);

base::Endpoint toEndpoint(const Poco::Net::SocketAddress& address) {
  return {address.host().toString(), address.port()};
}

/// @return the address; host names are refused, since POCO would resolve them.
Result<Poco::Net::SocketAddress> toSocketAddress(const base::Endpoint& endpoint) {
  Poco::Net::IPAddress address;
  if (!Poco::Net::IPAddress::tryParse(endpoint.address, address)) {
    return Error{ErrorCode::malformedInput, "endpoint",
                 "'" + endpoint.address + "' is not an IP number"};
  }
  return Poco::Net::SocketAddress(address, endpoint.port);
}

}  // namespace

TransportImpl::TransportImpl(const TransportOptions& options, std::string helloFrame,
                             EventSink sink)
    : options_(options), helloFrame_(std::move(helloFrame)), sink_(std::move(sink)) {
  if (options_.listen) {
    const Poco::Net::IPAddress address(options_.listenAddress);
    listener_.emplace();
    // The port must not be shared: by default POCO lets a second process listen on it as well.
    constexpr bool kReuseAddress = true;
    constexpr bool kReusePort = false;
    listener_->bind(Poco::Net::SocketAddress(address, options_.listenPort), kReuseAddress,
                    kReusePort);
    listener_->listen(kListenBacklog);
    listener_->setBlocking(false);
    port_ = listener_->address().port();
    pollSet_.add(*listener_, PollSet::POLL_READ);
  }
  pollSet_.add(waker_.socket(), PollSet::POLL_READ);
  thread_ = std::thread([this] { run(); });
}

TransportImpl::~TransportImpl() {
  stopping_ = true;
  waker_.wake();
  thread_.join();
}

void TransportImpl::open(const base::Endpoint& remote) { post(OpenCommand{remote}); }

void TransportImpl::close(protocol::ConnectionId connection) {
  post(CloseCommand{connection,
                    {ErrorCode::connectionLost, "connection", "closed by this process"}});
}

void TransportImpl::send(protocol::ConnectionId connection, const protocol::Message& message) {
  Result<std::string> frame = encodeFrame(message);
  if (frame.has_error()) {
    // The peer must not miss a message unnoticed, so the connection is closed.
    runtime::logError("message-too-large", frame.error());
    post(CloseCommand{connection, frame.error()});
    return;
  }
  post(SendCommand{connection, std::move(frame.value())});
}

TrafficCounters TransportImpl::counters() const {
  return {bytesSent_, bytesReceived_, messagesSent_, messagesReceived_};
}

void TransportImpl::post(Command command) {
  {
    const std::lock_guard lock(commandsMutex_);
    commands_.push_back(std::move(command));
  }
  waker_.wake();
}

void TransportImpl::run() {
  while (!stopping_) {
    try {
      pollOnce();
    } catch (const Poco::Exception& exception) {
      // The poll set itself failed. The connections are kept, and the next iteration retries.
      runtime::logError("poll-failed", {ErrorCode::internal, "poll", exception.displayText()});
    } catch (const std::exception& exception) {
      const Error error = {ErrorCode::internal, "transport", exception.what()};
      runtime::logError("transport-failed", error);
      endAll(error);
    }
  }
}

void TransportImpl::pollOnce() {
  const base::TimePoint now = runtime::now();
  const base::TimePoint wakeup = std::min(nextTimer_, resumeAcceptingAt_.value_or(base::kNever));
  const base::Duration wait = std::clamp(wakeup - now, base::Duration::zero(), kMaxPollDuration);
  // The poll set's resolution is a millisecond. Rounds up to avoid a busy loop before a deadline.
  const auto millis = std::chrono::ceil<std::chrono::milliseconds>(wait).count();
  const PollSet::SocketModeMap ready = pollSet_.poll(
      Poco::Timespan(std::chrono::microseconds(std::chrono::milliseconds(millis)).count()));
  for (const auto& [socket, mode] : ready) {
    handleReady(socket, mode);
  }
  runCommands();
  handleTimers();
}

void TransportImpl::handleReady(const Poco::Net::Socket& socket, int mode) {
  if (socket == waker_.socket()) {
    waker_.drain();
    return;
  }
  if (listener_ && socket == *listener_) {
    acceptAll();
    return;
  }
  const auto found = idsBySocket_.find(socket.impl());
  if (found == idsBySocket_.end()) {
    return;  // The connection ended earlier in this iteration.
  }
  const protocol::ConnectionId id = found->second;
  const Result<void> handled = handleConnection(*connections_.at(id), mode);
  if (handled.has_error()) {
    end(id, handled.error());
  }
}

void TransportImpl::runCommands() {
  std::vector<Command> commands;
  {
    const std::lock_guard lock(commandsMutex_);
    commands.swap(commands_);
  }
  for (const Command& command : commands) {
    std::visit([this](const auto& alternative) { execute(alternative); }, command);
  }
  // Flushes each connection once for all frames of the iteration, so that they are sent in one
  // write.
  for (const protocol::ConnectionId id : std::exchange(unflushed_, {})) {
    const auto found = connections_.find(id);
    if (found == connections_.end()) {
      continue;
    }
    const Result<void> written = write(*found->second);
    if (written.has_error()) {
      end(id, written.error());
    }
  }
}

void TransportImpl::execute(const OpenCommand& command) {
  const auto address = toSocketAddress(command.remote);
  if (address.has_error()) {
    sink_(OpenFailed{command.remote, address.error()});
    return;
  }
  try {
    Poco::Net::StreamSocket socket;
    socket.connectNB(address.value());
    add(socket, command.remote, false);
  } catch (const Poco::Exception& exception) {
    const Error error = {ErrorCode::connectFailed, "connection", exception.displayText()};
    sink_(OpenFailed{command.remote, error});
  }
}

void TransportImpl::execute(const CloseCommand& command) {
  const auto found = connections_.find(command.connection);
  if (found == connections_.end()) {
    return;
  }
  // Messages that were sent before the close are written if the socket accepts them.
  (void)write(*found->second);
  end(command.connection, command.error);
}

void TransportImpl::execute(const SendCommand& command) {
  const auto found = connections_.find(command.connection);
  if (found == connections_.end() || found->second->state() != ConnectionState::open) {
    return;
  }
  Connection& connection = *found->second;
  const bool first = !connection.needsWrite();
  const Result<void> queued = connection.queue(command.frame, options_.maxQueuedBytes);
  if (queued.has_error()) {
    end(command.connection, queued.error());
    return;
  }
  ++messagesSent_;
  if (first) {
    unflushed_.push_back(command.connection);
  }
}

void TransportImpl::acceptAll() {
  try {
    while (listener_->poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
      Poco::Net::SocketAddress address;
      Poco::Net::StreamSocket socket = listener_->acceptConnection(address);
      socket.setBlocking(false);
      socket.setNoDelay(true);
      add(socket, toEndpoint(address), true);
    }
  } catch (const Poco::Exception& exception) {
    pauseAccepting(exception.displayText());
  }
}

void TransportImpl::pauseAccepting(const std::string& detail) {
  runtime::logError("accept-failed", {ErrorCode::connectFailed, "listen", detail});
  pollSet_.remove(*listener_);
  resumeAcceptingAt_ = runtime::now() + kAcceptPause;
}

void TransportImpl::add(const Poco::Net::StreamSocket& socket, const base::Endpoint& remote,
                        bool accepted) {
  const protocol::ConnectionId id = {++lastId_};
  const Poco::Net::SocketImpl* key = socket.impl();
  auto connection = std::make_unique<Connection>(id, socket, remote, accepted, runtime::now());
  Connection& added = *connection;
  added.pollMode = PollSet::POLL_READ | (accepted ? 0 : PollSet::POLL_WRITE);
  pollSet_.add(added.socket(), added.pollMode);
  connections_.emplace(id, std::move(connection));
  idsBySocket_.emplace(key, id);
  nextTimer_ = std::min(nextTimer_, deadlineOf(added));
  if (accepted) {
    const Result<void> greeted = beginGreeting(added);
    if (greeted.has_error()) {
      end(id, greeted.error());
    }
  }
}

Result<void> TransportImpl::handleConnection(Connection& connection, int mode) {
  if (connection.state() == ConnectionState::connecting) {
    BOOST_OUTCOME_TRYV(connection.finishConnecting(runtime::now()));
    return beginGreeting(connection);
  }
  if ((mode & (PollSet::POLL_READ | PollSet::POLL_ERROR)) != 0) {
    const auto handler = [this, &connection](protocol::Message message) {
      return onMessage(connection, std::move(message));
    };
    BOOST_OUTCOME_TRY(count, connection.receive(runtime::now(), handler));
    bytesReceived_ += count;
    if (count == 0 && (mode & PollSet::POLL_ERROR) != 0) {
      return Error{ErrorCode::connectionLost, "connection", "error on the socket"};
    }
  }
  if ((mode & PollSet::POLL_WRITE) != 0) {
    BOOST_OUTCOME_TRYV(write(connection));
  }
  return base::success();
}

Result<void> TransportImpl::beginGreeting(Connection& connection) {
  BOOST_OUTCOME_TRYV(connection.queue(helloFrame_, options_.maxQueuedBytes));
  ++messagesSent_;
  return write(connection);
}

Result<void> TransportImpl::onMessage(Connection& connection, protocol::Message message) {
  ++messagesReceived_;
  const auto* hello = std::get_if<protocol::Hello>(&message);
  const bool greeting = connection.state() == ConnectionState::greeting;
  if ((hello != nullptr) != greeting) {
    return Error{ErrorCode::malformedInput, "hello",
                 greeting ? "the first message is not a Hello" : "a second Hello"};
  }
  if (hello != nullptr) {
    return onHello(connection, *hello);
  }
  sink_(Received{connection.id(), std::move(message)});
  return base::success();
}

Result<void> TransportImpl::onHello(Connection& connection, const protocol::Hello& hello) {
  if (hello.protocolVersion != options_.hello.protocolVersion) {
    return Error{ErrorCode::unsupportedVersion, "hello.protocolVersion",
                 std::to_string(hello.protocolVersion) +
                     "; accepted: " + std::to_string(options_.hello.protocolVersion)};
  }
  if (hello.cell != options_.hello.cell) {
    return Error{ErrorCode::outOfRange, "hello.cell", "the peer belongs to another cell"};
  }
  connection.markOpen();
  nextTimer_ = std::min(nextTimer_, deadlineOf(connection));
  sink_(Opened{connection.id(), connection.remote(), connection.accepted(), hello});
  return base::success();
}

Result<void> TransportImpl::write(Connection& connection) {
  if (connection.state() == ConnectionState::connecting) {
    return base::success();
  }
  BOOST_OUTCOME_TRY(count, connection.flush());
  bytesSent_ += count;
  const int mode = PollSet::POLL_READ | (connection.needsWrite() ? PollSet::POLL_WRITE : 0);
  if (mode == connection.pollMode) {
    return base::success();
  }
  try {
    pollSet_.update(connection.socket(), mode);
  } catch (const Poco::Exception& exception) {
    return Error{ErrorCode::connectionLost, "connection", exception.displayText()};
  }
  connection.pollMode = mode;
  return base::success();
}

void TransportImpl::handleTimers() {
  const base::TimePoint now = runtime::now();
  if (resumeAcceptingAt_ && now >= *resumeAcceptingAt_) {
    resumeAcceptingAt_.reset();
    pollSet_.add(*listener_, PollSet::POLL_READ);
  }
  if (now < nextTimer_) {
    return;
  }
  // Received bytes extend the deadlines; nextTimer_ is only recomputed here.
  nextTimer_ = base::kNever;
  std::vector<protocol::ConnectionId> expired;
  for (const auto& [id, connection] : connections_) {
    const base::TimePoint deadline = deadlineOf(*connection);
    if (deadline <= now) {
      expired.push_back(id);
    } else {
      nextTimer_ = std::min(nextTimer_, deadline);
    }
  }
  for (const protocol::ConnectionId id : expired) {
    end(id, timeoutErrorOf(*connections_.at(id)));
  }
}

base::TimePoint TransportImpl::deadlineOf(const Connection& connection) const {
  const auto connectTimeout = std::chrono::milliseconds(options_.connectTimeoutMillis);
  switch (connection.state()) {
    case ConnectionState::connecting:
      return connection.startedAt() + connectTimeout;
    case ConnectionState::greeting:
      return connection.lastReceivedAt() + kGreetingTimeouts * connectTimeout;
    case ConnectionState::open:
      break;
  }
  return connection.lastReceivedAt() + std::chrono::milliseconds(options_.idleCloseMillis);
}

Error TransportImpl::timeoutErrorOf(const Connection& connection) const {
  switch (connection.state()) {
    case ConnectionState::connecting:
      return {ErrorCode::timedOut, "connection", "no answer to connect"};
    case ConnectionState::greeting:
      return {ErrorCode::timedOut, "hello", "no Hello came"};
    case ConnectionState::open:
      break;
  }
  return {ErrorCode::timedOut, "connection", "the peer was silent for too long"};
}

void TransportImpl::end(protocol::ConnectionId connection, const Error& error) {
  const auto found = connections_.find(connection);
  if (found == connections_.end()) {
    return;
  }
  const std::unique_ptr<Connection> ended = std::move(found->second);
  connections_.erase(found);
  idsBySocket_.erase(ended->socket().impl());
  try {
    pollSet_.remove(ended->socket());
  } catch (const Poco::Exception& exception) {
    // Closing the socket removes it from the poll set as well.
    runtime::logEvent("poll-remove-failed", {{"detail", exception.displayText()}});
  }
  runtime::logEvent("connection-ended", {{"remote", runtime::formatEndpoint(ended->remote())},
                                         {"error", base::errorCodeName(error.code)},
                                         {"field", error.field},
                                         {"detail", error.detail}});
  if (ended->state() == ConnectionState::open) {
    sink_(Closed{connection, ended->remote(), error});
  } else if (!ended->accepted()) {
    sink_(OpenFailed{ended->remote(), error});
  }
}

void TransportImpl::endAll(const Error& error) {
  while (!connections_.empty()) {
    end(connections_.begin()->first, error);
  }
}

Result<std::unique_ptr<Transport>> makeTransport(const TransportOptions& options, EventSink sink) {
  BOOST_OUTCOME_TRY(helloFrame, encodeFrame(options.hello));
  try {
    return std::unique_ptr<Transport>(
        std::make_unique<TransportImpl>(options, std::move(helloFrame), std::move(sink)));
  } catch (const Poco::Exception& exception) {
    return Error{ErrorCode::connectFailed, "listen",
                 runtime::formatEndpoint({options.listenAddress, options.listenPort}) + ": " +
                     exception.displayText()};
  }
}

}  // namespace walnut::transport
