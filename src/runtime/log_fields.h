#pragma once
/// @file
/// Text form of the fields of a log line.

#include <string>
#include <string_view>

namespace walnut::runtime {

/// Appends " key=value"; the value is quoted if a parser could not find its end otherwise;
/// bytes that are not printable ASCII are written as \xHH.
void appendField(std::string& line, std::string_view key, std::string_view value);

}  // namespace walnut::runtime
