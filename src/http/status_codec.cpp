#include "http/status_codec.h"

#include <Poco/JSON/Array.h>

#include <charconv>
#include <utility>

#include "http/resource_codec.h"
#include "walnut/runtime/settings.h"

namespace walnut::http {

using base::Error;
using base::ErrorCode;
using base::Result;
using Poco::JSON::Array;
using Poco::JSON::Object;

namespace {

constexpr const char* kReplicaStateNames[] = {"reserved", "ready", "unloading"};
constexpr const char* kEngineStatusNames[] = {"live", "leaving"};
constexpr const char* kMemberRoleNames[] = {"learner", "voter"};

std::int64_t toMillis(base::TimePoint time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

/// @return the enumerator whose name the field holds.
template <class Enum, std::size_t Count>
Result<Enum> decodeEnum(const JsonObject& object, const std::string& field,
                        const char* const (&names)[Count]) {
  BOOST_OUTCOME_TRY(text, object.requiredString(field));
  for (std::size_t index = 0; index < Count; ++index) {
    if (text == names[index]) {
      return static_cast<Enum>(index);
    }
  }
  return Error{ErrorCode::outOfRange, object.pathOf(field), "not one of the accepted names"};
}

template <class Enum, std::size_t Count>
const char* enumName(Enum value, const char* const (&names)[Count]) {
  return names[static_cast<std::size_t>(value)];
}

Result<base::Endpoint> decodeEndpoint(const JsonObject& object, const std::string& field) {
  BOOST_OUTCOME_TRY(text, object.requiredString(field));
  const Result<base::Endpoint> endpoint = runtime::parseEndpoint(text);
  if (endpoint.has_error()) {
    return Error{endpoint.error().code, object.pathOf(field), endpoint.error().detail};
  }
  return endpoint.value();
}

Result<std::uint64_t> parseIdentity(const std::string& text, const std::string& field) {
  std::uint64_t value = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, failure] = std::from_chars(text.data(), end, value);
  if (failure != std::errc() || rest != end) {
    return Error{ErrorCode::wrongType, field, "expected an id of decimal digits"};
  }
  return value;
}

Result<std::uint64_t> decodeIdentity(const JsonObject& object, const std::string& field) {
  BOOST_OUTCOME_TRY(text, object.requiredString(field));
  return parseIdentity(text, object.pathOf(field));
}

Result<base::TimePoint> decodeMillis(const JsonObject& object, const std::string& field) {
  // Above this, the conversion to microseconds would overflow.
  constexpr std::uint64_t kMaxMillis = INT64_MAX / 1000;
  BOOST_OUTCOME_TRY(millis, object.requiredInteger(field, IntegerRange{0, kMaxMillis}));
  return base::TimePoint(std::chrono::milliseconds(static_cast<std::int64_t>(millis)));
}

Result<resource::Servable> decodeServable(const JsonObject& object) {
  BOOST_OUTCOME_TRY(model, object.requiredString("model"));
  BOOST_OUTCOME_TRY(version, object.requiredString("version"));
  BOOST_OUTCOME_TRY(adapter, object.requiredString("adapter"));
  return resource::Servable{std::move(model), std::move(version), std::move(adapter)};
}

template <class Element>
Array arrayOf(const std::vector<Element>& elements, Object (*encode)(const Element&)) {
  Array array;
  for (const Element& element : elements) {
    array.add(encode(element));
  }
  return array;
}

template <class Element>
Result<std::vector<Element>> vectorOf(const JsonObject& object, const std::string& field,
                                      Result<Element> (*decode)(const JsonObject&)) {
  BOOST_OUTCOME_TRY(objects, object.requiredObjects(field));
  std::vector<Element> elements;
  for (const JsonObject& element : objects) {
    BOOST_OUTCOME_TRY(decoded, decode(element));
    elements.push_back(std::move(decoded));
  }
  return elements;
}

}  // namespace

Object encodeEngine(const resource::Engine& engine) {
  Array memory;
  for (const std::uint64_t bytes : engine.acceleratorBytes) {
    Object accelerator;
    accelerator.set("bytes", bytes);
    memory.add(accelerator);
  }
  Object object(Poco::JSON_PRESERVE_KEY_ORDER);
  object.set("id", engine.id.value);
  object.set("endpoint", runtime::formatEndpoint(engine.endpoint));
  object.set("zone", engine.zone.value);
  object.set("machine_class", engine.machineClass);
  object.set("incarnation", std::to_string(engine.incarnation.value));
  object.set("status", enumName(engine.status, kEngineStatusNames));
  if (engine.reclaimAt) {
    object.set("reclaim_at_ms", toMillis(*engine.reclaimAt));
  }
  object.set("accelerators", memory);
  return object;
}

Result<resource::Engine> decodeEngine(const JsonObject& object) {
  resource::Engine engine;
  BOOST_OUTCOME_TRY(id, object.requiredString("id"));
  BOOST_OUTCOME_TRY(endpoint, decodeEndpoint(object, "endpoint"));
  BOOST_OUTCOME_TRY(zone, object.requiredString("zone"));
  BOOST_OUTCOME_TRY(machineClass, object.requiredString("machine_class"));
  BOOST_OUTCOME_TRY(incarnation, decodeIdentity(object, "incarnation"));
  BOOST_OUTCOME_TRY(status,
                    decodeEnum<resource::EngineStatus>(object, "status", kEngineStatusNames));
  BOOST_OUTCOME_TRY(accelerators, object.requiredObjects("accelerators"));
  if (object.has("reclaim_at_ms")) {
    BOOST_OUTCOME_TRY(reclaimAt, decodeMillis(object, "reclaim_at_ms"));
    engine.reclaimAt = reclaimAt;
  }
  for (const JsonObject& accelerator : accelerators) {
    BOOST_OUTCOME_TRY(bytes, accelerator.requiredInteger("bytes"));
    engine.acceleratorBytes.push_back(bytes);
  }
  engine.id = base::EngineId{std::move(id)};
  engine.endpoint = std::move(endpoint);
  engine.zone = base::ZoneId{std::move(zone)};
  engine.machineClass = std::move(machineClass);
  engine.incarnation = base::Incarnation{incarnation};
  engine.status = status;
  return engine;
}

Object encodeReplica(const resource::Replica& replica) {
  Object object(Poco::JSON_PRESERVE_KEY_ORDER);
  object.set("id", replica.id.value);
  object.set("model", replica.servable.model);
  object.set("version", replica.servable.version);
  object.set("adapter", replica.servable.adapter);
  object.set("engine", replica.engine.value);
  object.set("incarnation", std::to_string(replica.incarnation.value));
  object.set("accelerator", replica.accelerator.value);
  object.set("bytes", replica.bytes);
  object.set("state", enumName(replica.state, kReplicaStateNames));
  object.set("since_ms", toMillis(replica.since));
  return object;
}

Result<resource::Replica> decodeReplica(const JsonObject& object) {
  const IntegerRange acceleratorRange{0, UINT32_MAX};
  resource::Replica replica;
  BOOST_OUTCOME_TRY(id, object.requiredInteger("id"));
  BOOST_OUTCOME_TRY(servable, decodeServable(object));
  BOOST_OUTCOME_TRY(engine, object.requiredString("engine"));
  BOOST_OUTCOME_TRY(incarnation, decodeIdentity(object, "incarnation"));
  BOOST_OUTCOME_TRY(accelerator, object.requiredInteger("accelerator", acceleratorRange));
  BOOST_OUTCOME_TRY(bytes, object.requiredInteger("bytes"));
  BOOST_OUTCOME_TRY(state, decodeEnum<resource::ReplicaState>(object, "state", kReplicaStateNames));
  BOOST_OUTCOME_TRY(since, decodeMillis(object, "since_ms"));
  replica.id = base::ReplicaId{id};
  replica.servable = std::move(servable);
  replica.engine = base::EngineId{std::move(engine)};
  replica.incarnation = base::Incarnation{incarnation};
  replica.accelerator = base::AcceleratorIndex{static_cast<std::uint32_t>(accelerator)};
  replica.bytes = bytes;
  replica.state = state;
  replica.since = since;
  return replica;
}

std::string formatServerId(base::ServerId id) { return std::to_string(id.value); }

Result<base::ServerId> parseServerId(const std::string& text) {
  BOOST_OUTCOME_TRY(value, parseIdentity(text, "id"));
  if (value == 0) {
    return Error{ErrorCode::outOfRange, "id", "zero names no server"};
  }
  return base::ServerId{value};
}

Object encodeMember(const consensus::Member& member) {
  Object object(Poco::JSON_PRESERVE_KEY_ORDER);
  object.set("id", formatServerId(member.id));
  object.set("role", enumName(member.role, kMemberRoleNames));
  object.set("peer_endpoint", runtime::formatEndpoint(member.peerEndpoint));
  object.set("resource_endpoint", runtime::formatEndpoint(member.resourceEndpoint));
  object.set("zone", member.zone.value);
  return object;
}

Result<consensus::Member> decodeMember(const JsonObject& object) {
  BOOST_OUTCOME_TRY(object.allowOnly({"id", "role", "peer_endpoint", "resource_endpoint", "zone"}));
  consensus::Member member;
  BOOST_OUTCOME_TRY(id, decodeIdentity(object, "id"));
  if (id == 0) {
    return Error{ErrorCode::outOfRange, object.pathOf("id"), "zero names no server"};
  }
  if (object.has("role")) {
    BOOST_OUTCOME_TRY(role, decodeEnum<consensus::MemberRole>(object, "role", kMemberRoleNames));
    member.role = role;
  }
  BOOST_OUTCOME_TRY(peerEndpoint, decodeEndpoint(object, "peer_endpoint"));
  BOOST_OUTCOME_TRY(resourceEndpoint, decodeEndpoint(object, "resource_endpoint"));
  BOOST_OUTCOME_TRY(zone, object.requiredString("zone"));
  member.id = base::ServerId{id};
  member.peerEndpoint = std::move(peerEndpoint);
  member.resourceEndpoint = std::move(resourceEndpoint);
  member.zone = base::ZoneId{std::move(zone)};
  return member;
}

Result<consensus::Member> decodeMemberBody(std::string_view body) {
  BOOST_OUTCOME_TRY(object, JsonObject::parse(body, kMaxResourceBodyBytes));
  return decodeMember(object);
}

Array encodeMembership(const consensus::Membership& membership) {
  return arrayOf(membership.members, encodeMember);
}

Result<consensus::Membership> decodeMembership(const JsonObject& object) {
  BOOST_OUTCOME_TRY(members, vectorOf(object, "members", decodeMember));
  return consensus::Membership{std::move(members)};
}

Object encodeStatus(const protocol::CellStatus& status) {
  Object object(Poco::JSON_PRESERVE_KEY_ORDER);
  object.set("server", formatServerId(status.server));
  object.set("leader", formatServerId(status.leader));
  object.set("term", status.term);
  object.set("applied_index", status.appliedIndex);
  object.set("first_index", status.firstIndex);
  object.set("routers_connected", status.routersConnected);
  object.set("members", encodeMembership(status.membership));
  object.set("engines", arrayOf(status.engines, encodeEngine));
  object.set("replicas", arrayOf(status.replicas, encodeReplica));
  return object;
}

Result<protocol::CellStatus> decodeStatus(std::string_view body) {
  BOOST_OUTCOME_TRY(object, JsonObject::parse(body));
  protocol::CellStatus status;
  BOOST_OUTCOME_TRY(server, decodeIdentity(object, "server"));
  BOOST_OUTCOME_TRY(leader, decodeIdentity(object, "leader"));
  BOOST_OUTCOME_TRY(term, object.requiredInteger("term"));
  BOOST_OUTCOME_TRY(appliedIndex, object.requiredInteger("applied_index"));
  BOOST_OUTCOME_TRY(firstIndex, object.requiredInteger("first_index"));
  BOOST_OUTCOME_TRY(routersConnected, object.requiredInteger("routers_connected"));
  BOOST_OUTCOME_TRY(membership, decodeMembership(object));
  BOOST_OUTCOME_TRY(engines, vectorOf(object, "engines", decodeEngine));
  BOOST_OUTCOME_TRY(replicas, vectorOf(object, "replicas", decodeReplica));
  status.server = base::ServerId{server};
  status.leader = base::ServerId{leader};
  status.term = term;
  status.appliedIndex = appliedIndex;
  status.firstIndex = firstIndex;
  status.routersConnected = routersConnected;
  status.membership = std::move(membership);
  status.engines = std::move(engines);
  status.replicas = std::move(replicas);
  return status;
}

}  // namespace walnut::http
