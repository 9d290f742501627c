#include "net/client_connection.h"

#include <charconv>
#include <string>
#include <utility>

namespace walnut::net {

namespace {

using base::Error;
using base::ErrorCode;

constexpr std::size_t kMaxResponseHeadBytes = 64U << 10U;
constexpr int kFirstFinalStatus = 200;
/// @name What a server may send before the response to a request
/// @{
constexpr std::size_t kMaxInterimResponses = 16;
/// Bytes of late responses to other requests; most responses are far shorter.
constexpr std::size_t kMaxDiscardedBytes = 1U << 20U;
/// @}

/// @return the `timeout` parameter of the Keep-Alive field, if present and valid.
std::optional<base::Duration> parseKeepAlive(const HeaderList& headers) {
  const std::string* text = headers.find("Keep-Alive");
  if (text == nullptr) {
    return std::nullopt;
  }
  constexpr std::string_view kParameter = "timeout=";
  const std::size_t begin = text->find(kParameter);
  if (begin == std::string::npos) {
    return std::nullopt;
  }
  std::uint32_t seconds = 0;
  const char* const from = text->data() + begin + kParameter.size();
  const auto [rest, failure] = std::from_chars(from, text->data() + text->size(), seconds);
  if (failure != std::errc()) {
    return std::nullopt;
  }
  return std::chrono::seconds(seconds);
}

}  // namespace

ClientConnection::ClientConnection(event::Dispatcher& dispatcher, const base::Endpoint& remote,
                                   const ClientTimeouts& timeouts, std::uint64_t number)
    : dispatcher_(dispatcher),
      number_(number),
      connection_(dispatcher, remote, timeouts.connect, timeouts.unacked, *this),
      parser_(MessageParser::Kind::response, kMaxResponseHeadBytes, *this) {}

void ClientConnection::send(const HttpRequest& request, ResponseCallbacks& callbacks) {
  callbacks_ = &callbacks;
  ++requests_;
  reusable_ = false;
  discardResponse_ = false;
  interimResponses_ = 0;
  discardedBytes_ = 0;
  if (request.method == "HEAD") {
    parser_.expectNoBody();
  }
  std::string bytes = encodeRequestHead(request);
  bytes.reserve(bytes.size() + request.body.size());
  bytes += request.body;
  connection_.writeOwned(std::move(bytes));
}

void ClientConnection::cancel() {
  callbacks_ = nullptr;
  onIdleEnd_ = nullptr;
  connection_.close();
}

void ClientConnection::onData(std::string_view bytes) {
  while (!bytes.empty() && callbacks_ != nullptr) {
    const auto taken = parser_.feed(bytes);
    if (taken.has_error()) {
      fail(taken.error());
      return;
    }
    bytes.remove_prefix(taken.value());
    const auto surplus = checkSurplus();
    if (surplus.has_error() && callbacks_ != nullptr) {
      fail(surplus.error());
      return;
    }
  }
  if (!bytes.empty() && !connection_.closed()) {
    // The server sent bytes that belong to no request.
    reusable_ = false;
    handleIdleEnd();
  }
}

void ClientConnection::onEndOfStream() {
  if (callbacks_ == nullptr) {
    handleIdleEnd();
    return;
  }
  const auto ended = parser_.feedEnd();
  if (callbacks_ != nullptr) {
    fail(ended.has_error()
             ? ended.error()
             : Error{ErrorCode::connectionLost, "connection", "closed by the server"});
  }
}

void ClientConnection::onEnd(const Error& error) {
  if (callbacks_ == nullptr) {
    handleIdleEnd();
    return;
  }
  if (error.code == ErrorCode::connectFailed) {
    ResponseCallbacks* const callbacks = std::exchange(callbacks_, nullptr);
    callbacks->onResponseFailure(error, false);
    return;
  }
  fail(error);
}

void ClientConnection::onHead(MessageHead head) {
  interim_ = head.status < kFirstFinalStatus;
  if (interim_) {
    ++interimResponses_;
    return;
  }
  keepAlive_ = head.keepAlive;
  framed_ = head.framed;
  keepAliveTimeout_ = parseKeepAlive(head.headers);
  discardResponse_ = !callbacks_->onResponseHead(std::move(head));
  hasDiscarded_ = hasDiscarded_ || discardResponse_;
}

void ClientConnection::onBody(std::string_view bytes) {
  discardedBytes_ += discardResponse_ ? bytes.size() : 0;
  if (!discardResponse_ && !interim_ && callbacks_ != nullptr) {
    callbacks_->onResponseBody(bytes);
  }
}

void ClientConnection::onComplete() {
  if (std::exchange(interim_, false) || std::exchange(discardResponse_, false) ||
      callbacks_ == nullptr) {
    return;
  }
  const bool writtenWhole = connection_.bufferedBytes() == 0;
  reusable_ = keepAlive_ && framed_ && writtenWhole && !hasDiscarded_;
  ResponseCallbacks* const callbacks = std::exchange(callbacks_, nullptr);
  callbacks->onResponseComplete();
}

base::Result<void> ClientConnection::checkSurplus() const {
  if (interimResponses_ > kMaxInterimResponses) {
    return Error{ErrorCode::malformedInput, "interim responses",
                 "over " + std::to_string(kMaxInterimResponses)};
  }
  if (discardedBytes_ > kMaxDiscardedBytes) {
    return Error{ErrorCode::inputTooLarge, "response to another request",
                 "over " + std::to_string(kMaxDiscardedBytes) + " bytes"};
  }
  return base::success();
}

void ClientConnection::fail(const Error& error) {
  ResponseCallbacks* const callbacks = std::exchange(callbacks_, nullptr);
  connection_.close();
  if (callbacks != nullptr) {
    callbacks->onResponseFailure(error, true);
  }
}

void ClientConnection::handleIdleEnd() {
  connection_.close();
  if (onIdleEnd_) {
    std::exchange(onIdleEnd_, nullptr)();
  }
}

}  // namespace walnut::net
