#include "http/exchange.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/URI.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <istream>
#include <ostream>
#include <sstream>

#include "http/open_connections.h"

namespace walnut::http {

using base::Error;
using base::ErrorCode;

namespace {

constexpr std::size_t kReadBlockBytes = 16U << 10U;
/// What is read beyond the limit of a body and thrown away. Closing with unread input resets the
/// connection, and the client would not see the refusal.
constexpr std::size_t kMaxDiscardedBytes = 8U << 20U;

Poco::Net::StreamSocket& socketOf(Poco::Net::HTTPServerRequest& request) {
  return static_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket();
}

}  // namespace

Exchange::Exchange(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response)
    : request_(request), response_(response) {
  socketOf(request_).setNoDelay(true);
  parsePath();
}

void Exchange::parsePath() {
  try {
    const Poco::URI uri(request_.getURI());
    // Split before decoding: an encoded slash is part of a name.
    std::istringstream path(request_.getURI().substr(0, request_.getURI().find_first_of("?#")));
    for (std::string segment; std::getline(path, segment, '/');) {
      if (!segment.empty()) {
        Poco::URI::decode(segment, segments_.emplace_back());
      }
    }
    for (const auto& [name, value] : uri.getQueryParameters()) {
      queryParameters_.emplace_back(name, value);
    }
  } catch (const Poco::Exception&) {
    segments_.clear();
    queryParameters_.clear();
  }
}

bool Exchange::isCut() const {
  const auto* const socket = dynamic_cast<const OpenSocketImpl*>(socketOf(request_).impl());
  return socket != nullptr && socket->isRequestCut();
}

const std::string& Exchange::method() const { return request_.getMethod(); }

bool Exchange::pathIs(std::initializer_list<std::string_view> segments) const {
  return std::equal(segments_.begin(), segments_.end(), segments.begin(), segments.end());
}

std::optional<std::string> Exchange::query(const std::string& name) const {
  for (const auto& [key, value] : queryParameters_) {
    if (key == name) {
      return value;
    }
  }
  return std::nullopt;
}

std::optional<std::string> Exchange::header(const std::string& name) const {
  if (!request_.has(name)) {
    return std::nullopt;
  }
  return request_.get(name);
}

bool Exchange::hasBody() const {
  return request_.getChunkedTransferEncoding() || request_.getContentLength64() > 0;
}

void Exchange::beginResponse() {
  responseBegun_ = true;
  if (!bodyRead_ && hasBody()) {
    (void)readBody(0);
  }
}

base::Result<std::string> Exchange::readBody(std::size_t maxBytes) {
  bodyRead_ = true;
  response_.setKeepAlive(false);
  const bool chunked = request_.getChunkedTransferEncoding();
  if (!chunked && !request_.hasContentLength()) {
    return Error{ErrorCode::missingField, "Content-Length", "required with a body"};
  }
  const auto length =
      chunked ? std::uint64_t{0} : static_cast<std::uint64_t>(request_.getContentLength64());
  const Error tooLarge{ErrorCode::inputTooLarge, "body",
                       "accepted: up to " + std::to_string(maxBytes) + " bytes"};
  if (length > maxBytes + kMaxDiscardedBytes) {
    return tooLarge;
  }
  std::string body;
  std::uint64_t received = 0;
  try {
    std::istream& input = request_.stream();
    std::array<char, kReadBlockBytes> block{};
    while (input && received <= maxBytes + kMaxDiscardedBytes) {
      input.read(block.data(), block.size());
      const auto count = static_cast<std::size_t>(input.gcount());
      received += count;
      if (received <= maxBytes) {
        body.append(block.data(), count);
      }
    }
  } catch (const Poco::Exception& exception) {
    return Error{ErrorCode::malformedInput, "body", exception.displayText()};
  }
  if (received > maxBytes) {
    return tooLarge;
  }
  if (isCut() || (!chunked && received != length)) {
    return Error{ErrorCode::malformedInput, "body", "cut short"};
  }
  response_.setKeepAlive(request_.getKeepAlive());
  return body;
}

void Exchange::setHeader(const std::string& name, const std::string& value) {
  response_.set(name, value);
}

void Exchange::sendJson(int status, const std::string& body) {
  sendText(status, "application/json", body);
}

void Exchange::sendText(int status, const std::string& contentType, const std::string& body) {
  beginResponse();
  try {
    response_.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    response_.setContentType(contentType);
    response_.sendBuffer(body.data(), body.size());
  } catch (const Poco::Exception&) {
    writeFailed_ = true;
  }
}

void Exchange::sendEmpty(int status) {
  beginResponse();
  try {
    response_.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    response_.setContentLength(0);
    response_.send();
  } catch (const Poco::Exception&) {
    writeFailed_ = true;
  }
}

void Exchange::sendError(const ErrorBody& body) {
  if (body.retryAfter > base::Duration(0)) {
    setHeader("Retry-After", retryAfterSeconds(body.retryAfter));
  }
  // Public clients repeat by the status alone unless this tells them otherwise.
  setHeader("X-Should-Retry", body.retryable ? "true" : "false");
  sendJson(httpStatusOf(body.error.code), encodeErrorText(body));
}

void Exchange::sendMethodNotAllowed(const std::string& allowed) {
  setHeader("Allow", allowed);
  const Error error{ErrorCode::malformedInput, "method", "accepted: " + allowed};
  sendJson(405, encodeErrorText(resourceErrorBody(error)));
}

void Exchange::beginStream(const std::string& contentType) {
  beginResponse();
  try {
    response_.setContentType(contentType);
    response_.set("Cache-Control", "no-cache");
    response_.setChunkedTransferEncoding(true);
    stream_ = &response_.send();
    stream_->flush();
  } catch (const Poco::Exception&) {
    writeFailed_ = true;
  }
}

bool Exchange::writeStream(std::string_view bytes) {
  if (writeFailed_ || stream_ == nullptr) {
    return false;
  }
  try {
    stream_->write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
    stream_->flush();
    writeFailed_ = !stream_->good();
  } catch (const Poco::Exception&) {
    writeFailed_ = true;
  }
  return !writeFailed_;
}

bool Exchange::peerGone() {
  if (writeFailed_) {
    return true;
  }
  char byte = 0;
  const int descriptor = socketOf(request_).impl()->sockfd();
  const auto received = ::recv(descriptor, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  if (received > 0) {
    return false;  // A pipelined request.
  }
  return received == 0 || (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

}  // namespace walnut::http
