#include "http/http_client.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <utility>

namespace walnut::http {

using base::Error;
using base::ErrorCode;
using base::Result;

namespace {

constexpr std::size_t kReadBlockBytes = 16U << 10U;

Error lost(const std::string& detail) { return {ErrorCode::connectionLost, "connection", detail}; }

Error errorOf(const Poco::Exception& exception) {
  if (dynamic_cast<const Poco::TimeoutException*>(&exception) != nullptr) {
    return {ErrorCode::timedOut, "connection", exception.displayText()};
  }
  return lost(exception.displayText());
}

std::string encodeRequest(const ClientRequest& request, const std::string& host, bool keepAlive) {
  net::HttpRequest head;
  head.method = request.method;
  head.target = request.path;
  head.headers.add("Host", host);
  for (const net::Header& header : request.headers) {
    head.headers.add(header.name, header.value);
  }
  if (!request.body.empty()) {
    head.headers.add("Content-Type", request.contentType);
  }
  if (!request.body.empty() || request.method == "POST" || request.method == "PUT") {
    head.headers.add("Content-Length", std::to_string(request.body.size()));
  }
  head.headers.add("Connection", keepAlive ? "Keep-Alive" : "Close");
  return net::encodeRequestHead(head) + request.body;
}

}  // namespace

HttpClientConnection::~HttpClientConnection() { close(); }

void HttpClientConnection::close() {
  socket_.reset();
  reader_.reset();
  const std::lock_guard lock(abortMutex_);
  if (abortDescriptor_ >= 0) {
    ::close(abortDescriptor_);
    abortDescriptor_ = -1;
  }
}

Result<void> HttpClientConnection::connect(const base::Endpoint& endpoint, base::Duration timeout) {
  close();
  host_ = endpoint.address + ":" + std::to_string(endpoint.port);
  try {
    auto socket = std::make_unique<Poco::Net::StreamSocket>();
    socket->connect(Poco::Net::SocketAddress(endpoint.address, endpoint.port),
                    Poco::Timespan(timeout.count()));
    socket->setNoDelay(true);
    socket_ = std::move(socket);
  } catch (const Poco::Exception& exception) {
    return Error{ErrorCode::connectFailed, host_, exception.displayText()};
  }
  reader_ = std::make_unique<ResponseReader>();
  const std::lock_guard lock(abortMutex_);
  if (aborted_) {
    return Error{ErrorCode::connectFailed, host_, "aborted before anything was sent"};
  }
  abortDescriptor_ = ::dup(socket_->impl()->sockfd());
  if (abortDescriptor_ < 0) {
    return Error{ErrorCode::connectFailed, host_, "no file descriptor is left"};
  }
  return base::success();
}

Result<void> HttpClientConnection::setTimeout(base::Duration timeout) {
  try {
    socket_->setReceiveTimeout(Poco::Timespan(timeout.count()));
    socket_->setSendTimeout(Poco::Timespan(timeout.count()));
  } catch (const Poco::Exception& exception) {
    return errorOf(exception);
  }
  return base::success();
}

Result<void> HttpClientConnection::send(const ClientRequest& request, bool keepAlive) {
  reader_->begin(request.method == "HEAD");
  failure_.reset();
  const std::string bytes = encodeRequest(request, host_, keepAlive);
  try {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      sent += static_cast<std::size_t>(
          socket_->sendBytes(bytes.data() + sent, static_cast<int>(bytes.size() - sent)));
    }
  } catch (const Poco::Exception& exception) {
    return errorOf(exception);
  }
  return base::success();
}

Result<void> HttpClientConnection::receiveMore() {
  std::array<char, kReadBlockBytes> block{};
  try {
    const int count = socket_->receiveBytes(block.data(), static_cast<int>(block.size()));
    if (count > 0) {
      return reader_->feed({block.data(), static_cast<std::size_t>(count)});
    }
  } catch (const Poco::Exception& exception) {
    return errorOf(exception);
  }
  return reader_->feedEnd();
}

/// A failure is returned by the next call, as what came before it is handed out first.
Result<void> HttpClientConnection::awaitMore() {
  if (failure_) {
    return *failure_;
  }
  const auto received = receiveMore();
  if (received.has_error()) {
    failure_ = received.error();
  }
  return base::success();
}

Result<ReplyHead> HttpClientConnection::receiveHead() {
  while (!reader_->head()) {
    BOOST_OUTCOME_TRYV(awaitMore());
  }
  const net::MessageHead& head = *reader_->head();
  const std::string* type = head.headers.find("Content-Type");
  return ReplyHead{head.status, type == nullptr ? std::string() : *type, head.headers};
}

Result<std::string_view> HttpClientConnection::readSome() {
  while (!reader_->hasBody() && !reader_->isComplete()) {
    BOOST_OUTCOME_TRYV(awaitMore());
  }
  block_ = reader_->takeBody();
  return std::string_view(block_);
}

Result<std::string> HttpClientConnection::readBody(std::size_t maxBytes) {
  std::string body;
  while (true) {
    BOOST_OUTCOME_TRY(block, readSome());
    if (block.empty()) {
      return body;
    }
    if (body.size() + block.size() > maxBytes) {
      return Error{ErrorCode::inputTooLarge, "body",
                   "accepted: up to " + std::to_string(maxBytes) + " bytes"};
    }
    body += block;
  }
}

Result<Reply> HttpClientConnection::exchange(const ClientRequest& request, bool keepAlive,
                                             std::size_t maxBytes) {
  BOOST_OUTCOME_TRYV(send(request, keepAlive));
  BOOST_OUTCOME_TRY(head, receiveHead());
  BOOST_OUTCOME_TRY(body, readBody(maxBytes));
  return Reply{head.status, std::move(body)};
}

bool HttpClientConnection::wholeReplyRead() const {
  return socket_ && reader_->keepsConnection() && !reader_->hasBody();
}

bool HttpClientConnection::reusable() const {
  if (!wholeReplyRead() || aborted()) {
    return false;
  }
  char byte = 0;
  const int descriptor = socket_->impl()->sockfd();
  const auto received = ::recv(descriptor, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void HttpClientConnection::abort() {
  const std::lock_guard lock(abortMutex_);
  aborted_ = true;
  if (abortDescriptor_ >= 0) {
    ::shutdown(abortDescriptor_, SHUT_RDWR);
  }
}

bool HttpClientConnection::aborted() const {
  const std::lock_guard lock(abortMutex_);
  return aborted_;
}

}  // namespace walnut::http
