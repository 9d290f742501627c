#include "http/caller_codec.h"

#include <Poco/JSON/Array.h>

#include <algorithm>
#include <charconv>

#include "engine/json_fields.h"
#include "http/json_object.h"

namespace walnut::http {

using base::Error;
using base::ErrorCode;
using base::Result;
using Poco::JSON::Array;
using Poco::JSON::Object;

namespace {

/// Longest relative deadline: batches that must end before morning.
constexpr std::int64_t kMaxDeadlineMillis = 12LL * 3600 * 1000;
constexpr std::size_t kMaxModelNameBytes = 256;

Result<std::string> decodeContentParts(const JsonObject& message) {
  std::string text;
  BOOST_OUTCOME_TRY(parts, message.requiredObjects("content"));
  for (const JsonObject& part : parts) {
    BOOST_OUTCOME_TRY(type, part.requiredString("type"));
    if (type != "text") {
      return Error{ErrorCode::outOfRange, part.pathOf("type"), "accepted: text"};
    }
    BOOST_OUTCOME_TRY(partText, part.requiredString("text"));
    text += partText;
  }
  return text;
}

/// The assistant's turn may be empty: clients send it so when it only called a tool.
Result<std::string> decodeContent(const JsonObject& message, const std::string& role) {
  if (message.isArray("content")) {
    return decodeContentParts(message);
  }
  if (role == "assistant" && !message.has("content")) {
    return std::string();
  }
  return message.requiredString("content");
}

Result<std::string> decodeMessages(const JsonObject& body) {
  BOOST_OUTCOME_TRY(messages, body.requiredObjects("messages"));
  if (messages.empty()) {
    return Error{ErrorCode::outOfRange, "messages", "at least one message"};
  }
  std::string prompt;
  for (const JsonObject& message : messages) {
    BOOST_OUTCOME_TRY(role, message.requiredString("role"));
    BOOST_OUTCOME_TRY(content, decodeContent(message, role));
    prompt.append("<|").append(role).append("|>\n").append(content).append("\n");
  }
  return prompt + "<|assistant|>\n";
}

Result<std::string> decodePrompt(const JsonObject& body) {
  if (!body.isArray("prompt")) {
    return body.requiredString("prompt");
  }
  BOOST_OUTCOME_TRY(prompts, body.optionalStrings("prompt"));
  if (!prompts || prompts->size() != 1) {
    return Error{ErrorCode::outOfRange, "prompt", "accepted: one prompt"};
  }
  return std::move(prompts->front());
}

Result<std::uint32_t> decodeMaxTokens(const JsonObject& body) {
  const IntegerRange range{1, kMaxTokensLimit};
  BOOST_OUTCOME_TRY(newName, body.optionalInteger("max_completion_tokens", range));
  BOOST_OUTCOME_TRY(oldName, body.optionalInteger("max_tokens", range));
  const std::uint64_t value = newName ? *newName : oldName.value_or(kMaxTokensDefault);
  return static_cast<std::uint32_t>(value);
}

/// Whole number of a header; `wrongType` if it is none.
Result<std::optional<std::int64_t>> integerHeader(const HeaderLookup& header,
                                                  const std::string& name) {
  const auto text = header(name);
  if (!text) {
    return std::optional<std::int64_t>();
  }
  std::int64_t value = 0;
  const char* end = text->data() + text->size();
  const auto [rest, error] = std::from_chars(text->data(), end, value);
  if (error == std::errc::invalid_argument || rest != end) {
    return Error{ErrorCode::wrongType, name, "expected a whole number"};
  }
  if (error == std::errc::result_out_of_range) {
    return Error{ErrorCode::outOfRange, name, "expected a number of 64 bits"};
  }
  return std::optional<std::int64_t>(value);
}

Result<void> decodeDeadline(const HeaderLookup& header, base::TimePoint now,
                            routing::CallerRequest& request) {
  BOOST_OUTCOME_TRY(millis, integerHeader(header, "Walnut-Deadline-Ms"));
  if (!millis) {
    return base::success();
  }
  if (*millis <= 0) {
    return Error{ErrorCode::deadlineExceeded, "Walnut-Deadline-Ms", "the deadline has passed"};
  }
  if (*millis > kMaxDeadlineMillis) {
    return Error{ErrorCode::outOfRange, "Walnut-Deadline-Ms",
                 "accepted: 1 .. " + std::to_string(kMaxDeadlineMillis)};
  }
  request.deadline = now + std::chrono::milliseconds(*millis);
  return base::success();
}

Result<void> decodeClass(const HeaderLookup& header, routing::CallerRequest& request) {
  const std::string name = header("Walnut-Class").value_or("interactive");
  if (name != "interactive" && name != "batch") {
    return Error{ErrorCode::outOfRange, "Walnut-Class", "accepted: interactive, batch"};
  }
  request.priority = name == "batch" ? engine::Priority::batch : engine::Priority::interactive;
  return base::success();
}

Result<void> decodeIssuedAt(const HeaderLookup& header, routing::CallerRequest& request) {
  BOOST_OUTCOME_TRY(issuedMillis, integerHeader(header, "Walnut-Issued-At"));
  if (!issuedMillis) {
    return base::success();
  }
  // Above this, the conversion to microseconds would overflow.
  constexpr std::int64_t kMaxMillis = INT64_MAX / 1000;
  if (*issuedMillis < 0 || *issuedMillis > kMaxMillis) {
    return Error{ErrorCode::outOfRange, "Walnut-Issued-At", "milliseconds since the Unix epoch"};
  }
  request.issuedAt = base::TimePoint(std::chrono::milliseconds(*issuedMillis));
  return base::success();
}

Result<void> decodeRepeatable(const HeaderLookup& header, routing::CallerRequest& request) {
  const std::string repeatable = header("Walnut-Repeatable").value_or("true");
  if (repeatable != "true" && repeatable != "false") {
    return Error{ErrorCode::outOfRange, "Walnut-Repeatable", "accepted: true, false"};
  }
  request.repeatable = repeatable == "true";
  request.idempotencyKey = header("Idempotency-Key").value_or("");
  if (request.idempotencyKey.size() > kMaxIdempotencyKeyBytes) {
    return Error{ErrorCode::outOfRange, "Idempotency-Key",
                 "accepted: 1 .. " + std::to_string(kMaxIdempotencyKeyBytes) + " bytes"};
  }
  BOOST_OUTCOME_TRY(decodeIssuedAt(header, request));
  if (request.repeatable) {
    return base::success();
  }
  if (request.idempotencyKey.empty()) {
    return Error{ErrorCode::missingField, "Idempotency-Key", "required if not repeatable"};
  }
  if (!request.issuedAt) {
    return Error{ErrorCode::missingField, "Walnut-Issued-At", "required if not repeatable"};
  }
  return base::success();
}

const char* finishReasonName(engine::FinishReason reason) {
  return reason == engine::FinishReason::length ? "length" : "stop";
}

Object envelope(const AnswerIdentity& identity, bool chunk) {
  const bool chat = identity.shape == CompletionShape::chat;
  Object object(Poco::JSON_PRESERVE_KEY_ORDER);
  object.set("id", (chat ? "chatcmpl-" : "cmpl-") + identity.request.value);
  if (chat) {
    object.set("object", chunk ? "chat.completion.chunk" : "chat.completion");
  } else {
    object.set("object", "text_completion");
  }
  object.set("created", identity.createdSeconds);
  object.set("model", identity.model);
  return object;
}

/// The router has no tokenizer, so that the tokens of the prompt are not known to it.
Object usageOf(std::uint32_t tokenCount) {
  Object usage(Poco::JSON_PRESERVE_KEY_ORDER);
  usage.set("prompt_tokens", 0);
  usage.set("completion_tokens", tokenCount);
  usage.set("total_tokens", tokenCount);
  return usage;
}

void setChoice(Object& object, const Object& choice) {
  Array choices;
  choices.add(choice);
  object.set("choices", choices);
}

/// `content` null: a chunk without text.
Object chunkChoice(CompletionShape shape, const std::string* content, bool withRole) {
  Object choice(Poco::JSON_PRESERVE_KEY_ORDER);
  choice.set("index", 0);
  if (shape == CompletionShape::text) {
    choice.set("text", content != nullptr ? *content : std::string());
    return choice;
  }
  Object delta(Poco::JSON_PRESERVE_KEY_ORDER);
  if (withRole) {
    delta.set("role", "assistant");
  }
  if (content != nullptr) {
    delta.set("content", *content);
  }
  choice.set("delta", delta);
  return choice;
}

Object modelEntry(const std::string& name) {
  Object entry(Poco::JSON_PRESERVE_KEY_ORDER);
  entry.set("id", name);
  entry.set("object", "model");
  entry.set("created", 0);
  entry.set("owned_by", "walnutlead");
  return entry;
}

}  // namespace

Result<CompletionRequest> decodeCompletionRequest(CompletionShape shape, std::string_view body) {
  BOOST_OUTCOME_TRY(object, JsonObject::parse(body, kMaxCallerBodyBytes));
  CompletionRequest request;
  request.shape = shape;
  BOOST_OUTCOME_TRY(model, object.requiredString("model"));
  if (model.empty() || model.size() > kMaxModelNameBytes) {
    return Error{ErrorCode::outOfRange, "model", "accepted: 1 .. 256 bytes"};
  }
  request.model = model;
  BOOST_OUTCOME_TRY(prompt,
                    shape == CompletionShape::chat ? decodeMessages(object) : decodePrompt(object));
  request.prompt = std::move(prompt);
  BOOST_OUTCOME_TRY(maxTokens, decodeMaxTokens(object));
  request.maxTokens = maxTokens;
  BOOST_OUTCOME_TRY(object.optionalInteger("n", IntegerRange{1, 1}));
  BOOST_OUTCOME_TRY(stream, object.optionalBoolean("stream"));
  request.stream = stream.value_or(false);
  BOOST_OUTCOME_TRY(streamOptions, object.optionalObject("stream_options"));
  if (streamOptions) {
    BOOST_OUTCOME_TRY(includeUsage, streamOptions->optionalBoolean("include_usage"));
    request.includeUsage = includeUsage.value_or(false);
  }
  return request;
}

Result<void> decodeCallerHeaders(const HeaderLookup& header, base::TimePoint now,
                                 routing::CallerRequest& request) {
  BOOST_OUTCOME_TRY(decodeDeadline(header, now, request));
  BOOST_OUTCOME_TRY(decodeClass(header, request));
  return decodeRepeatable(header, request);
}

std::string encodeCompletion(const AnswerIdentity& identity, const std::string& text,
                             std::uint32_t tokenCount, engine::FinishReason reason) {
  Object choice(Poco::JSON_PRESERVE_KEY_ORDER);
  choice.set("index", 0);
  if (identity.shape == CompletionShape::chat) {
    Object message(Poco::JSON_PRESERVE_KEY_ORDER);
    message.set("role", "assistant");
    message.set("content", text);
    choice.set("message", message);
  } else {
    choice.set("text", text);
  }
  choice.set("finish_reason", finishReasonName(reason));
  Object object = envelope(identity, false);
  setChoice(object, choice);
  object.set("usage", usageOf(tokenCount));
  return engine::stringifyJson(object);
}

std::string encodeTokenChunk(const AnswerIdentity& identity, const std::string& text, bool first) {
  Object choice = chunkChoice(identity.shape, &text, first);
  choice.set("finish_reason", Poco::Dynamic::Var());
  Object object = envelope(identity, true);
  setChoice(object, choice);
  return engine::stringifyJson(object);
}

std::string encodeFinishChunk(const AnswerIdentity& identity, engine::FinishReason reason) {
  Object choice = chunkChoice(identity.shape, nullptr, false);
  choice.set("finish_reason", finishReasonName(reason));
  Object object = envelope(identity, true);
  setChoice(object, choice);
  return engine::stringifyJson(object);
}

std::string encodeUsageChunk(const AnswerIdentity& identity, std::uint32_t tokenCount) {
  Object object = envelope(identity, true);
  object.set("choices", Array());
  object.set("usage", usageOf(tokenCount));
  return engine::stringifyJson(object);
}

std::string encodeModel(const std::string& name) { return engine::stringifyJson(modelEntry(name)); }

std::string encodeModelList(const std::vector<routing::ServedName>& names) {
  Array data;
  for (const routing::ServedName& name : names) {
    data.add(modelEntry(name.name));
  }
  Object list(Poco::JSON_PRESERVE_KEY_ORDER);
  list.set("object", "list");
  list.set("data", data);
  return engine::stringifyJson(list);
}

}  // namespace walnut::http
