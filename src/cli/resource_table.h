#pragma once
/// @file
/// Resources and the status of a cell as tables.

#include <ostream>
#include <vector>

#include "walnut/protocol/messages.h"
#include "walnut/resource/types.h"

namespace walnut::cli {

/// @param resources all of this kind.
void writeResources(std::ostream& out, resource::Kind kind,
                    const std::vector<resource::Resource>& resources);

/// A table for each kind that there is, under the kind's name.
void writeAllResources(std::ostream& out, const std::vector<resource::Resource>& resources);

/// @param drains the drain resources: an engine that one names is shown as draining.
void writeStatus(std::ostream& out, const protocol::CellStatus& status,
                 const std::vector<resource::Resource>& drains);

}  // namespace walnut::cli
