#pragma once
/// @file
/// The events of a streamed answer that carry tokens, made without building a JSON tree for each.

#include <string>

#include "http/caller_codec.h"

namespace walnut::http {

/// Encodes the chunks of one answer. All but the first differ only in their text.
class TokenChunks {
 public:
  explicit TokenChunks(const AnswerIdentity& identity);

  /// @return the event of the next token, `data:` and the blank line included; valid until the next
  /// call. Its JSON is that of `encodeTokenChunk`.
  const std::string& next(const std::string& text);

 private:
  const AnswerIdentity& identity_;
  bool first_ = true;
  std::string beforeText_;
  std::string afterText_;
  std::string event_;
};

}  // namespace walnut::http
