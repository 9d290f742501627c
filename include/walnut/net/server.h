#pragma once
/// @file
/// What a handler of HTTP requests sees of the server: the request, and a sink for its answer.

#include <functional>
#include <memory>
#include <string_view>

#include "walnut/base/time.h"
#include "walnut/net/http_message.h"

namespace walnut::net {

/// Sink for the one answer to a request. Owned by the server's connection and valid until the
/// answer is finished or the caller is gone; after either, no call may follow.
class ResponseSink {
 public:
  virtual ~ResponseSink() = default;

  /// Sends a whole answer, with its length.
  virtual void respond(HttpResponse response) = 0;

  /// @name An answer in pieces, in chunks
  /// @{
  virtual void beginChunked(HttpResponseHead head) = 0;
  virtual void writeChunk(std::string_view bytes) = 0;
  virtual void endChunked() = 0;
  /// @}

  /// Ends the answer in a way that can't look complete: the connection is reset or closed.
  virtual void abort() = 0;

  /// Bytes that the caller has not taken yet.
  virtual std::size_t bufferedBytes() const = 0;
  /// Called at most once, when the caller closed its connection before the answer was finished.
  virtual void setGoneCallback(std::function<void()> callback) = 0;
  /// Called whenever all that was written has been taken.
  virtual void setDrainedCallback(std::function<void()> callback) = 0;
};

class RequestHandler {
 public:
  virtual ~RequestHandler() = default;
  /// A whole request has come. The answer may be given at once or later.
  virtual void onRequest(HttpRequest request, ResponseSink& sink) = 0;
};

/// What callers may send, and how long they may take.
struct ServerLimits {
  std::size_t maxHeadBytes = 16U << 10U;
  std::size_t maxBodyBytes = 4U << 20U;
  base::Duration headTimeout = std::chrono::seconds(3);
  base::Duration idleTimeout = std::chrono::seconds(15);
};

}  // namespace walnut::net
