#pragma once
/// @file
/// Incremental HTTP/1.1 parser, built on the library http-parser: POCO's own parser reads from
/// blocking streams, which would require a thread per connection.

#include <http_parser.h>

#include <string>
#include <string_view>

#include "walnut/base/error.h"
#include "walnut/net/http_message.h"

namespace walnut::net {

/// The start line and the header fields of a message.
struct MessageHead {
  std::string method;  ///< Set in requests.
  std::string target;  ///< Set in requests.
  int status = 0;      ///< Set in responses.
  std::string reason;  ///< Set in responses.
  HeaderList headers;
  bool framed = true;     ///< False for a response whose body is ended by closing the connection.
  bool keepAlive = true;  ///< The connection may carry another message after this one.
};

/// Receives the parts of parsed messages.
class MessageParserCallbacks {
 public:
  virtual ~MessageParserCallbacks() = default;
  virtual void onHead(MessageHead head) = 0;
  virtual void onBody(std::string_view bytes) = 0;
  virtual void onComplete() = 0;
};

/// Parser for a sequence of messages. Must not be destroyed from within its callbacks.
class MessageParser {
 public:
  enum class Kind : std::uint8_t { request, response };

  /// @param maxHeadBytes size limit; larger heads are rejected with `inputTooLarge`.
  MessageParser(Kind kind, std::size_t maxHeadBytes, MessageParserCallbacks& callbacks);
  MessageParser(const MessageParser&) = delete;
  MessageParser& operator=(const MessageParser&) = delete;

  /// Consumes bytes up to the end of the current message.
  /// @return the number of bytes consumed, or `malformedInput` or `inputTooLarge`.
  base::Result<std::size_t> feed(std::string_view bytes);
  /// Signals the end of the stream. Completes a response that is ended by closing the connection.
  /// @return `malformedInput` if a message is truncated.
  base::Result<void> feedEnd();

  /// Declares that the next response answers a HEAD request: it has no body, whatever its header
  /// fields say.
  void expectNoBody() { noBody_ = true; }
  /// @return true if a message has begun and is not complete.
  bool midMessage() const { return started_; }

 private:
  struct Hooks;  ///< C callbacks for the library.
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
  bool tooManyFields_ = false;
  std::size_t headBytes_ = 0;
};

}  // namespace walnut::net
