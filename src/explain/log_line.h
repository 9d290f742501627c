#pragma once
/// @file
/// One line of the decision log (docs/OPERATIONS.md), read back.

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "walnut/base/error.h"

namespace walnut::explain {

struct LogLine {
  std::string time;  ///< As written: ISO 8601 in UTC, so that text order is time order.
  std::string program;
  std::string event;
  std::map<std::string, std::string> fields;  ///< Beside those above.
  std::string text;                           ///< The line from its time on.

  /// @return the field, or an empty text.
  const std::string& field(const std::string& name) const;
  /// @return the field as a whole number; 0 if it is none.
  std::uint64_t number(const std::string& name) const;
};

/// Reads `time=... program=... event=... key=value ...`. What stands before `time=` is passed over:
/// collectors of logs put the machine's name there.
/// @return `malformedInput` for a line that is none, or that was cut short.
base::Result<LogLine> parseLogLine(std::string_view text);

/// @return milliseconds from `earlier` to `later`, negative if they are not in that order; 0 if one
/// of them is no time.
std::int64_t millisBetween(const std::string& earlier, const std::string& later);

}  // namespace walnut::explain
