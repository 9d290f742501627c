#pragma once
/// @file
/// Bounded reader of server-sent events (text/event-stream).

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "walnut/base/error.h"

namespace walnut::http {

/// One event. Views into the parser's buffer, valid until its next call.
struct ServerSentEvent {
  std::string_view name;
  std::string_view data;
};

/// Cuts a byte stream into events. Comments and fields other than `event` and `data` are ignored;
/// an event without `data` is dropped, as the standard says. Nothing grows beyond `maxEventBytes`.
class EventStreamParser {
 public:
  explicit EventStreamParser(std::size_t maxEventBytes) : maxEventBytes_(maxEventBytes) {}

  /// Appends received bytes.
  void feed(std::string_view bytes);

  /// @return the next whole event, nothing if more bytes are needed, or `inputTooLarge` if the line
  /// or the event that has begun is longer than accepted.
  base::Result<std::optional<ServerSentEvent>> next();

 private:
  /// @return the next whole line without its end, or nothing.
  std::optional<std::string_view> nextLine();
  base::Result<void> takeField(std::string_view line);
  void dropConsumed();

  const std::size_t maxEventBytes_;
  std::string buffer_;
  std::size_t consumed_ = 0;  ///< Bytes of `buffer_` that were cut off already.
  std::size_t scanned_ = 0;   ///< Bytes of `buffer_` that hold no end of a line after `consumed_`.
  std::string name_;
  std::string data_;
  bool hasData_ = false;
  bool delivered_ = false;  ///< `name_` and `data_` were handed out.
};

}  // namespace walnut::http
