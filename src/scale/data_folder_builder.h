#pragma once
/// @file
/// Puts a cell's state of any size into the data folder of a controller, before it starts.

#include <string>

#include "scale/cell_builder.h"

namespace walnut::scale {

/// The folder must hold an identity and nothing else (walnut-controller --init).
/// @param members as in the controllers' setting initial-members.
base::Result<void> fillDataFolder(const std::string& folder, const CellSize& size,
                                  const std::vector<std::string>& members);

}  // namespace walnut::scale
