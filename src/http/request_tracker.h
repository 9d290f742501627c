#pragma once
/// @file
/// Follows the requests on a connection to tell where one has been cut short.

#include <string_view>

#include "net/message_parser.h"

namespace walnut::http {

/// Reads along what a server receives: POCO's server takes the end of a connection for the end of a
/// request's head, and of a body in chunks. What can't be parsed is left to the server.
class RequestTracker : private net::MessageParserCallbacks {
 public:
  RequestTracker();
  RequestTracker(const RequestTracker&) = delete;
  RequestTracker& operator=(const RequestTracker&) = delete;

  void received(std::string_view bytes);
  /// The client has closed its sending side.
  void ended() { cut_ = follows_ && parser_.midMessage(); }

  /// @return true if the connection ended within a request.
  bool isCut() const { return cut_; }

 private:
  void onHead(net::MessageHead /*head*/) override {}
  void onBody(std::string_view /*bytes*/) override {}
  void onComplete() override {}

  net::MessageParser parser_;
  bool follows_ = true;
  bool cut_ = false;
};

}  // namespace walnut::http
