#pragma once
/// @file
/// Bodies and headers of the caller API: the widely used chat and text completion shapes.

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "walnut/base/error.h"
#include "walnut/base/time.h"
#include "walnut/engine/messages.h"
#include "walnut/routing/router.h"

namespace walnut::http {

/// Largest body of a caller's request, in bytes.
inline constexpr std::size_t kMaxCallerBodyBytes = 2U << 20U;
/// Bounds and default of `max_tokens`. The default keeps an answer without a bound short.
inline constexpr std::uint32_t kMaxTokensLimit = 32768;
inline constexpr std::uint32_t kMaxTokensDefault = 256;
/// Longest idempotency key, in bytes.
inline constexpr std::size_t kMaxIdempotencyKeyBytes = 200;

/// Which of the two shapes a request and its answer have.
enum class CompletionShape : std::uint8_t { chat, text };

/// A decoded body.
struct CompletionRequest {
  CompletionShape shape = CompletionShape::chat;
  std::string model;
  std::string prompt;
  std::uint32_t maxTokens = kMaxTokensDefault;
  bool stream = false;
  bool includeUsage = false;  ///< `stream_options.include_usage`.
};

/// Decodes a body; fields that are not known are ignored, since public clients send many.
/// The messages of a chat are joined as `<|ROLE|>\nCONTENT\n`, in order, then `<|assistant|>\n`.
base::Result<CompletionRequest> decodeCompletionRequest(CompletionShape shape,
                                                        std::string_view body);

/// @return the value of a header, if it was sent.
using HeaderLookup = std::function<std::optional<std::string>(const std::string& name)>;

/// Reads the `Walnut-*` and `Idempotency-Key` headers into `request`. Errors name the header;
/// `deadlineExceeded` if the deadline has passed already.
base::Result<void> decodeCallerHeaders(const HeaderLookup& header, base::TimePoint now,
                                       routing::CallerRequest& request);

/// What all parts of one answer have in common.
struct AnswerIdentity {
  CompletionShape shape = CompletionShape::chat;
  base::RequestId request;
  std::string model;
  std::int64_t createdSeconds = 0;  ///< Since the Unix epoch.
};

/// @return the body of a plain answer.
std::string encodeCompletion(const AnswerIdentity& identity, const std::string& text,
                             std::uint32_t tokenCount, engine::FinishReason reason);
/// @return the `data:` of one token; the first one of a chat carries the role.
std::string encodeTokenChunk(const AnswerIdentity& identity, const std::string& text, bool first);
/// @return the `data:` with the finish reason.
std::string encodeFinishChunk(const AnswerIdentity& identity, engine::FinishReason reason);
/// @return the `data:` with the usage, sent if the caller asked for it.
std::string encodeUsageChunk(const AnswerIdentity& identity, std::uint32_t tokenCount);
/// @return the body of `GET /v1/models/{name}`.
std::string encodeModel(const std::string& name);
/// @return the body of `GET /v1/models`.
std::string encodeModelList(const std::vector<routing::ServedName>& names);

}  // namespace walnut::http
