#include "control/cell_write_rules.h"

#include <algorithm>
#include <utility>

#include "base/archive.h"
#include "resource/validation.h"

// xxHash is used header-only, since the control library has no other use of it.
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace walnut::control {

namespace {

using base::Error;
using base::ErrorCode;
using resource::Key;
using resource::Kind;
using resource::Resource;

base::Result<void> checkRequestId(const std::string& requestId) {
  if (requestId.empty()) {
    return Error{ErrorCode::missingField, "request_id", "a request id is required"};
  }
  if (requestId.size() > kMaxRequestIdBytes) {
    return Error{ErrorCode::outOfRange, "request_id",
                 "at most " + std::to_string(kMaxRequestIdBytes) + " bytes"};
  }
  return base::success();
}

const Resource* find(const CellContents& contents, const Key& key) {
  const auto found = contents.resources.find(key);
  return found == contents.resources.end() ? nullptr : &found->second;
}

Error conflict(resource::Version current) {
  return {ErrorCode::versionConflict, "expected_version",
          "the current version is " + std::to_string(current)};
}

std::optional<Error> checkExpected(const PutResource& put, const Resource* current) {
  if (!put.expectedVersion) {
    return std::nullopt;
  }
  const resource::Version version = current == nullptr ? 0 : current->version;
  if (*put.expectedVersion == version) {
    return std::nullopt;
  }
  if (*put.expectedVersion == 0) {
    return Error{ErrorCode::alreadyExists, "name",
                 "the current version is " + std::to_string(version)};
  }
  return conflict(version);
}

/// A model and an adapter may not have the same name.
std::optional<Error> checkTargetName(const CellContents& contents, const Key& key) {
  if (key.kind != Kind::model && key.kind != Kind::adapter) {
    return std::nullopt;
  }
  const Kind other = key.kind == Kind::model ? Kind::adapter : Kind::model;
  if (find(contents, Key{other, key.name}) == nullptr) {
    return std::nullopt;
  }
  return Error{ErrorCode::alreadyExists, "name",
               std::string("of the ") + resource::kindName(other) + " " + key.name};
}

std::optional<Error> checkActiveVersion(const CellContents& contents, const Resource& declared) {
  const auto* model = std::get_if<resource::ModelSpec>(&declared.spec);
  if (model == nullptr || model->activeVersion.empty()) {
    return std::nullopt;
  }
  const auto* version =
      contents.findSpec<resource::ModelVersionSpec>(Kind::modelVersion, model->activeVersion);
  if (version != nullptr && version->model != declared.key.name) {
    return Error{ErrorCode::outOfRange, "spec.active_version",
                 "a version of the model " + version->model};
  }
  return std::nullopt;
}

std::uint64_t hashOf(const CommandBody& body) {
  const std::string bytes = base::encode(body);
  return XXH3_64bits(bytes.data(), bytes.size());
}

}  // namespace

base::Result<void> checkForm(const PutResource& put) {
  BOOST_OUTCOME_TRYV(checkRequestId(put.requestId));
  return resource::validate(put.resource);
}

base::Result<void> checkForm(const DeleteResource& remove) {
  return checkRequestId(remove.requestId);
}

std::optional<Error> checkPut(const CellContents& contents, const PutResource& put) {
  const Key& key = put.resource.key;
  const Resource* current = find(contents, key);
  if (auto error = checkExpected(put, current)) {
    return error;
  }
  if (current != nullptr && key.kind == Kind::modelVersion && current->spec != put.resource.spec) {
    return Error{ErrorCode::outOfRange, "spec", "a model version is immutable; use another name"};
  }
  if (auto error = checkTargetName(contents, key)) {
    return error;
  }
  const auto references = resource::checkReferences(
      put.resource, [&](const Key& named) { return find(contents, named) != nullptr; });
  if (references.has_error()) {
    return references.error();
  }
  return checkActiveVersion(contents, put.resource);
}

std::optional<Error> checkDelete(const CellContents& contents, const DeleteResource& remove) {
  const Resource* current = find(contents, remove.key);
  if (current == nullptr) {
    return Error{ErrorCode::notFound, "name", "no such resource"};
  }
  if (remove.expectedVersion && *remove.expectedVersion != current->version) {
    return conflict(current->version);
  }
  if (remove.key.kind == Kind::adapter || remove.key.kind == Kind::drain) {
    return std::nullopt;  // No resource can refer to these kinds.
  }
  const auto user =
      std::find_if(contents.resources.begin(), contents.resources.end(),
                   [&](const auto& entry) { return resource::refersTo(entry.second, remove.key); });
  if (user != contents.resources.end()) {
    return Error{ErrorCode::referenceInUse, "name",
                 std::string("named by the ") + resource::kindName(user->first.kind) + " " +
                     user->first.name};
  }
  return std::nullopt;
}

std::uint64_t fingerprintOf(PutResource put) {
  put.resource.version = 0;
  return hashOf(std::move(put));
}

std::uint64_t fingerprintOf(const DeleteResource& remove) { return hashOf(remove); }

std::string modelOfWeights(const Resource& declared) {
  if (const auto* version = std::get_if<resource::ModelVersionSpec>(&declared.spec)) {
    return version->model;
  }
  const auto* adapter = std::get_if<resource::AdapterSpec>(&declared.spec);
  return adapter == nullptr ? std::string() : adapter->model;
}

bool outdates(const Resource& previous, const Resource* replacement,
              const resource::Replica& replica) {
  if (replacement != nullptr && replacement->spec == previous.spec) {
    return false;
  }
  switch (previous.key.kind) {
    case Kind::modelVersion:
      return replica.servable.version == previous.key.name;
    case Kind::adapter:
      return replica.servable.adapter == previous.key.name;
    case Kind::model:
    case Kind::capacityBudget:
    case Kind::enginePool:
    case Kind::drain:
      break;  // These kinds limit replicas but do not define their weights.
  }
  return false;
}

}  // namespace walnut::control
