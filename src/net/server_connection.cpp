#include "net/server_connection.h"

#include <Poco/Format.h>
#include <Poco/NumberFormatter.h>

#include <algorithm>
#include <utility>

namespace walnut::net {

namespace {

using base::ErrorCode;

constexpr int kBadRequest = 400;
constexpr int kContentTooLarge = 413;
constexpr int kHeadTooLarge = 431;
/// Bytes of further requests that are buffered while one is handled; beyond that, reading pauses.
constexpr std::size_t kMaxPending = 64U << 10U;
/// Longest time to wait, after a request was rejected, for what the caller is still sending:
/// closing a socket with unread bytes would reset the connection and lose the response.
constexpr base::Duration kLingerTimeout = std::chrono::seconds(1);
/// Time to read on after a time-out that finds unread bytes.
constexpr base::Duration kUnreadTimeout = std::chrono::milliseconds(200);
constexpr std::string_view kContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

std::int64_t wholeSeconds(base::Duration duration) {
  return std::chrono::duration_cast<std::chrono::seconds>(duration).count();
}

}  // namespace

ServerConnection::ServerConnection(event::Dispatcher& dispatcher,
                                   const Poco::Net::StreamSocket& socket,
                                   const ServerLimits& limits, RequestHandler& handler,
                                   ClosedCallback onClosed)
    : dispatcher_(dispatcher),
      limits_(limits),
      handler_(handler),
      onClosed_(std::move(onClosed)),
      connection_(dispatcher, socket, *this),
      parser_(MessageParser::Kind::request, limits.maxHeadBytes, *this),
      timer_(dispatcher.createTimer([this] { onTimeout(); })) {
  armTimer();
}

void ServerConnection::closeWhenIdle() {
  announceClose_ = true;
  closeWhenIdle_ = true;
  closeIfIdle();
}

void ServerConnection::closeIfIdle() {
  if (closeWhenIdle_ && idle() && connection_.bufferedBytes() == 0 && !connection_.hasUnread()) {
    connection_.close();
    becomeClosed();
  }
}

void ServerConnection::armTimer() {
  unsent_ = connection_.bufferedBytes();
  if (isWriting()) {
    timer_->enableAt(dispatcher_.now() + limits_.writeTimeout);
  } else if (state_ == State::idle) {
    idleSince_ = dispatcher_.now();
    timer_->enableAt(idleUntil());
  } else if (state_ == State::reading) {
    timer_->enableAt(dispatcher_.now() + limits_.headTimeout);
  } else {
    timer_->disable();
  }
}

/// @return true if the last answer is complete here, and the caller has still to read some of it.
bool ServerConnection::isWriting() const {
  return (state_ == State::idle || (state_ == State::closing && !refused_)) &&
         connection_.bufferedBytes() > 0;
}

/// A process that was suspended runs its timers while most of what came in that time is still
/// unread. The size limits of a request bound how often this postpones the time-out.
bool ServerConnection::hasUnreadRequest() const {
  return (state_ == State::idle || state_ == State::reading) && !refused_ &&
         connection_.hasUnread();
}

/// The limits may change after a caller was told an idle time-out, or while a connection is idle:
/// the longer time-out holds.
base::TimePoint ServerConnection::idleUntil() const {
  return idleSince_ + std::max(announcedIdleTimeout_, limits_.idleTimeout);
}

void ServerConnection::onTimeout() {
  if (state_ == State::idle && !isWriting() && dispatcher_.now() < idleUntil()) {
    timer_->enableAt(idleUntil());
    return;
  }
  if (isWriting() && connection_.bufferedBytes() < unsent_) {
    armTimer();
    return;
  }
  if (hasUnreadRequest()) {
    timer_->enableAt(dispatcher_.now() + kUnreadTimeout);
    return;
  }
  // The connection is idle, the request did not arrive in time, or the caller has stopped reading:
  // no request is being handled, so it is safe to close.
  connection_.close();
  becomeClosed();
}

void ServerConnection::onData(std::string_view bytes) {
  if (state_ == State::closing || state_ == State::closed) {
    return;
  }
  pending_.append(bytes);
  if (pending_.size() > kMaxPending && state_ == State::handling) {
    connection_.setReading(false);
  }
  parsePending();
}

void ServerConnection::parsePending() {
  if (parsing_) {
    return;
  }
  parsing_ = true;
  while (!pending_.empty() && (state_ == State::idle || state_ == State::reading) && !refused_) {
    if (state_ == State::idle) {
      state_ = State::reading;
      request_ = {};
      armTimer();
    }
    const std::string bytes = std::exchange(pending_, {});
    const auto taken = parser_.feed(bytes);
    if (taken.has_error()) {
      refuse(taken.error().code == ErrorCode::inputTooLarge ? kHeadTooLarge : kBadRequest);
      break;
    }
    if (state_ != State::closed) {
      pending_.insert(0, bytes.substr(taken.value()));
    }
  }
  parsing_ = false;
}

void ServerConnection::onHead(MessageHead head) {
  keepAlive_ = head.keepAlive;
  request_.method = std::move(head.method);
  request_.target = std::move(head.target);
  request_.headers = std::move(head.headers);
  headRequest_ = request_.method == "HEAD";
  const std::string* expect = request_.headers.find("Expect");
  if (expect != nullptr) {
    connection_.write(kContinueResponse);
    request_.headers.remove("Expect");
  }
  timer_->enableAt(dispatcher_.now() + limits_.idleTimeout);
}

void ServerConnection::onBody(std::string_view bytes) {
  if (refused_) {
    return;
  }
  if (request_.body.size() + bytes.size() > limits_.maxBodyBytes) {
    refuse(kContentTooLarge);
    return;
  }
  request_.body.append(bytes);
}

void ServerConnection::onComplete() {
  if (refused_) {
    return;
  }
  state_ = State::handling;
  armTimer();
  handler_.onRequest(std::move(request_), *this);
}

void ServerConnection::refuse(int status) {
  refused_ = true;
  announceClose_ = true;
  HttpResponse response;
  response.head.status = status;
  state_ = State::handling;
  respond(std::move(response));
}

bool ServerConnection::willClose() const { return !keepAlive_ || announceClose_; }

void ServerConnection::finishHead(HttpResponseHead& head) {
  if (willClose()) {
    head.headers.set("Connection", "close");
  } else {
    announcedIdleTimeout_ = limits_.idleTimeout;
    head.headers.set("Keep-Alive", "timeout=" + std::to_string(wholeSeconds(limits_.idleTimeout)));
  }
}

void ServerConnection::respond(HttpResponse response) {
  finishHead(response.head);
  response.head.headers.set("Content-Length", std::to_string(response.body.size()));
  std::string bytes = encodeResponseHead(response.head);
  if (!headRequest_) {
    bytes += response.body;
  }
  connection_.write(bytes);
  finishAnswer();
}

void ServerConnection::beginChunked(HttpResponseHead head) {
  finishHead(head);
  head.headers.set("Transfer-Encoding", "chunked");
  connection_.write(encodeResponseHead(head));
}

void ServerConnection::writeChunk(std::string_view bytes) {
  if (bytes.empty() || headRequest_) {
    return;
  }
  std::string chunk = Poco::NumberFormatter::formatHex(static_cast<Poco::UInt64>(bytes.size()));
  chunk += "\r\n";
  chunk += bytes;
  chunk += "\r\n";
  connection_.write(chunk);
}

void ServerConnection::endChunked() {
  if (!headRequest_) {
    connection_.write("0\r\n\r\n");
  }
  finishAnswer();
}

void ServerConnection::abort() {
  onGone_ = nullptr;
  onDrained_ = nullptr;
  connection_.close();
  becomeClosed();
}

void ServerConnection::finishAnswer() {
  onGone_ = nullptr;
  onDrained_ = nullptr;
  if (state_ == State::closed) {
    return;
  }
  connection_.reserveOutput(0);
  if (willClose() || closeWhenIdle_) {
    beginClosing();
    return;
  }
  state_ = State::idle;
  armTimer();
  connection_.setReading(true);
  if (!pending_.empty()) {
    dispatcher_.runSoon([this] { parsePending(); });
  }
}

void ServerConnection::beginClosing() {
  if (connection_.bufferedBytes() == 0 && !refused_) {
    connection_.close();
    becomeClosed();
    return;
  }
  state_ = State::closing;
  connection_.setReading(true);
  if (refused_) {
    timer_->enableAt(dispatcher_.now() + kLingerTimeout);
  } else {
    armTimer();
  }
}

void ServerConnection::onEndOfStream() { handleDisconnect(); }

void ServerConnection::onEnd(const base::Error& /*error*/) { handleDisconnect(); }

void ServerConnection::handleDisconnect() {
  if (state_ == State::closed) {
    return;
  }
  const std::function<void()> gone = std::exchange(onGone_, nullptr);
  connection_.close();
  becomeClosed();
  if (gone) {
    gone();
  }
}

void ServerConnection::onDrained() {
  if (onDrained_) {
    onDrained_();
  } else if (state_ == State::closing && !refused_) {
    connection_.close();
    becomeClosed();
  } else if (state_ == State::idle) {
    armTimer();
    closeIfIdle();
  }
}

void ServerConnection::becomeClosed() {
  if (state_ == State::closed) {
    return;
  }
  state_ = State::closed;
  timer_->disable();
  onClosed_(*this);
}

}  // namespace walnut::net
