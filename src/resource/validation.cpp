#include "resource/validation.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <string_view>
#include <utility>

namespace walnut::resource {

namespace {

using base::Error;
using base::ErrorCode;

/// Largest accepted size of weights or of an accelerator's memory: 16 TiB. Small enough that the
/// sum over every accelerator of a region fits in 64 bits.
constexpr std::uint64_t kMaxBytes = std::uint64_t{1} << 44;
/// Largest accepted budget: 256 PiB, above all the accelerators of a region together.
constexpr std::uint64_t kMaxBudgetBytes = std::uint64_t{1} << 58;
/// Far above the number of engines in a region; guards against typing errors.
constexpr std::uint32_t kMaxReplicas = 10000;
constexpr std::uint32_t kMaxIdleUnloadSeconds = 30 * 24 * 3600;
constexpr std::uint32_t kMaxColdStartWeight = 100;
/// Allows an accelerator to be held for up to a day to save one second of cold start.
constexpr std::uint32_t kMaxIdleSecondsPerColdSecond = 24 * 3600;
constexpr std::uint32_t kMaxColdStartTargetSeconds = 3600;
constexpr std::uint32_t kMaxConcurrentLoads = 10000;
constexpr double kMaxLoadsPerSecond = 10000.0;
/// Maximum length of a checkpoint's key in the weight store; generous, as a key may be a long path.
constexpr std::size_t kMaxCheckpointBytes = 512;
constexpr std::size_t kMaxReasonBytes = 512;
/// Far above the number of zones in a region.
constexpr std::size_t kMaxZones = 64;

constexpr std::array<const char*, std::variant_size_v<Spec>> kKindNames = {
    "model", "modelversion", "adapter", "budget", "pool", "drain"};

Error outOfRange(std::string field, std::string detail) {
  return {ErrorCode::outOfRange, std::move(field), std::move(detail)};
}

bool isNameCharacter(char character) {
  const bool letter =
      (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
  const bool digit = character >= '0' && character <= '9';
  return letter || digit || std::string_view("-_.:/@+").find(character) != std::string_view::npos;
}

bool isControlCharacter(char character) {
  return static_cast<unsigned char>(character) < 0x20 || character == 0x7f;
}

base::Result<void> checkName(const std::string& name, const std::string& field) {
  if (name.empty()) {
    return Error{ErrorCode::missingField, field, "a name is required"};
  }
  if (name.size() > kMaxNameBytes) {
    return outOfRange(field, "at most " + std::to_string(kMaxNameBytes) + " bytes");
  }
  if (!std::all_of(name.begin(), name.end(), isNameCharacter)) {
    return outOfRange(field, "only letters, digits and -_.:/@+");
  }
  return base::success();
}

base::Result<void> checkOptionalName(const std::string& name, const std::string& field) {
  return name.empty() ? base::Result<void>(base::success()) : checkName(name, field);
}

base::Result<void> checkText(const std::string& text, std::size_t most, const std::string& field) {
  if (text.size() > most) {
    return outOfRange(field, "at most " + std::to_string(most) + " bytes");
  }
  if (std::any_of(text.begin(), text.end(), isControlCharacter)) {
    return outOfRange(field, "no control characters");
  }
  return base::success();
}

template <class Number>
base::Result<void> checkNumber(Number value, Number least, Number most, const std::string& field) {
  // The condition is negated so that NaN is refused as well.
  if (!(value >= least && value <= most)) {
    return outOfRange(field, std::to_string(least) + " .. " + std::to_string(most));
  }
  return base::success();
}

/// Checks the fields that a model version and an adapter share.
template <class WeightsSpec>
base::Result<void> checkWeights(const WeightsSpec& spec) {
  BOOST_OUTCOME_TRYV(checkName(spec.model, "spec.model"));
  if (spec.checkpoint.empty()) {
    return Error{ErrorCode::missingField, "spec.checkpoint", "a key of the store is required"};
  }
  BOOST_OUTCOME_TRYV(checkText(spec.checkpoint, kMaxCheckpointBytes, "spec.checkpoint"));
  BOOST_OUTCOME_TRYV(
      checkNumber<std::uint64_t>(spec.checkpointBytes, 1, kMaxBytes, "spec.checkpoint_bytes"));
  return checkNumber<std::uint64_t>(spec.acceleratorBytes, 1, kMaxBytes, "spec.accelerator_bytes");
}

base::Result<void> checkSpec(const ModelSpec& spec) {
  BOOST_OUTCOME_TRYV(checkOptionalName(spec.activeVersion, "spec.active_version"));
  BOOST_OUTCOME_TRYV(checkOptionalName(spec.pool, "spec.pool"));
  BOOST_OUTCOME_TRYV(checkOptionalName(spec.budget, "spec.budget"));
  BOOST_OUTCOME_TRYV(
      checkNumber<std::uint32_t>(spec.maxReplicas, 0, kMaxReplicas, "spec.max_replicas"));
  return checkNumber<std::uint32_t>(spec.minReplicas, 0, spec.maxReplicas, "spec.min_replicas");
}

base::Result<void> checkSpec(const ModelVersionSpec& spec) { return checkWeights(spec); }

base::Result<void> checkSpec(const AdapterSpec& spec) { return checkWeights(spec); }

base::Result<void> checkSpec(const CapacityBudgetSpec& spec) {
  BOOST_OUTCOME_TRYV(checkNumber<std::uint64_t>(spec.acceleratorBytes, 0, kMaxBudgetBytes,
                                                "spec.accelerator_bytes"));
  BOOST_OUTCOME_TRYV(checkNumber<std::uint32_t>(spec.idleUnloadSeconds, 0, kMaxIdleUnloadSeconds,
                                                "spec.idle_unload_seconds"));
  BOOST_OUTCOME_TRYV(checkNumber<std::uint32_t>(spec.coldStartWeight, 0, kMaxColdStartWeight,
                                                "spec.cold_start_weight"));
  if (spec.keepAlive > KeepAlive::resident) {
    return outOfRange("spec.keep_alive", "idle-timeout, learned or resident");
  }
  BOOST_OUTCOME_TRYV(checkNumber<std::uint32_t>(spec.idleSecondsPerColdSecond, 0,
                                                kMaxIdleSecondsPerColdSecond,
                                                "spec.idle_seconds_per_cold_second"));
  return checkNumber<std::uint32_t>(spec.coldStartTargetSeconds, 0, kMaxColdStartTargetSeconds,
                                    "spec.cold_start_target_seconds");
}

base::Result<void> checkSpec(const EnginePoolSpec& spec) {
  if (spec.zones.size() > kMaxZones) {
    return outOfRange("spec.zones", "at most " + std::to_string(kMaxZones) + " zones");
  }
  for (std::size_t index = 0; index < spec.zones.size(); ++index) {
    BOOST_OUTCOME_TRYV(checkName(spec.zones[index], "spec.zones[" + std::to_string(index) + "]"));
  }
  BOOST_OUTCOME_TRYV(checkOptionalName(spec.machineClass, "spec.machine_class"));
  BOOST_OUTCOME_TRYV(checkNumber<std::uint32_t>(spec.maxConcurrentLoads, 1, kMaxConcurrentLoads,
                                                "spec.max_concurrent_loads"));
  if (!(spec.loadsPerSecond > 0.0) || spec.loadsPerSecond > kMaxLoadsPerSecond) {
    return outOfRange("spec.loads_per_second",
                      "above 0, at most " + std::to_string(kMaxLoadsPerSecond));
  }
  return base::success();
}

base::Result<void> checkSpec(const DrainSpec& spec) {
  return checkText(spec.reason, kMaxReasonBytes, "spec.reason");
}

/// A reference to another resource, as a field of a spec; the spec owns the name.
struct Reference {
  Kind kind;
  const std::string& name;  ///< Empty: refers to nothing.
  const char* field;
};

/// Calls `visitor` with each reference until one call returns true.
/// @return true if a call returned true.
template <class Visitor>
bool anyReference(const Spec& spec, const Visitor& visitor) {
  if (const auto* model = std::get_if<ModelSpec>(&spec)) {
    return visitor(Reference{Kind::modelVersion, model->activeVersion, "spec.active_version"}) ||
           visitor(Reference{Kind::enginePool, model->pool, "spec.pool"}) ||
           visitor(Reference{Kind::capacityBudget, model->budget, "spec.budget"});
  }
  if (const auto* version = std::get_if<ModelVersionSpec>(&spec)) {
    return visitor(Reference{Kind::model, version->model, "spec.model"});
  }
  if (const auto* adapter = std::get_if<AdapterSpec>(&spec)) {
    return visitor(Reference{Kind::model, adapter->model, "spec.model"});
  }
  return false;
}

}  // namespace

const char* kindName(Kind kind) {
  const auto index = static_cast<std::size_t>(kind);
  return index < kKindNames.size() ? kKindNames[index] : "unknown";
}

base::Result<Kind> kindFromName(const std::string& name) {
  const auto* const found = std::find(kKindNames.begin(), kKindNames.end(), name);
  if (found == kKindNames.end()) {
    return outOfRange("kind", "model, modelversion, adapter, budget, pool or drain");
  }
  return static_cast<Kind>(found - kKindNames.begin());
}

base::Result<void> validate(const Resource& resource) {
  if (resource.spec.index() != static_cast<std::size_t>(resource.key.kind)) {
    return Error{ErrorCode::wrongType, "spec", "not a spec of the kind"};
  }
  BOOST_OUTCOME_TRYV(checkName(resource.key.name, "name"));
  return std::visit([](const auto& spec) { return checkSpec(spec); }, resource.spec);
}

base::Result<void> checkReferences(const Resource& resource, const Exists& exists) {
  Error missing;
  const bool found = anyReference(resource.spec, [&](const Reference& reference) {
    if (reference.name.empty() || exists(Key{reference.kind, reference.name})) {
      return false;
    }
    missing = Error{ErrorCode::referenceMissing, reference.field,
                    std::string("no ") + kindName(reference.kind) + " " + reference.name};
    return true;
  });
  return found ? base::Result<void>(missing) : base::success();
}

bool refersTo(const Resource& resource, const Key& key) {
  return !key.name.empty() && anyReference(resource.spec, [&](const Reference& reference) {
    return reference.kind == key.kind && reference.name == key.name;
  });
}

}  // namespace walnut::resource
