#pragma once
/// @file
/// Incremental parsing of HTTP/1.1 messages, by the library http-parser: POCO's own parser reads
/// from blocking streams, which would take a thread for each connection.

#include <http_parser.h>

#include <string>
#include <string_view>

#include "walnut/base/error.h"
#include "walnut/net/http_message.h"

namespace walnut::net {

/// The start line and the header fields of a message.
struct MessageHead {
  std::string method;  ///< Of a request.
  std::string target;  ///< Of a request.
  int status = 0;      ///< Of a response.
  std::string reason;  ///< Of a response.
  HeaderList headers;
  bool framed = true;     ///< False: a response whose body ends with its connection.
  bool keepAlive = true;  ///< The connection may carry another message after this one.
};

class MessageParserCallbacks {
 public:
  virtual ~MessageParserCallbacks() = default;
  virtual void onHead(MessageHead head) = 0;
  virtual void onBody(std::string_view bytes) = 0;
  virtual void onComplete() = 0;
};

/// Parses one message after the other. Not destroyed from within its callbacks.
class MessageParser {
 public:
  enum class Kind : std::uint8_t { request, response };

  /// @param maxHeadBytes larger heads are refused with `inputTooLarge`.
  MessageParser(Kind kind, std::size_t maxHeadBytes, MessageParserCallbacks& callbacks);
  MessageParser(const MessageParser&) = delete;
  MessageParser& operator=(const MessageParser&) = delete;

  /// Takes bytes up to the end of the present message.
  /// @return how many were taken, or `malformedInput` or `inputTooLarge`.
  base::Result<std::size_t> feed(std::string_view bytes);
  /// The peer sends no more. Completes a response that ends with its connection.
  /// @return `malformedInput` if that cuts a message short.
  base::Result<void> feedEnd();

  /// The next response answers a HEAD request: it has no body whatever its fields say.
  void expectNoBody() { noBody_ = true; }
  /// @return true between the first byte of a message and its end.
  bool midMessage() const { return started_; }

 private:
  struct Hooks;  ///< The library's C callbacks.
  friend struct Hooks;

  void reset();
  void flushHeader();

  MessageParserCallbacks& callbacks_;
  const Kind kind_;
  const std::size_t maxHeadBytes_;
  http_parser parser_{};
  MessageHead head_;
  std::string headerName_;
  std::string headerValue_;
  bool valueSeen_ = false;
  bool noBody_ = false;
  bool started_ = false;
  bool headDone_ = false;
  bool complete_ = false;
  std::size_t headBytes_ = 0;
};

}  // namespace walnut::net
