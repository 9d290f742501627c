#include "http/token_chunks.h"

#include <Poco/JSONString.h>

#include <algorithm>

namespace walnut::http {

namespace {

constexpr std::string_view kDataField = "data: ";
constexpr std::string_view kEventEnd = "\n\n";

/// @return true if the text stands in JSON as it is.
bool isPlain(const std::string& text) {
  return std::all_of(text.begin(), text.end(), [](char character) {
    return character >= ' ' && character <= '~' && character != '"' && character != '\\' &&
           character != '/';
  });
}

void appendJsonString(std::string& output, const std::string& text) {
  if (isPlain(text)) {
    output += '"';
    output += text;
    output += '"';
  } else {
    output += Poco::toJSON(text);
  }
}

}  // namespace

TokenChunks::TokenChunks(const AnswerIdentity& identity) : identity_(identity) {
  const std::string chunk = encodeTokenChunk(identity, "", false);
  const std::string_view field =
      identity.shape == CompletionShape::chat ? "\"content\":\"\"" : "\"text\":\"\"";
  constexpr std::size_t kEmptyTextBytes = 2;
  // The last one: only constants follow the text.
  const std::size_t textEnd = chunk.rfind(field) + field.size();
  beforeText_ = std::string(kDataField) + chunk.substr(0, textEnd - kEmptyTextBytes);
  afterText_ = chunk.substr(textEnd) + std::string(kEventEnd);
}

const std::string& TokenChunks::next(const std::string& text) {
  if (first_) {
    first_ = false;
    event_ = std::string(kDataField) + encodeTokenChunk(identity_, text, true);
    event_ += kEventEnd;
    return event_;
  }
  event_.assign(beforeText_);
  appendJsonString(event_, text);
  event_ += afterText_;
  return event_;
}

}  // namespace walnut::http
