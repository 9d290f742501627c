/// Generation: requests, events, cancel, key-value export, refusals.
#include "engine/json_parts.h"
#include "walnut/engine/json_codec.h"

namespace walnut::engine {

namespace {

/// Each list is in the order of its enum.
const std::vector<std::string>& priorityNames() {
  static const std::vector<std::string> kNames = {"batch", "interactive"};
  return kNames;
}

const std::vector<std::string>& reasonNames() {
  static const std::vector<std::string> kNames = {"stop", "length"};
  return kNames;
}

/// In the order of the alternatives of GenerateEvent.
constexpr const char* kEventNames[] = {"started", "token", "ended", "failed"};

/// Request and attempt, which every message of a generation carries.
template <class Message>
Poco::JSON::Object attemptToJson(const Message& message) {
  Poco::JSON::Object object;
  object.set("request", message.request.value);
  object.set("attempt", message.attempt.value);
  return object;
}

template <class Message>
void readAttempt(const JsonReader& reader, Message& message) {
  message.request.value = reader.string("request");
  message.attempt.value = reader.unsignedInteger("attempt");
}

template <class Message>
base::Result<Message> decodeAttemptOnly(std::string_view body) {
  return decodeJson(body, [](const JsonReader& reader) {
    Message message;
    readAttempt(reader, message);
    return message;
  });
}

Poco::JSON::Object eventToJson(const GenerateStarted& started) {
  Poco::JSON::Object object = attemptToJson(started);
  object.set("incarnation", started.incarnation.value);
  object.set("load", loadToJson(started.load));
  return object;
}

Poco::JSON::Object eventToJson(const GenerateToken& token) {
  Poco::JSON::Object object = attemptToJson(token);
  object.set("offset", token.offset);
  object.set("text", token.text);
  return object;
}

Poco::JSON::Object eventToJson(const GenerateEnded& ended) {
  Poco::JSON::Object object = attemptToJson(ended);
  object.set("token_count", ended.tokenCount);
  object.set("reason", reasonNames().at(static_cast<std::size_t>(ended.reason)));
  object.set("load", loadToJson(ended.load));
  return object;
}

Poco::JSON::Object eventToJson(const GenerateFailed& failed) {
  Poco::JSON::Object object = attemptToJson(failed);
  object.set("error", errorToJson(failed.error));
  object.set("started", std::string(startedName(failed.started)));
  return object;
}

Poco::JSON::Object kvSourceToJson(const KvSource& source) {
  Poco::JSON::Object object;
  object.set("address", source.endpoint.address);
  object.set("port", source.endpoint.port);
  object.set("handle", source.handle);
  return object;
}

KvSource kvSourceFromJson(const JsonReader& reader) {
  return {{reader.string("address"), reader.unsigned16("port")}, reader.string("handle")};
}

GenerateEvent startedFromEvent(const JsonReader& reader) {
  GenerateStarted started;
  readAttempt(reader, started);
  started.incarnation.value = reader.unsignedInteger("incarnation");
  started.load = loadFromJson(reader.object("load"));
  return started;
}

GenerateEvent tokenFromEvent(const JsonReader& reader) {
  GenerateToken token;
  readAttempt(reader, token);
  token.offset = reader.unsigned32("offset");
  token.text = reader.string("text");
  return token;
}

GenerateEvent endedFromEvent(const JsonReader& reader) {
  GenerateEnded ended;
  readAttempt(reader, ended);
  ended.tokenCount = reader.unsigned32("token_count");
  ended.reason = static_cast<FinishReason>(reader.choice("reason", reasonNames()));
  ended.load = loadFromJson(reader.object("load"));
  return ended;
}

GenerateEvent failedFromEvent(const JsonReader& reader) {
  GenerateFailed failed;
  readAttempt(reader, failed);
  failed.error = errorFromJson(reader.object("error"));
  failed.started = startedFromJson(reader);
  return failed;
}

}  // namespace

std::string encodeGenerateRequest(const GenerateRequest& request) {
  Poco::JSON::Object object = attemptToJson(request);
  object.set("servable", servableToJson(request.servable));
  object.set("prompt", request.prompt);
  object.set("max_tokens", request.maxTokens);
  object.set("offset", request.offset);
  object.set("delivered", request.delivered);
  object.set("priority", priorityNames().at(static_cast<std::size_t>(request.priority)));
  if (request.kvSource) {
    object.set("kv_source", kvSourceToJson(*request.kvSource));
  }
  return stringifyJson(object);
}

base::Result<GenerateRequest> decodeGenerateRequest(std::string_view body) {
  return decodeJson(body, [](const JsonReader& reader) {
    GenerateRequest request;
    readAttempt(reader, request);
    request.servable = servableFromJson(reader.object("servable"));
    request.prompt = reader.string("prompt");
    request.maxTokens = reader.unsigned32("max_tokens");
    request.offset = reader.unsigned32("offset");
    request.delivered = reader.stringOr("delivered", "");
    request.priority = static_cast<Priority>(reader.choice("priority", priorityNames()));
    if (reader.has("kv_source")) {
      request.kvSource = kvSourceFromJson(reader.object("kv_source"));
    }
    return request;
  });
}

const char* generateEventName(const GenerateEvent& event) { return kEventNames[event.index()]; }

std::string encodeGenerateEvent(const GenerateEvent& event) {
  return std::visit([](const auto& alternative) { return stringifyJson(eventToJson(alternative)); },
                    event);
}

base::Result<GenerateEvent> decodeGenerateEvent(std::string_view name, std::string_view data) {
  if (name == "started") {
    return decodeJson(data, startedFromEvent);
  }
  if (name == "token") {
    return decodeJson(data, tokenFromEvent);
  }
  if (name == "ended") {
    return decodeJson(data, endedFromEvent);
  }
  if (name == "failed") {
    return decodeJson(data, failedFromEvent);
  }
  return base::Error{base::ErrorCode::outOfRange, "event", "one of started, token, ended, failed"};
}

std::string encodeCancelRequest(const CancelRequest& request) {
  return stringifyJson(attemptToJson(request));
}

base::Result<CancelRequest> decodeCancelRequest(std::string_view body) {
  return decodeAttemptOnly<CancelRequest>(body);
}

std::string encodeExportRequest(const ExportRequest& request) {
  return stringifyJson(attemptToJson(request));
}

base::Result<ExportRequest> decodeExportRequest(std::string_view body) {
  return decodeAttemptOnly<ExportRequest>(body);
}

std::string encodeExportReply(const ExportReply& reply) {
  Poco::JSON::Object object;
  object.set("handle", reply.handle);
  object.set("offset", reply.offset);
  return stringifyJson(object);
}

base::Result<ExportReply> decodeExportReply(std::string_view body) {
  return decodeJson(body, [](const JsonReader& reader) {
    return ExportReply{reader.string("handle"), reader.unsigned32("offset")};
  });
}

std::string encodeHoldRequest(const HoldRequest& request) {
  Poco::JSON::Object object = attemptToJson(request);
  object.set("kv_source", kvSourceToJson(request.source));
  return stringifyJson(object);
}

base::Result<HoldRequest> decodeHoldRequest(std::string_view body) {
  return decodeJson(body, [](const JsonReader& reader) {
    HoldRequest request;
    readAttempt(reader, request);
    request.source = kvSourceFromJson(reader.object("kv_source"));
    return request;
  });
}

std::string encodeHoldReply(const HoldReply& reply) {
  Poco::JSON::Object object;
  object.set("handle", reply.handle);
  return stringifyJson(object);
}

base::Result<HoldReply> decodeHoldReply(std::string_view body) {
  return decodeJson(body,
                    [](const JsonReader& reader) { return HoldReply{reader.string("handle")}; });
}

std::string encodeRefusal(const Refusal& refusal) {
  Poco::JSON::Object object;
  object.set("error", errorToJson(refusal.error));
  object.set("started", std::string(startedName(refusal.started)));
  return stringifyJson(object);
}

base::Result<Refusal> decodeRefusal(std::string_view body) {
  return decodeJson(body, [](const JsonReader& reader) {
    return Refusal{errorFromJson(reader.object("error")), startedFromJson(reader)};
  });
}

int httpStatusOf(base::ErrorCode code) {
  switch (code) {
    case base::ErrorCode::malformedInput:
    case base::ErrorCode::unknownField:
    case base::ErrorCode::missingField:
    case base::ErrorCode::wrongType:
    case base::ErrorCode::outOfRange:
    case base::ErrorCode::unsupportedVersion:
      return 400;
    case base::ErrorCode::notFound:
    case base::ErrorCode::modelNotLoaded:
    case base::ErrorCode::unknownAttempt:
      return 404;
    case base::ErrorCode::staleOrder:
    case base::ErrorCode::wrongIncarnation:
      return 409;
    case base::ErrorCode::inputTooLarge:
      return 413;
    case base::ErrorCode::engineLeaving:
    case base::ErrorCode::engineOverloaded:
      return 503;
    case base::ErrorCode::insufficientMemory:
      return 507;
    default:
      return 500;
  }
}

}  // namespace walnut::engine
