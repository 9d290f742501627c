#pragma once
/// @file
/// JSON bodies of the resource API: resources, lists and writes. Used by the controller's edge and
/// by walnutctl. Fields have the snake_case names of resource::Spec; a field that is not known is
/// refused with its full path. Decoding never throws.

#include <Poco/JSON/Object.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "http/json_object.h"
#include "walnut/base/error.h"
#include "walnut/resource/types.h"

namespace walnut::http {

/// Largest body of an operator's request, in bytes: a resource is at most a few kilobytes.
inline constexpr std::size_t kMaxResourceBodyBytes = 64U << 10U;

Poco::JSON::Object encodeSpec(const resource::Spec& spec);
/// Absent fields get the defaults of the spec's type.
base::Result<resource::Spec> decodeSpec(resource::Kind kind, const JsonObject& spec);

/// Reads the fields `kind` and `name`.
base::Result<resource::Key> decodeKey(const JsonObject& object);

/// `{"kind","name","version","spec"}`.
Poco::JSON::Object encodeResource(const resource::Resource& resource);
base::Result<resource::Resource> decodeResource(const JsonObject& object);

/// Body of `GET /v1/resources`: `{"version","resources"}`.
struct ResourceList {
  resource::Version version = 0;  ///< Of the listed state: where a watch goes on from.
  std::vector<resource::Resource> resources;
};
Poco::JSON::Object encodeResourceList(const ResourceList& list);
base::Result<ResourceList> decodeResourceList(std::string_view body);

/// Body of a PUT: `{"spec"}`, and optionally `kind` and `name`, which must agree with the path, and
/// `expected_version`.
struct PutBody {
  std::optional<resource::Version> expectedVersion;
  resource::Spec spec;
};
Poco::JSON::Object encodePutBody(const PutBody& body);
/// @param key as named by the path.
base::Result<PutBody> decodePutBody(const resource::Key& key, std::string_view body);

/// Body of a DELETE, if it has one: `{"expected_version"}`.
base::Result<std::optional<resource::Version>> decodeDeleteBody(std::string_view body);

/// Answer to a write: `{"kind","name","version"}`.
struct WriteAnswer {
  resource::Key key;
  resource::Version version = 0;  ///< Of the change.
};
Poco::JSON::Object encodeWriteAnswer(const WriteAnswer& answer);
base::Result<WriteAnswer> decodeWriteAnswer(std::string_view body);

}  // namespace walnut::http
