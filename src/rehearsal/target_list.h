#pragma once
/// @file
/// Names that callers may ask for, and what answers them: the checker's own knowledge, written by
/// the script that declared the models.

#include <string>
#include <vector>

#include "walnut/base/error.h"
#include "walnut/resource/types.h"

namespace walnut::rehearsal {

/// A name and the servables that may answer it; more than one while versions change.
struct Target {
  std::string name;
  std::vector<resource::Servable> servables;
};

/// Parses lines `name TAB model TAB version TAB adapter` (adapter may be empty). Lines of one name
/// are its alternatives. Empty lines are skipped.
/// @return `malformedInput` with the number of the line, or `missingField` if there is no target.
base::Result<std::vector<Target>> parseTargets(const std::string& text);

std::string formatTargets(const std::vector<Target>& targets);

}  // namespace walnut::rehearsal
