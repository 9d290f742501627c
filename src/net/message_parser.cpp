#include "net/message_parser.h"

#include <utility>

namespace walnut::net {

namespace {

using base::Error;
using base::ErrorCode;

constexpr std::uint64_t kNoContentLength = UINT64_MAX;
constexpr unsigned kNoContentStatus = 204;
constexpr unsigned kNotModifiedStatus = 304;

/// @return true if the end of a response can be determined without waiting for the connection to
/// close.
bool hasLength(const http_parser& parser) {
  return (parser.flags & F_CHUNKED) != 0 || parser.content_length != kNoContentLength ||
         parser.status_code == kNoContentStatus || parser.status_code == kNotModifiedStatus;
}

constexpr int kContinue = 0;
constexpr int kSkipBody = 1;
constexpr int kStop = -1;
/// Each field takes memory beyond its bytes.
constexpr std::size_t kMaxHeadFields = 1024;

}  // namespace

struct MessageParser::Hooks {
  static MessageParser& self(http_parser* parser) {
    return *static_cast<MessageParser*>(parser->data);
  }

  static int onUrl(http_parser* parser, const char* data, std::size_t size) {
    self(parser).head_.target.append(data, size);
    return kContinue;
  }

  static int onStatus(http_parser* parser, const char* data, std::size_t size) {
    self(parser).head_.reason.append(data, size);
    return kContinue;
  }

  static int onField(http_parser* parser, const char* data, std::size_t size) {
    MessageParser& owner = self(parser);
    if (owner.valueSeen_) {
      owner.flushHeader();
      if (owner.head_.headers.all().size() >= kMaxHeadFields) {
        owner.tooManyFields_ = true;
        return kStop;
      }
    }
    owner.headerName_.append(data, size);
    return kContinue;
  }

  static int onValue(http_parser* parser, const char* data, std::size_t size) {
    MessageParser& owner = self(parser);
    owner.valueSeen_ = true;
    owner.headerValue_.append(data, size);
    return kContinue;
  }

  static int onHeadersComplete(http_parser* parser) {
    MessageParser& owner = self(parser);
    owner.flushHeader();
    owner.headDone_ = true;
    // Protocol upgrades are not supported: the rest of the message is parsed as HTTP.
    parser->upgrade = 0;
    MessageHead& head = owner.head_;
    if (owner.kind_ == Kind::request) {
      head.method = http_method_str(static_cast<http_method>(parser->method));
    } else {
      head.status = static_cast<int>(parser->status_code);
      head.framed = owner.noBody_ || hasLength(*parser);
    }
    head.keepAlive = http_should_keep_alive(parser) != 0;
    owner.callbacks_.onHead(std::move(head));
    return owner.noBody_ ? kSkipBody : kContinue;
  }

  static int onBody(http_parser* parser, const char* data, std::size_t size) {
    self(parser).callbacks_.onBody({data, size});
    return kContinue;
  }

  static int onMessageComplete(http_parser* parser) {
    self(parser).complete_ = true;
    http_parser_pause(parser, 1);
    return kContinue;
  }

  static const http_parser_settings& settings() {
    static const http_parser_settings kSettings = [] {
      http_parser_settings made;
      http_parser_settings_init(&made);
      made.on_url = onUrl;
      made.on_status = onStatus;
      made.on_header_field = onField;
      made.on_header_value = onValue;
      made.on_headers_complete = onHeadersComplete;
      made.on_body = onBody;
      made.on_message_complete = onMessageComplete;
      return made;
    }();
    return kSettings;
  }
};

MessageParser::MessageParser(Kind kind, std::size_t maxHeadBytes, MessageParserCallbacks& callbacks)
    : callbacks_(callbacks), kind_(kind), maxHeadBytes_(maxHeadBytes) {
  reset();
}

void MessageParser::reset() {
  http_parser_init(&parser_, kind_ == Kind::request ? HTTP_REQUEST : HTTP_RESPONSE);
  parser_.data = this;
  head_ = {};
  headerName_.clear();
  headerValue_.clear();
  valueSeen_ = false;
  started_ = false;
  headDone_ = false;
  complete_ = false;
  tooManyFields_ = false;
  headBytes_ = 0;
}

void MessageParser::flushHeader() {
  if (!headerName_.empty()) {
    head_.headers.add(std::exchange(headerName_, {}), std::exchange(headerValue_, {}));
  }
  valueSeen_ = false;
}

base::Result<std::size_t> MessageParser::feed(std::string_view bytes) {
  if (bytes.empty()) {
    return std::size_t{0};
  }
  started_ = true;
  const bool headWasDone = headDone_;
  const std::size_t taken =
      http_parser_execute(&parser_, &Hooks::settings(), bytes.data(), bytes.size());
  const http_errno failure = HTTP_PARSER_ERRNO(&parser_);
  if (complete_) {
    noBody_ = false;
    reset();
    callbacks_.onComplete();
    return taken;
  }
  if (!headWasDone && !headDone_) {
    headBytes_ += bytes.size();
  }
  if (tooManyFields_) {
    return Error{ErrorCode::inputTooLarge, "head",
                 "over " + std::to_string(kMaxHeadFields) + " fields"};
  }
  if (failure == HPE_HEADER_OVERFLOW || headBytes_ > maxHeadBytes_) {
    return Error{ErrorCode::inputTooLarge, "head",
                 "over " + std::to_string(maxHeadBytes_) + " bytes"};
  }
  if (failure != HPE_OK) {
    return Error{ErrorCode::malformedInput, "http", http_errno_description(failure)};
  }
  return taken;
}

base::Result<void> MessageParser::feedEnd() {
  if (!started_) {
    return base::success();
  }
  http_parser_execute(&parser_, &Hooks::settings(), nullptr, 0);
  if (complete_) {
    noBody_ = false;
    reset();
    callbacks_.onComplete();
    return base::success();
  }
  return Error{ErrorCode::malformedInput, "http", "the message is cut short"};
}

}  // namespace walnut::net
