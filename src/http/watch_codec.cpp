#include "http/watch_codec.h"

#include <utility>

#include "engine/json_fields.h"
#include "http/resource_codec.h"
#include "http/status_codec.h"
#include "resource/validation.h"

namespace walnut::http {

using base::Error;
using base::ErrorCode;
using base::Result;
using Poco::JSON::Object;

namespace {

Object encodeChange(const protocol::ResourceChanged& change) {
  Object object(Poco::JSON_PRESERVE_KEY_ORDER);
  object.set("type", "resource");
  object.set("resource", encodeResource(change.resource));
  return object;
}

Object encodeChange(const protocol::ResourceDeleted& change) {
  Object object(Poco::JSON_PRESERVE_KEY_ORDER);
  object.set("type", "resource_deleted");
  object.set("kind", resource::kindName(change.key.kind));
  object.set("name", change.key.name);
  return object;
}

Object encodeChange(const protocol::EngineChanged& change) {
  Object object(Poco::JSON_PRESERVE_KEY_ORDER);
  object.set("type", "engine");
  object.set("engine", encodeEngine(change.engine));
  return object;
}

Object encodeChange(const protocol::EngineRemoved& change) {
  Object object(Poco::JSON_PRESERVE_KEY_ORDER);
  object.set("type", "engine_removed");
  object.set("id", change.engine.value);
  return object;
}

Object encodeChange(const protocol::ReplicaChanged& change) {
  Object object(Poco::JSON_PRESERVE_KEY_ORDER);
  object.set("type", "replica");
  object.set("replica", encodeReplica(change.replica));
  return object;
}

Object encodeChange(const protocol::ReplicaRemoved& change) {
  Object object(Poco::JSON_PRESERVE_KEY_ORDER);
  object.set("type", "replica_removed");
  object.set("id", change.replica.value);
  return object;
}

Object encodeChange(const protocol::MembershipChanged& change) {
  Object object(Poco::JSON_PRESERVE_KEY_ORDER);
  object.set("type", "membership");
  object.set("index", change.index);
  object.set("members", encodeMembership(change.membership));
  return object;
}

Object encodeLine(const protocol::Change& change) {
  return std::visit([](const auto& alternative) { return encodeChange(alternative); }, change);
}

Object encodeLine(const WatchBookmark& bookmark) {
  Object object(Poco::JSON_PRESERVE_KEY_ORDER);
  object.set("type", "bookmark");
  object.set("version", bookmark.version);
  return object;
}

Object encodeLine(const ErrorBody& body) { return encodeError(body); }

/// Decodes the fields of a line of one type.
using LineDecoder = Result<WatchLine> (*)(const JsonObject& object);

WatchLine lineOf(protocol::Change change) { return WatchLine(std::move(change)); }

Result<WatchLine> decodeResourceLine(const JsonObject& object) {
  BOOST_OUTCOME_TRY(field, object.requiredObject("resource"));
  BOOST_OUTCOME_TRY(resource, decodeResource(field));
  return lineOf(protocol::ResourceChanged{std::move(resource)});
}

Result<WatchLine> decodeResourceDeletedLine(const JsonObject& object) {
  BOOST_OUTCOME_TRY(key, decodeKey(object));
  return lineOf(protocol::ResourceDeleted{std::move(key)});
}

Result<WatchLine> decodeEngineLine(const JsonObject& object) {
  BOOST_OUTCOME_TRY(field, object.requiredObject("engine"));
  BOOST_OUTCOME_TRY(engine, decodeEngine(field));
  return lineOf(protocol::EngineChanged{std::move(engine)});
}

Result<WatchLine> decodeEngineRemovedLine(const JsonObject& object) {
  BOOST_OUTCOME_TRY(id, object.requiredString("id"));
  return lineOf(protocol::EngineRemoved{base::EngineId{std::move(id)}});
}

Result<WatchLine> decodeReplicaLine(const JsonObject& object) {
  BOOST_OUTCOME_TRY(field, object.requiredObject("replica"));
  BOOST_OUTCOME_TRY(replica, decodeReplica(field));
  return lineOf(protocol::ReplicaChanged{std::move(replica)});
}

Result<WatchLine> decodeReplicaRemovedLine(const JsonObject& object) {
  BOOST_OUTCOME_TRY(id, object.requiredInteger("id"));
  return lineOf(protocol::ReplicaRemoved{base::ReplicaId{id}});
}

Result<WatchLine> decodeMembershipLine(const JsonObject& object) {
  BOOST_OUTCOME_TRY(index, object.requiredInteger("index"));
  BOOST_OUTCOME_TRY(membership, decodeMembership(object));
  return lineOf(protocol::MembershipChanged{index, std::move(membership)});
}

Result<WatchLine> decodeBookmarkLine(const JsonObject& object) {
  BOOST_OUTCOME_TRY(version, object.requiredInteger("version"));
  return WatchLine(WatchBookmark{version});
}

struct LineType {
  const char* name;
  LineDecoder decode;
};

constexpr LineType kLineTypes[] = {
    {"resource", decodeResourceLine},     {"resource_deleted", decodeResourceDeletedLine},
    {"engine", decodeEngineLine},         {"engine_removed", decodeEngineRemovedLine},
    {"replica", decodeReplicaLine},       {"replica_removed", decodeReplicaRemovedLine},
    {"membership", decodeMembershipLine}, {"bookmark", decodeBookmarkLine},
};

}  // namespace

std::string encodeWatchLine(const WatchLine& line) {
  const Object object =
      std::visit([](const auto& alternative) { return encodeLine(alternative); }, line);
  return engine::stringifyJson(object) + "\n";
}

Result<WatchLine> decodeWatchLine(std::string_view text) {
  BOOST_OUTCOME_TRY(object, JsonObject::parse(text));
  if (object.has("error")) {
    BOOST_OUTCOME_TRY(body, decodeError(text));
    return WatchLine(std::move(body));
  }
  BOOST_OUTCOME_TRY(type, object.requiredString("type"));
  for (const LineType& candidate : kLineTypes) {
    if (type == candidate.name) {
      return candidate.decode(object);
    }
  }
  return Error{ErrorCode::outOfRange, "type", "no such type of line"};
}

}  // namespace walnut::http
