#pragma once
/// @file
/// HTTP client of the rehearsal kit, free of exceptions.

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "http/http_client.h"
#include "walnut/base/error.h"
#include "walnut/base/ids.h"
#include "walnut/base/time.h"

namespace walnut::rehearsal {

struct HttpHeader {
  std::string name;
  std::string value;
};

struct HttpCall {
  base::Endpoint server;
  std::string method = "GET";
  std::string path;
  std::string body;
  std::vector<HttpHeader> headers;
  base::Duration timeout = std::chrono::seconds(60);  ///< Of each wait for the server.
};

struct HttpReply {
  int status = 0;
  std::string body;
};

/// One call on a connection of its own; the response is read piece by piece.
class HttpExchange {
 public:
  /// Sends the request and reads the head of the response.
  /// @return `connectFailed` if nothing was sent, else `connectionLost` or `timedOut`.
  static base::Result<std::unique_ptr<HttpExchange>> open(const HttpCall& call);

  int status() const { return head_.status; }
  std::optional<std::string> header(const std::string& name) const;

  /// @return the next line without its end, or nothing at the end of the body, be it whole or not.
  std::optional<std::string> readLine();
  /// @return the rest of the body; `connectionLost` if it is shorter than announced.
  base::Result<std::string> readRest();

 private:
  HttpExchange() = default;

  http::HttpClientConnection connection_;
  http::ReplyHead head_;
  std::string received_;  ///< Of the body, not yet returned.
  bool ended_ = false;
};

/// Sends a request and reads the whole response.
base::Result<HttpReply> httpCall(const HttpCall& call);

}  // namespace walnut::rehearsal
