#include "engine/json_parts.h"

#include <array>

namespace walnut::engine {

namespace {

/// In the order of GenerateFailed::Started.
constexpr std::array<const char*, 3> kStartedNames = {"no", "yes", "unknown"};

}  // namespace

Poco::JSON::Object tokenToJson(const FencingToken& token) {
  Poco::JSON::Object object;
  object.set("term", token.term);
  object.set("sequence", token.sequence);
  return object;
}

FencingToken tokenFromJson(const JsonReader& reader) {
  return {reader.unsignedInteger("term"), reader.unsignedInteger("sequence")};
}

Poco::JSON::Object servableToJson(const resource::Servable& servable) {
  Poco::JSON::Object object;
  object.set("model", servable.model);
  object.set("version", servable.version);
  if (!servable.adapter.empty()) {
    object.set("adapter", servable.adapter);
  }
  return object;
}

resource::Servable servableFromJson(const JsonReader& reader) {
  return {reader.string("model"), reader.string("version"), reader.stringOr("adapter", "")};
}

Poco::JSON::Object loadToJson(const Load& load) {
  Poco::JSON::Object object;
  object.set("running_requests", load.runningRequests);
  object.set("queued_requests", load.queuedRequests);
  return object;
}

Load loadFromJson(const JsonReader& reader) {
  return {reader.unsigned32("running_requests"), reader.unsigned32("queued_requests")};
}

Poco::JSON::Object errorToJson(const base::Error& error) {
  Poco::JSON::Object object;
  object.set("code", std::string(base::errorCodeName(error.code)));
  object.set("field", error.field);
  object.set("detail", error.detail);
  return object;
}

base::Error errorFromJson(const JsonReader& reader) {
  const std::string name = reader.string("code");
  const base::ErrorCode code = base::errorCodeFromName(name);
  if (name != base::errorCodeName(code)) {
    reader.fail(base::ErrorCode::outOfRange, "code", "no such error code");
  }
  return {code, reader.stringOr("field", ""), reader.stringOr("detail", "")};
}

const char* startedName(GenerateFailed::Started started) {
  return kStartedNames.at(static_cast<std::size_t>(started));
}

GenerateFailed::Started startedFromJson(const JsonReader& reader) {
  const std::vector<std::string> names(kStartedNames.begin(), kStartedNames.end());
  return static_cast<GenerateFailed::Started>(reader.choice("started", names));
}

}  // namespace walnut::engine
