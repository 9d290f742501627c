#pragma once
/// @file
/// Rules that a placement must satisfy.

#include <optional>

#include "control/cell_contents.h"
#include "control/cell_ledger.h"
#include "walnut/base/error.h"
#include "walnut/control/commands.h"

namespace walnut::control {

/// Checks a placement against the state, in this order:
/// - the servable is the model's active version, or an adapter of the model on it
///   (`referenceMissing`, `versionConflict`);
/// - the engine is known (`notFound`), live and not drained (`engineLeaving`), of the given
///   non-zero incarnation (`wrongIncarnation`) and of the model's pool (`outOfRange`);
/// - the accelerator exists and `bytes` is the value in the spec (`outOfRange`);
/// - the accelerator does not hold the servable, and no replica of it is being unloaded anywhere on
///   the engine (`alreadyExists`): a request names only the servable, so it could reach weights of
///   the same name that are about to be unloaded;
/// - the model of an adapter is ready on the same accelerator (`modelNotLoaded`), as engines
///   require;
/// - fewer than the model's maxReplicas exist in any state, counted separately for the model and
///   for each adapter, and the budget has enough left (`noCapacity`);
/// - the memory is free (`insufficientMemory`).
std::optional<base::Error> checkPlacement(const CellContents& contents, const CellLedger& ledger,
                                          const PlaceReplica& placement);

}  // namespace walnut::control
