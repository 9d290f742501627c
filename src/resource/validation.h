#pragma once
/// @file
/// Validation of resources: rules for a resource by itself and for its references to others.

#include <functional>
#include <string>

#include "walnut/base/error.h"
#include "walnut/resource/types.h"

namespace walnut::resource {

/// Maximum length of a resource name, in bytes.
inline constexpr std::size_t kMaxNameBytes = 128;

/// @return the kind's stable name: "model", "modelversion", "adapter", "budget", "pool", "drain".
const char* kindName(Kind kind);
base::Result<Kind> kindFromName(const std::string& name);

/// Checks names, ranges and that the spec matches the kind, without looking at other resources.
/// @return `outOfRange`, `missingField` or `wrongType`; the error names the field, as in
/// `spec.max_replicas`.
base::Result<void> validate(const Resource& resource);

/// @return true if a resource with the key exists.
using Exists = std::function<bool(const Key&)>;

/// Checks that all resources named by this one exist.
/// @return `referenceMissing`, naming the field.
base::Result<void> checkReferences(const Resource& resource, const Exists& exists);

/// @return true if `resource` names the resource with `key`.
bool refersTo(const Resource& resource, const Key& key);

}  // namespace walnut::resource
