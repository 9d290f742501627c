#pragma once
/// @file
/// Client side of HTTP over blocking POCO sockets, free of exceptions. One object is one TCP
/// connection, so that the caller always knows whether anything was sent.

#include <Poco/Net/StreamSocket.h>

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "http/response_reader.h"
#include "walnut/base/error.h"
#include "walnut/base/ids.h"
#include "walnut/base/time.h"

namespace walnut::http {

struct ClientRequest {
  std::string method = "GET";
  std::string path;  ///< With the query.
  std::string body;  ///< Empty: none is sent.
  std::string contentType = "application/json";
  std::vector<net::Header> headers;  ///< Besides those that describe the body and the connection.
};

/// First line and headers of a response.
struct ReplyHead {
  int status = 0;
  std::string contentType;
  net::HeaderList headers;
};

struct Reply {
  int status = 0;
  std::string body;
};

/// One connection to a server. Owned by one thread, but `abort`, which any thread may call.
/// Nothing is ever sent twice: there is no silent reconnect.
///
/// Errors: `connectFailed` only from `connect`; then nothing was sent. `connectionLost`,
/// `timedOut`, `inputTooLarge` and `malformedInput` (the response is not HTTP, or not whole) from
/// the others; then the request may have reached the server.
class HttpClientConnection {
 public:
  HttpClientConnection() = default;
  ~HttpClientConnection();
  HttpClientConnection(const HttpClientConnection&) = delete;
  HttpClientConnection& operator=(const HttpClientConnection&) = delete;

  /// Connects; blocks for `timeout` at most.
  base::Result<void> connect(const base::Endpoint& endpoint, base::Duration timeout);

  /// Longest silence of the peer that a read or write waits through.
  base::Result<void> setTimeout(base::Duration timeout);

  /// Sends a request.
  /// @param keepAlive the connection may be used for another request.
  base::Result<void> send(const ClientRequest& request, bool keepAlive);

  /// Waits for the head of the response.
  base::Result<ReplyHead> receiveHead();

  /// Waits for the next bytes of the body.
  /// @return a view, valid until the next call; empty at the end of the body; `malformedInput` if
  /// the body was cut short.
  base::Result<std::string_view> readSome();

  /// @return the rest of the body, or `inputTooLarge`.
  base::Result<std::string> readBody(std::size_t maxBytes);

  /// Sends a request and reads the whole response.
  base::Result<Reply> exchange(const ClientRequest& request, bool keepAlive, std::size_t maxBytes);

  /// @return true if the last response was read to its end and the server keeps the connection
  /// open.
  bool wholeReplyRead() const;
  /// @return true if another request may be sent: as `wholeReplyRead`, and the server has neither
  /// closed the connection nor sent anything since.
  bool reusable() const;

  /// Ends whatever is waiting on the connection, now and later. Any thread.
  void abort();

  /// @return true once `abort` was called.
  bool aborted() const;

 private:
  void close();
  /// Waits for bytes and hands them to the reader.
  base::Result<void> receiveMore();
  base::Result<void> awaitMore();

  std::unique_ptr<Poco::Net::StreamSocket> socket_;
  std::unique_ptr<ResponseReader> reader_;
  std::optional<base::Error> failure_;  ///< Of the response that is being read.
  std::string block_;                   ///< Bytes of the body that the caller looks at.
  std::string host_;

  /// A second descriptor of the socket, so that `abort` can't meet a number that was used again.
  mutable std::mutex abortMutex_;
  int abortDescriptor_ = -1;
  bool aborted_ = false;
};

}  // namespace walnut::http
