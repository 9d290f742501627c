#include "explain/log_line.h"

#include <Poco/DateTime.h>
#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeParser.h>

#include <algorithm>
#include <charconv>
#include <optional>

namespace walnut::explain {

namespace {

base::Error malformed(const char* detail) {
  return {base::ErrorCode::malformedInput, "line", detail};
}

unsigned hexDigit(char digit) {
  constexpr unsigned kTen = 10;
  return digit >= 'a' ? static_cast<unsigned>(digit - 'a') + kTen
                      : static_cast<unsigned>(digit - '0');
}

/// Takes a quoted value, from behind its opening quote.
std::optional<std::string> takeQuoted(std::string_view& rest) {
  constexpr unsigned kHexBase = 16;
  std::string value;
  while (!rest.empty()) {
    const char character = rest.front();
    rest.remove_prefix(1);
    if (character == '"') {
      return value;
    }
    if (character != '\\') {
      value += character;
      continue;
    }
    if (rest.empty()) {
      return std::nullopt;
    }
    const char escaped = rest.front();
    rest.remove_prefix(1);
    if (escaped == 'n') {
      value += '\n';
    } else if (escaped == 'x' && rest.size() >= 2) {
      value += static_cast<char>(hexDigit(rest[0]) * kHexBase + hexDigit(rest[1]));
      rest.remove_prefix(2);
    } else {
      value += escaped;
    }
  }
  return std::nullopt;
}

std::optional<std::string> takeValue(std::string_view& rest) {
  if (!rest.empty() && rest.front() == '"') {
    rest.remove_prefix(1);
    return takeQuoted(rest);
  }
  const std::size_t end = std::min(rest.find(' '), rest.size());
  std::string value(rest.substr(0, end));
  rest.remove_prefix(end);
  return value;
}

/// Takes exactly "2026-01-31T23:59:59.999Z": Poco's parser takes nearly anything.
std::optional<Poco::DateTime> parseTime(const std::string& text) {
  constexpr std::string_view kShape = "dddd-dd-ddTdd:dd:dd.dddZ";
  const auto fits = [](char shape, char character) {
    return shape == 'd' ? character >= '0' && character <= '9' : character == shape;
  };
  if (!std::equal(kShape.begin(), kShape.end(), text.begin(), text.end(), fits)) {
    return std::nullopt;
  }
  int zone = 0;
  Poco::DateTime time;
  if (!Poco::DateTimeParser::tryParse(Poco::DateTimeFormat::ISO8601_FRAC_FORMAT, text, time,
                                      zone)) {
    return std::nullopt;
  }
  return time;
}

}  // namespace

const std::string& LogLine::field(const std::string& name) const {
  static const std::string kNone;
  const auto found = fields.find(name);
  return found == fields.end() ? kNone : found->second;
}

std::uint64_t LogLine::number(const std::string& name) const {
  const std::string& digits = field(name);
  std::uint64_t value = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), value);
  return value;
}

base::Result<LogLine> parseLogLine(std::string_view text) {
  const std::size_t begin = text.find("time=");
  if (begin == std::string_view::npos) {
    return malformed("no time");
  }
  std::string_view rest = text.substr(begin);
  LogLine line;
  line.text = std::string(rest);
  while (!rest.empty()) {
    if (rest.front() == ' ') {
      rest.remove_prefix(1);
      continue;
    }
    const std::size_t equals = rest.find('=');
    if (equals == std::string_view::npos) {
      return malformed("a key without a value");
    }
    const std::string key(rest.substr(0, equals));
    rest.remove_prefix(equals + 1);
    std::optional<std::string> value = takeValue(rest);
    if (!value) {
      return malformed("an open quote");
    }
    line.fields[key] = std::move(*value);
  }
  line.time = line.field("time");
  line.program = line.field("program");
  line.event = line.field("event");
  if (line.event.empty() || !parseTime(line.time)) {
    return malformed("no event, or no time");
  }
  for (const char* name : {"time", "program", "event"}) {
    line.fields.erase(name);
  }
  return line;
}

std::int64_t millisBetween(const std::string& earlier, const std::string& later) {
  const auto from = parseTime(earlier);
  const auto to = parseTime(later);
  return from && to ? (*to - *from).totalMilliseconds() : 0;
}

}  // namespace walnut::explain
