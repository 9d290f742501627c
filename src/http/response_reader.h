#pragma once
/// @file
/// Reads responses from the bytes of a connection, and tells whole ones from those that were cut.

#include <optional>
#include <string>
#include <string_view>

#include "net/message_parser.h"
#include "walnut/base/error.h"

namespace walnut::http {

/// Reader of the responses on one connection, one after the other. POCO's own reader takes the end
/// of the connection for the end of a head or a body.
class ResponseReader : private net::MessageParserCallbacks {
 public:
  ResponseReader();
  ResponseReader(const ResponseReader&) = delete;
  ResponseReader& operator=(const ResponseReader&) = delete;

  /// Begins the next response. Bytes that came after the former one are dropped.
  void begin(bool answersHead);
  /// @return `malformedInput` if these bytes are no response.
  base::Result<void> feed(std::string_view bytes);
  /// The server has closed the connection.
  /// @return `connectionLost` if no response has begun, `malformedInput` if it is not whole.
  base::Result<void> feedEnd();

  /// @return the head of the response, once it is whole; never that of an interim response.
  const std::optional<net::MessageHead>& head() const { return head_; }
  /// @return the bytes of the body since the last call.
  std::string takeBody() { return std::exchange(body_, {}); }
  bool hasBody() const { return !body_.empty(); }
  bool isComplete() const { return complete_; }
  /// @return true if another request may be sent on the connection.
  bool keepsConnection() const { return complete_ && head_->keepAlive && !surplus_; }

 private:
  void onHead(net::MessageHead head) override;
  void onBody(std::string_view bytes) override { body_ += bytes; }
  void onComplete() override;

  net::MessageParser parser_;
  std::optional<net::MessageHead> head_;
  std::string body_;
  bool interim_ = false;
  bool complete_ = false;
  bool surplus_ = false;  ///< Bytes came after the response.
};

}  // namespace walnut::http
