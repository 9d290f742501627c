#include "runtime/log_fields.h"

#include <algorithm>

namespace walnut::runtime {

namespace {

bool needsQuotes(std::string_view value) {
  const auto isPlain = [](unsigned char character) {
    return character > ' ' && character < 0x7f && character != '"' && character != '=' &&
           character != '\\';
  };
  return value.empty() || !std::all_of(value.begin(), value.end(), isPlain);
}

void appendQuoted(std::string& line, std::string_view value) {
  constexpr std::string_view kHexDigits = "0123456789abcdef";
  line += '"';
  for (const char character : value) {
    const auto code = static_cast<unsigned char>(character);
    if (character == '"' || character == '\\') {
      line += '\\';
      line += character;
    } else if (character == '\n') {
      line += "\\n";
    } else if (code < ' ' || code >= 0x7f) {
      // Bytes that may not be valid text are escaped too, so that any tool can read the line.
      line += "\\x";
      line += kHexDigits[code >> 4U];
      line += kHexDigits[code & 0xfU];
    } else {
      line += character;
    }
  }
  line += '"';
}

}  // namespace

void appendField(std::string& line, std::string_view key, std::string_view value) {
  line += ' ';
  line += key;
  line += '=';
  if (needsQuotes(value)) {
    appendQuoted(line, value);
  } else {
    line += value;
  }
}

}  // namespace walnut::runtime
