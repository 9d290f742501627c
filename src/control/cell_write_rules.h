#pragma once
/// @file
/// Rules of operators' writes that depend on the cell's state.

#include <cstdint>
#include <optional>
#include <string>

#include "control/cell_contents.h"
#include "walnut/base/error.h"
#include "walnut/control/commands.h"

namespace walnut::control {

/// Longest request id, in bytes: enough for a name, a host and a random number.
inline constexpr std::size_t kMaxRequestIdBytes = 256;

/// Checks the parts of a write that do not depend on the state: the request id and the resource
/// itself. A resend gets the same result, so it need not be stored.
base::Result<void> checkForm(const PutResource& put);
base::Result<void> checkForm(const DeleteResource& remove);

/// Checks a put against the state:
/// - `alreadyExists` if expectedVersion is 0 and the resource exists; `versionConflict` if the
///   current version differs (a missing resource has version 0);
/// - `outOfRange` for `spec` if a model version exists with another spec, because weights are
///   immutable;
/// - `alreadyExists` for `name` if a model and an adapter would share a name, because callers give
///   either in the same field;
/// - `referenceMissing`, and `outOfRange` for `spec.active_version` if the version belongs to
///   another model.
///
/// A put of an equal spec is a change too and gets its own version: each acknowledged write then
/// has a version of its own, and of racing writes with the same expected version only one succeeds.
std::optional<base::Error> checkPut(const CellContents& contents, const PutResource& put);

/// Checks a deletion against the state: `notFound`, `versionConflict`, `referenceInUse`.
std::optional<base::Error> checkDelete(const CellContents& contents, const DeleteResource& remove);

/// @return a hash of the request that is equal for a resend. The version in the resource is not
/// included, because the cell sets it.
std::uint64_t fingerprintOf(PutResource put);
std::uint64_t fingerprintOf(const DeleteResource& remove);

/// @return the model whose weights the resource describes; empty if it describes none.
std::string modelOfWeights(const resource::Resource& declared);

/// @return true if the change makes the replica's weights differ from those that its names refer
/// to. Such a replica begins to unload with the change.
bool outdates(const resource::Resource& previous, const resource::Resource* replacement,
              const resource::Replica& replica);

}  // namespace walnut::control
