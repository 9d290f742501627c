#include "http/resource_codec.h"

#include <Poco/JSON/Array.h>

#include <limits>
#include <utility>

#include "resource/validation.h"

namespace walnut::http {

using base::Error;
using base::ErrorCode;
using base::Result;
using Poco::JSON::Array;
using Poco::JSON::Object;
using resource::KeepAlive;
using resource::Kind;
using resource::Spec;

namespace {

/// Far above what any weight store allows; only keeps the number finite.
constexpr double kMaxLoadsPerSecond = 1e6;

Result<std::uint32_t> unsigned32Or(const JsonObject& object, const std::string& name,
                                   std::uint32_t fallback) {
  const IntegerRange range{0, std::numeric_limits<std::uint32_t>::max()};
  BOOST_OUTCOME_TRY(value, object.optionalInteger(name, range));
  return static_cast<std::uint32_t>(value.value_or(fallback));
}

Result<std::uint64_t> unsigned64Or(const JsonObject& object, const std::string& name,
                                   std::uint64_t fallback) {
  BOOST_OUTCOME_TRY(value, object.optionalInteger(name));
  return value.value_or(fallback);
}

Result<std::string> stringOr(const JsonObject& object, const std::string& name) {
  BOOST_OUTCOME_TRY(value, object.optionalString(name));
  return value.value_or("");
}

Array arrayOf(const std::vector<std::string>& values) {
  Array array;
  for (const std::string& value : values) {
    array.add(value);
  }
  return array;
}

Object encodeFields(const resource::ModelSpec& spec) {
  Object object(Poco::JSON_PRESERVE_KEY_ORDER);
  object.set("active_version", spec.activeVersion);
  object.set("pool", spec.pool);
  object.set("budget", spec.budget);
  object.set("min_replicas", spec.minReplicas);
  object.set("max_replicas", spec.maxReplicas);
  return object;
}

Result<Spec> decodeModel(const JsonObject& object) {
  BOOST_OUTCOME_TRY(
      object.allowOnly({"active_version", "pool", "budget", "min_replicas", "max_replicas"}));
  resource::ModelSpec spec;
  BOOST_OUTCOME_TRY(activeVersion, stringOr(object, "active_version"));
  BOOST_OUTCOME_TRY(pool, stringOr(object, "pool"));
  BOOST_OUTCOME_TRY(budget, stringOr(object, "budget"));
  BOOST_OUTCOME_TRY(minReplicas, unsigned32Or(object, "min_replicas", spec.minReplicas));
  BOOST_OUTCOME_TRY(maxReplicas, unsigned32Or(object, "max_replicas", spec.maxReplicas));
  spec.activeVersion = std::move(activeVersion);
  spec.pool = std::move(pool);
  spec.budget = std::move(budget);
  spec.minReplicas = minReplicas;
  spec.maxReplicas = maxReplicas;
  return Spec(std::move(spec));
}

/// Of a model version and of an adapter: their fields are the same.
template <class Weights>
Object encodeWeights(const Weights& spec) {
  Object object(Poco::JSON_PRESERVE_KEY_ORDER);
  object.set("model", spec.model);
  object.set("checkpoint", spec.checkpoint);
  object.set("checkpoint_bytes", spec.checkpointBytes);
  object.set("accelerator_bytes", spec.acceleratorBytes);
  return object;
}

Object encodeFields(const resource::ModelVersionSpec& spec) { return encodeWeights(spec); }
Object encodeFields(const resource::AdapterSpec& spec) { return encodeWeights(spec); }

template <class Weights>
Result<Spec> decodeWeights(const JsonObject& object) {
  BOOST_OUTCOME_TRY(
      object.allowOnly({"model", "checkpoint", "checkpoint_bytes", "accelerator_bytes"}));
  Weights spec;
  BOOST_OUTCOME_TRY(model, object.requiredString("model"));
  BOOST_OUTCOME_TRY(checkpoint, object.requiredString("checkpoint"));
  BOOST_OUTCOME_TRY(checkpointBytes, object.requiredInteger("checkpoint_bytes"));
  BOOST_OUTCOME_TRY(acceleratorBytes, object.requiredInteger("accelerator_bytes"));
  spec.model = std::move(model);
  spec.checkpoint = std::move(checkpoint);
  spec.checkpointBytes = checkpointBytes;
  spec.acceleratorBytes = acceleratorBytes;
  return Spec(std::move(spec));
}

const char* keepAliveName(KeepAlive keepAlive) {
  switch (keepAlive) {
    case KeepAlive::idleTimeout:
      return "idle-timeout";
    case KeepAlive::learned:
      return "learned";
    case KeepAlive::resident:
      return "resident";
  }
  return "";
}

Result<KeepAlive> keepAliveOr(const JsonObject& object, const std::string& name,
                              KeepAlive fallback) {
  BOOST_OUTCOME_TRY(text, object.optionalString(name));
  if (!text) {
    return fallback;
  }
  for (const KeepAlive known : {KeepAlive::idleTimeout, KeepAlive::learned, KeepAlive::resident}) {
    if (*text == keepAliveName(known)) {
      return known;
    }
  }
  return Error{ErrorCode::outOfRange, "spec." + name, "idle-timeout, learned or resident"};
}

Object encodeFields(const resource::CapacityBudgetSpec& spec) {
  Object object(Poco::JSON_PRESERVE_KEY_ORDER);
  object.set("accelerator_bytes", spec.acceleratorBytes);
  object.set("idle_unload_seconds", spec.idleUnloadSeconds);
  object.set("cold_start_weight", spec.coldStartWeight);
  object.set("keep_alive", keepAliveName(spec.keepAlive));
  object.set("idle_seconds_per_cold_second", spec.idleSecondsPerColdSecond);
  object.set("cold_start_target_seconds", spec.coldStartTargetSeconds);
  return object;
}

Result<Spec> decodeBudget(const JsonObject& object) {
  BOOST_OUTCOME_TRY(object.allowOnly(
      {"accelerator_bytes", "idle_unload_seconds", "cold_start_weight", "keep_alive",
       "idle_seconds_per_cold_second", "cold_start_target_seconds"}));
  resource::CapacityBudgetSpec spec;
  BOOST_OUTCOME_TRY(bytes, unsigned64Or(object, "accelerator_bytes", spec.acceleratorBytes));
  BOOST_OUTCOME_TRY(idle, unsigned32Or(object, "idle_unload_seconds", spec.idleUnloadSeconds));
  BOOST_OUTCOME_TRY(weight, unsigned32Or(object, "cold_start_weight", spec.coldStartWeight));
  BOOST_OUTCOME_TRY(keepAlive, keepAliveOr(object, "keep_alive", spec.keepAlive));
  BOOST_OUTCOME_TRY(
      price, unsigned32Or(object, "idle_seconds_per_cold_second", spec.idleSecondsPerColdSecond));
  BOOST_OUTCOME_TRY(target,
                    unsigned32Or(object, "cold_start_target_seconds", spec.coldStartTargetSeconds));
  spec.keepAlive = keepAlive;
  spec.idleSecondsPerColdSecond = price;
  spec.coldStartTargetSeconds = target;
  spec.acceleratorBytes = bytes;
  spec.idleUnloadSeconds = idle;
  spec.coldStartWeight = weight;
  return Spec(spec);
}

Object encodeFields(const resource::EnginePoolSpec& spec) {
  Object object(Poco::JSON_PRESERVE_KEY_ORDER);
  object.set("zones", arrayOf(spec.zones));
  object.set("machine_class", spec.machineClass);
  object.set("max_concurrent_loads", spec.maxConcurrentLoads);
  object.set("loads_per_second", spec.loadsPerSecond);
  return object;
}

Result<Spec> decodePool(const JsonObject& object) {
  BOOST_OUTCOME_TRY(
      object.allowOnly({"zones", "machine_class", "max_concurrent_loads", "loads_per_second"}));
  resource::EnginePoolSpec spec;
  BOOST_OUTCOME_TRY(zones, object.optionalStrings("zones"));
  BOOST_OUTCOME_TRY(machineClass, stringOr(object, "machine_class"));
  BOOST_OUTCOME_TRY(loads, unsigned32Or(object, "max_concurrent_loads", spec.maxConcurrentLoads));
  BOOST_OUTCOME_TRY(rate, object.optionalReal("loads_per_second", 0, kMaxLoadsPerSecond));
  spec.zones = std::move(zones).value_or(std::vector<std::string>());
  spec.machineClass = std::move(machineClass);
  spec.maxConcurrentLoads = loads;
  spec.loadsPerSecond = rate.value_or(spec.loadsPerSecond);
  return Spec(std::move(spec));
}

Object encodeFields(const resource::DrainSpec& spec) {
  Object object;
  object.set("reason", spec.reason);
  return object;
}

Result<Spec> decodeDrain(const JsonObject& object) {
  BOOST_OUTCOME_TRY(object.allowOnly({"reason"}));
  BOOST_OUTCOME_TRY(reason, stringOr(object, "reason"));
  return Spec(resource::DrainSpec{std::move(reason)});
}

/// Reads a kind by its name; the error names the field.
Result<Kind> decodeKind(const JsonObject& object, const std::string& field) {
  BOOST_OUTCOME_TRY(name, object.requiredString(field));
  const Result<Kind> kind = resource::kindFromName(name);
  if (kind.has_error()) {
    return Error{ErrorCode::outOfRange, object.pathOf(field), "no such kind of resource"};
  }
  return kind.value();
}

/// `kind` and `name` may be repeated in a body, but then must agree with the path.
Result<void> checkAgreement(const resource::Key& key, const JsonObject& object) {
  BOOST_OUTCOME_TRY(kind, object.optionalString("kind"));
  if (kind && *kind != resource::kindName(key.kind)) {
    return Error{ErrorCode::outOfRange, "kind", "another kind than in the path"};
  }
  BOOST_OUTCOME_TRY(name, object.optionalString("name"));
  if (name && *name != key.name) {
    return Error{ErrorCode::outOfRange, "name", "another name than in the path"};
  }
  return base::success();
}

}  // namespace

Result<resource::Key> decodeKey(const JsonObject& object) {
  BOOST_OUTCOME_TRY(kind, decodeKind(object, "kind"));
  BOOST_OUTCOME_TRY(name, object.requiredString("name"));
  return resource::Key{kind, std::move(name)};
}

Object encodeSpec(const Spec& spec) {
  return std::visit([](const auto& fields) { return encodeFields(fields); }, spec);
}

Result<Spec> decodeSpec(Kind kind, const JsonObject& spec) {
  switch (kind) {
    case Kind::model:
      return decodeModel(spec);
    case Kind::modelVersion:
      return decodeWeights<resource::ModelVersionSpec>(spec);
    case Kind::adapter:
      return decodeWeights<resource::AdapterSpec>(spec);
    case Kind::capacityBudget:
      return decodeBudget(spec);
    case Kind::enginePool:
      return decodePool(spec);
    case Kind::drain:
      return decodeDrain(spec);
  }
  return Error{ErrorCode::outOfRange, "kind", "no such kind of resource"};
}

Object encodeResource(const resource::Resource& resource) {
  Object object(Poco::JSON_PRESERVE_KEY_ORDER);
  object.set("kind", resource::kindName(resource.key.kind));
  object.set("name", resource.key.name);
  object.set("version", resource.version);
  object.set("spec", encodeSpec(resource.spec));
  return object;
}

Result<resource::Resource> decodeResource(const JsonObject& object) {
  BOOST_OUTCOME_TRY(object.allowOnly({"kind", "name", "version", "spec"}));
  resource::Resource resource;
  BOOST_OUTCOME_TRY(key, decodeKey(object));
  BOOST_OUTCOME_TRY(version, object.requiredInteger("version"));
  BOOST_OUTCOME_TRY(specObject, object.requiredObject("spec"));
  BOOST_OUTCOME_TRY(spec, decodeSpec(key.kind, specObject));
  resource.key = std::move(key);
  resource.version = version;
  resource.spec = std::move(spec);
  return resource;
}

Object encodeResourceList(const ResourceList& list) {
  Array resources;
  for (const resource::Resource& resource : list.resources) {
    resources.add(encodeResource(resource));
  }
  Object object(Poco::JSON_PRESERVE_KEY_ORDER);
  object.set("version", list.version);
  object.set("resources", resources);
  return object;
}

Result<ResourceList> decodeResourceList(std::string_view body) {
  BOOST_OUTCOME_TRY(object, JsonObject::parse(body));
  ResourceList list;
  BOOST_OUTCOME_TRY(version, object.requiredInteger("version"));
  list.version = version;
  BOOST_OUTCOME_TRY(resources, object.requiredObjects("resources"));
  for (const JsonObject& element : resources) {
    BOOST_OUTCOME_TRY(resource, decodeResource(element));
    list.resources.push_back(std::move(resource));
  }
  return list;
}

Object encodePutBody(const PutBody& body) {
  Object object(Poco::JSON_PRESERVE_KEY_ORDER);
  if (body.expectedVersion) {
    object.set("expected_version", *body.expectedVersion);
  }
  object.set("spec", encodeSpec(body.spec));
  return object;
}

Result<PutBody> decodePutBody(const resource::Key& key, std::string_view body) {
  BOOST_OUTCOME_TRY(object, JsonObject::parse(body, kMaxResourceBodyBytes));
  BOOST_OUTCOME_TRY(object.allowOnly({"kind", "name", "expected_version", "spec"}));
  BOOST_OUTCOME_TRY(checkAgreement(key, object));
  PutBody put;
  BOOST_OUTCOME_TRY(expectedVersion, object.optionalInteger("expected_version"));
  put.expectedVersion = expectedVersion;
  BOOST_OUTCOME_TRY(specObject, object.requiredObject("spec"));
  BOOST_OUTCOME_TRY(spec, decodeSpec(key.kind, specObject));
  put.spec = std::move(spec);
  return put;
}

Result<std::optional<resource::Version>> decodeDeleteBody(std::string_view body) {
  if (body.empty()) {
    return std::optional<resource::Version>();
  }
  BOOST_OUTCOME_TRY(object, JsonObject::parse(body, kMaxResourceBodyBytes));
  BOOST_OUTCOME_TRY(object.allowOnly({"expected_version"}));
  return object.optionalInteger("expected_version");
}

Object encodeWriteAnswer(const WriteAnswer& answer) {
  Object object(Poco::JSON_PRESERVE_KEY_ORDER);
  object.set("kind", resource::kindName(answer.key.kind));
  object.set("name", answer.key.name);
  object.set("version", answer.version);
  return object;
}

Result<WriteAnswer> decodeWriteAnswer(std::string_view body) {
  BOOST_OUTCOME_TRY(object, JsonObject::parse(body));
  BOOST_OUTCOME_TRY(key, decodeKey(object));
  BOOST_OUTCOME_TRY(version, object.requiredInteger("version"));
  return WriteAnswer{std::move(key), version};
}

}  // namespace walnut::http
