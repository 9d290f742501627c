#pragma once
/// @file
/// Lines of a watch: newline-delimited JSON, an object a line.

#include <string>
#include <string_view>
#include <variant>

#include "http/error_body.h"
#include "walnut/base/error.h"
#include "walnut/protocol/messages.h"

namespace walnut::http {

/// Everything up to `version` has been told; a watch may go on from here. Also sent as heartbeat.
struct WatchBookmark {
  resource::Version version = 0;
};

/// One line of a watch. An error ends it.
using WatchLine = std::variant<protocol::Change, WatchBookmark, ErrorBody>;

/// @return one line of JSON, with the end of line.
std::string encodeWatchLine(const WatchLine& line);
/// @param text a line without its end.
base::Result<WatchLine> decodeWatchLine(std::string_view text);

}  // namespace walnut::http
