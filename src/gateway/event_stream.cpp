#include "gateway/event_stream.h"

#include <algorithm>
#include <charconv>

#include "walnut/base/tight_append.h"

namespace walnut::gateway {

namespace {

constexpr std::string_view kIdField = "id:";

/// @return the position after the first empty line; npos if there is none.
std::size_t endOfEvent(std::string_view text) {
  const std::size_t plain = text.find("\n\n");
  const std::size_t withReturns = text.find("\r\n\r\n");
  const std::size_t plainEnd = plain == std::string_view::npos ? plain : plain + 2;
  const std::size_t returnsEnd =
      withReturns == std::string_view::npos ? withReturns : withReturns + 4;
  return std::min(plainEnd, returnsEnd);
}

/// @return the value of the event's id field; empty if it has none.
std::string_view idOf(std::string_view event) {
  std::size_t begin = 0;
  while (begin < event.size()) {
    const std::size_t end = event.find('\n', begin);
    std::string_view line = event.substr(begin, end == std::string_view::npos ? end : end - begin);
    if (line.starts_with(kIdField)) {
      line.remove_prefix(kIdField.size());
      while (!line.empty() && line.front() == ' ') {
        line.remove_prefix(1);
      }
      while (!line.empty() && (line.back() == '\r' || line.back() == ' ')) {
        line.remove_suffix(1);
      }
      return line;
    }
    if (end == std::string_view::npos) {
      break;
    }
    begin = end + 1;
  }
  return {};
}

std::optional<std::uint64_t> numberOf(std::string_view text) {
  std::uint64_t value = 0;
  const auto [rest, failure] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (failure != std::errc() || rest != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

std::string EventStream::feed(std::string_view bytes) {
  base::tightAppend(partial_, bytes);
  std::string whole;
  std::size_t taken = 0;
  while (true) {
    const std::string_view rest = std::string_view(partial_).substr(taken);
    const std::size_t end = endOfEvent(rest);
    if (end == std::string_view::npos) {
      break;
    }
    const std::string_view event = rest.substr(0, end);
    const std::string_view id = idOf(event);
    const auto number = numberOf(id);
    taken += end;
    if (skipUpTo_ && number && *number <= *skipUpTo_) {
      continue;
    }
    if (!id.empty()) {
      lastId_ = id;
    }
    ++eventCount_;
    whole.append(event);
  }
  if (taken > 0) {
    std::string(partial_, taken).swap(partial_);
  }
  return whole;
}

}  // namespace walnut::gateway
