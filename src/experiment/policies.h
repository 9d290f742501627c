#pragma once
/// @file
/// Policies that are compared, as the capacity budgets that an operator would declare for them.

#include <string>
#include <vector>

#include "walnut/resource/types.h"

namespace walnut::experiment {

struct NamedPolicy {
  std::string name;
  std::string family;  ///< Policies of one family differ in the trade alone, and make a curve.
  resource::CapacityBudgetSpec budget;
};

/// The family of the product's learned policy.
inline constexpr const char* kLearned = "learned";

/// @param coldStartTargetSeconds of the learned ones.
std::vector<NamedPolicy> allPolicies(std::uint32_t coldStartTargetSeconds);

/// @return the policies of that name or family; all for "all"; none if it is unknown.
std::vector<NamedPolicy> policiesNamed(const std::string& name,
                                       std::uint32_t coldStartTargetSeconds);

}  // namespace walnut::experiment
