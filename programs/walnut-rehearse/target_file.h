#pragma once
/// @file
/// The file of targets (rehearsal/target_list.h) as a flag names it.

#include <string>
#include <vector>

#include "rehearsal/target_list.h"
#include "walnut/base/error.h"

namespace walnut::rehearsal {

/// @return the targets; `fileError` if the file can't be read.
base::Result<std::vector<Target>> readTargets(const std::string& path);

/// @return the target of that name; without servables if it is not in the list.
Target findTarget(const std::vector<Target>& targets, const std::string& name);

}  // namespace walnut::rehearsal
