#include "http/http_client_events.h"

#include <algorithm>

namespace walnut::http {

using base::Error;
using base::ErrorCode;
using base::Result;

void EventStreamParser::feed(std::string_view bytes) {
  dropConsumed();
  buffer_ += bytes;
}

void EventStreamParser::dropConsumed() {
  buffer_.erase(0, consumed_);
  scanned_ -= std::min(scanned_, consumed_);
  consumed_ = 0;
}

std::optional<std::string_view> EventStreamParser::nextLine() {
  const std::size_t end = buffer_.find('\n', std::max(scanned_, consumed_));
  if (end == std::string::npos) {
    scanned_ = buffer_.size();
    return std::nullopt;
  }
  std::string_view line(buffer_.data() + consumed_, end - consumed_);
  consumed_ = end + 1;
  scanned_ = consumed_;
  if (line.ends_with('\r')) {
    line.remove_suffix(1);
  }
  return line;
}

Result<void> EventStreamParser::takeField(std::string_view line) {
  const std::size_t colon = std::min(line.find(':'), line.size());
  const std::string_view field = line.substr(0, colon);
  std::string_view value = line.substr(std::min(colon + 1, line.size()));
  if (value.starts_with(' ')) {
    value.remove_prefix(1);
  }
  if (field == "event") {
    name_.assign(value);
  } else if (field == "data") {
    if (hasData_) {
      data_ += '\n';
    }
    data_ += value;
    hasData_ = true;
  }
  if (name_.size() + data_.size() > maxEventBytes_) {
    return Error{ErrorCode::inputTooLarge, "event",
                 "accepted: up to " + std::to_string(maxEventBytes_) + " bytes"};
  }
  return base::success();
}

Result<std::optional<ServerSentEvent>> EventStreamParser::next() {
  if (delivered_) {
    name_.clear();
    data_.clear();
    hasData_ = false;
    delivered_ = false;
  }
  while (const auto line = nextLine()) {
    if (!line->empty()) {
      BOOST_OUTCOME_TRYV(takeField(*line));
      continue;
    }
    if (hasData_) {
      delivered_ = true;
      return std::optional(ServerSentEvent{name_, data_});
    }
    name_.clear();
  }
  if (buffer_.size() - consumed_ > maxEventBytes_) {
    return Error{ErrorCode::inputTooLarge, "line",
                 "accepted: up to " + std::to_string(maxEventBytes_) + " bytes"};
  }
  return std::optional<ServerSentEvent>();
}

}  // namespace walnut::http
