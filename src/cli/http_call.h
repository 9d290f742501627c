#pragma once
/// @file
/// One try of one HTTP request to a controller, free of exceptions.

#include <memory>
#include <string>

#include "http/http_client.h"
#include "walnut/base/error.h"
#include "walnut/base/ids.h"
#include "walnut/base/time.h"

namespace walnut::cli {

/// Largest body that is read, in bytes: what the JSON reader accepts.
inline constexpr std::size_t kMaxAnswerBytes = 4U << 20U;

struct HttpCall {
  std::string method;
  std::string target;     ///< Path with the query, percent-encoded.
  std::string body;       ///< Empty: none is sent.
  std::string requestId;  ///< Empty: none is sent.
};

/// A response of which the head was read.
class HttpResponse {
 public:
  /// @return `connectFailed` if nothing was sent; `connectionLost` or `timedOut` if something may
  /// have been.
  static base::Result<std::unique_ptr<HttpResponse>> request(const base::Endpoint& controller,
                                                             const HttpCall& call,
                                                             base::Duration timeout);

  int status() const { return status_; }

  /// Reads the whole body.
  /// @return `malformedInput` if it was cut short.
  base::Result<std::string> readBody();

  /// Blocks for a line, for the timeout of the call at most.
  /// @return `connectionLost` at the end of the body.
  base::Result<std::string> readLine();

 private:
  HttpResponse() = default;

  http::HttpClientConnection connection_;
  std::string received_;  ///< Of the body, not yet returned as lines.
  int status_ = 0;
};

}  // namespace walnut::cli
