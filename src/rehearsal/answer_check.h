#pragma once
/// @file
/// Judges what a caller received, by the stand-ins' known answers. Free of I/O.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "http/error_body.h"
#include "rehearsal/target_list.h"
#include "walnut/base/error.h"

namespace walnut::rehearsal {

/// What came back for one request.
struct Transcript {
  bool streamed = false;
  std::vector<std::string> pieces;          ///< Texts in order; a plain answer is one piece.
  std::optional<std::uint32_t> tokenCount;  ///< `usage`, if it came.
  bool ended = false;                       ///< The answer's own end came.
  std::optional<http::ErrorBody> refusal;   ///< A typed error, before or within the answer.
  std::optional<base::Error> failure;       ///< The connection failed, or the answer is malformed.
};

enum class Verdict : std::uint8_t {
  answered,     ///< Whole, and right token by token.
  refused,      ///< A typed error; what came before it is right.
  wrong,        ///< Another text than the expected one, or an end at the wrong place.
  cut,          ///< The connection ended without an answer's end or a typed error.
  unreachable,  ///< No connection: nothing was sent.
};

const char* verdictName(Verdict verdict);

/// @param maxTokens as asked for.
Verdict judge(const Transcript& transcript, const Target& target, const std::string& prompt,
              std::uint32_t maxTokens);

}  // namespace walnut::rehearsal
