#include "net/server_connection.h"

#include <Poco/Format.h>
#include <Poco/NumberFormatter.h>

#include <algorithm>
#include <utility>

#include "walnut/base/tight_append.h"

namespace walnut::net {

namespace {

using base::ErrorCode;

constexpr int kBadRequest = 400;
constexpr int kContentTooLarge = 413;
constexpr int kHeadTooLarge = 431;
constexpr int kUnavailable = 503;
/// Bytes of further requests that are buffered while one is handled; beyond that, reading pauses.
constexpr std::size_t kMaxPending = 64U << 10U;
/// Longest time to wait, after a request was rejected, for what the caller is still sending:
/// closing a socket with unread bytes would reset the connection and lose the response.
constexpr base::Duration kLingerTimeout = std::chrono::seconds(1);
/// Time to read on after a time-out that finds unread bytes.
constexpr base::Duration kUnreadTimeout = std::chrono::milliseconds(200);
/// Larger bodies are written by a call of their own rather than copied behind the head.
constexpr std::size_t kMaxCopiedBody = 16U << 10U;
/// Bodies up to this size are received without asking for room.
constexpr std::size_t kUnreservedBody = 16U << 10U;
/// Room that a body of unknown length takes at a time.
constexpr std::size_t kBodyStep = 256U << 10U;
/// Until the first request of a new connection has come, if the server closes idle ones.
constexpr base::Duration kFirstRequestTime = std::chrono::milliseconds(500);
constexpr std::string_view kRetryAfterNoRoom = "1";
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
      openedAt_(dispatcher.now()),
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

bool ServerConnection::mayClose() const {
  const bool expectsFirst = !hasBegunRequest_ && dispatcher_.now() < openedAt_ + kFirstRequestTime;
  return idle() && !expectsFirst && connection_.bufferedBytes() == 0 && !connection_.hasUnread();
}

void ServerConnection::closeIfIdle() {
  if (closeWhenIdle_ && mayClose()) {
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
      hasBegunRequest_ = true;
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
  const std::uint64_t length = request_.headers.findNumber("Content-Length").value_or(0);
  if (length <= limits_.maxBodyBytes && !reserveBody(static_cast<std::size_t>(length))) {
    return;
  }
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
  const std::size_t size = request_.body.size() + bytes.size();
  const bool hasRoom = size <= std::max(kUnreservedBody, reservedBody_) ||
                       reserveBody(std::max(size, reservedBody_ + kBodyStep));
  if (hasRoom) {
    base::tightAppend(request_.body, bytes);
  }
}

/// Reserves the memory of the body that is being received, or refuses the request as not run.
/// @return false if it was refused.
bool ServerConnection::reserveBody(std::size_t bytes) {
  if (bytes <= std::max(kUnreservedBody, reservedBody_)) {
    return true;
  }
  if (!handler_.reserveBody(bytes - reservedBody_)) {
    refuse(kUnavailable);
    return false;
  }
  reservedBody_ = bytes;
  return true;
}

void ServerConnection::releaseBody() {
  if (reservedBody_ > 0) {
    handler_.releaseBody(std::exchange(reservedBody_, 0));
  }
}

void ServerConnection::onComplete() {
  if (refused_) {
    return;
  }
  state_ = State::handling;
  armTimer();
  releaseBody();
  handler_.onRequest(std::move(request_), *this);
}

void ServerConnection::refuse(int status) {
  refused_ = true;
  announceClose_ = true;
  releaseBody();
  request_.body = {};
  HttpResponse response;
  response.head.status = status;
  if (status == kUnavailable) {
    response.head.headers.add("Retry-After", std::string(kRetryAfterNoRoom));
  }
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
  if (!headRequest_ && response.body.size() <= kMaxCopiedBody) {
    bytes += response.body;
    response.body.clear();
  }
  connection_.writeOwned(std::move(bytes));
  if (!headRequest_ && !response.body.empty()) {
    connection_.writeOwned(std::move(response.body));
  }
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
  releaseBody();
  onClosed_(*this);
}

}  // namespace walnut::net
