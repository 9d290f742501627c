#pragma once
/// @file
/// Steps from the start of a server to its vote in the cell, for logs and metrics.

#include <optional>
#include <string_view>
#include <vector>

#include "walnut/registry/registry.h"

namespace walnut::registry {

/// Records each step once, in the order in which they are reached. A server that is a member when
/// it starts takes no steps.
class JoinProgress {
 public:
  /// Records a step, unless it or a later one was reached before. Steps before the first request
  /// for admission don't count.
  void reached(JoinStep step);
  std::vector<JoinStep> takeSteps();

 private:
  std::optional<JoinStep> latest_;
  std::vector<JoinStep> steps_;
};

}  // namespace walnut::registry
