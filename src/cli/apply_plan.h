#pragma once
/// @file
/// Order in which declared resources are written, so that each refers to what is there. Free of
/// I/O.

#include <optional>
#include <vector>

#include "cli/manifest.h"
#include "walnut/resource/types.h"

namespace walnut::cli {

/// What is to be done about one declaration.
struct ApplyStep {
  enum class Action : std::uint8_t { create, replace, unchanged };
  Action action = Action::unchanged;
  std::size_t declaration = 0;  ///< Index among the declarations.
  resource::Spec spec;          ///< To write.
  /// The first of two writes of a new model: a model names its active version and the version names
  /// its model, so the model is created without one first.
  bool withoutActiveVersion = false;
};

/// @param existing the resources of the cell.
std::vector<ApplyStep> planApply(const std::vector<Declaration>& declarations,
                                 const std::vector<resource::Resource>& existing);

}  // namespace walnut::cli
