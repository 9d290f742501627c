#pragma once
/// @file
/// Interface between the HTTP server and request handlers: a handler receives a request and a sink
/// for its response.

#include <functional>
#include <memory>
#include <string_view>

#include "walnut/base/time.h"
#include "walnut/net/http_message.h"

namespace walnut::net {

/// Receives the response to one request. Owned by the server's connection and valid until the
/// response is finished or the caller has disconnected; it must not be called after that.
class ResponseSink {
 public:
  virtual ~ResponseSink() = default;

  /// Sends a complete response with its Content-Length.
  virtual void respond(HttpResponse response) = 0;

  /// @name Response of unknown length, sent with chunked transfer encoding
  /// @{
  virtual void beginChunked(HttpResponseHead head) = 0;
  virtual void writeChunk(std::string_view bytes) = 0;
  virtual void endChunked() = 0;
  /// @}

  /// Breaks off the response by closing the connection, so that the caller can't mistake it for a
  /// complete one.
  virtual void abort() = 0;

  /// Commits memory for the output up to this size in advance, until the response is finished.
  virtual void reserve(std::size_t /*bytes*/) {}
  /// @return the number of bytes that are not yet written to the caller's socket.
  virtual std::size_t bufferedBytes() const = 0;
  /// The callback runs at most once, when the caller disconnects before the response is finished.
  virtual void setGoneCallback(std::function<void()> callback) = 0;
  /// The callback runs whenever all buffered bytes have been written to the socket.
  virtual void setDrainedCallback(std::function<void()> callback) = 0;
};

/// Handles the requests that a server receives.
class RequestHandler {
 public:
  virtual ~RequestHandler() = default;
  /// Called when a request has been received whole. The handler may respond at once or later.
  virtual void onRequest(HttpRequest request, ResponseSink& sink) = 0;
  /// @name Memory of request bodies while these are received
  /// @{
  /// @return false if there is no room: the request is refused as not run.
  virtual bool reserveBody(std::size_t /*bytes*/) { return true; }
  /// Called before `onRequest`, or when the request will not come.
  virtual void releaseBody(std::size_t /*bytes*/) {}
  /// @}
};

/// Limits on the size of requests and on the time that callers may take to send them and to read
/// the answers.
struct ServerLimits {
  std::size_t maxHeadBytes = 16U << 10U;
  std::size_t maxBodyBytes = 4U << 20U;
  base::Duration headTimeout = std::chrono::seconds(3);
  base::Duration idleTimeout = std::chrono::seconds(15);
  /// Longest time without progress in the writing of a complete answer.
  base::Duration writeTimeout = std::chrono::seconds(15);
};

}  // namespace walnut::net
