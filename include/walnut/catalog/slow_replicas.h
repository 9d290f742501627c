#pragma once
/// @file
/// Tells services in which another replica of a model can't be added while its callers wait.

#include <string_view>

#include "walnut/catalog/document.h"

namespace walnut::catalog {

/// @return true if the longest load from the weight store of a model of the service takes more than
/// `kSlowLoadFactor` times the shortest caller timeout of its streaming routes. False for a service
/// without models or without streaming routes.
bool replicasAreSlowToAdd(const Document& document, std::string_view service);

/// Caller timeouts that a load has to last to count as slow. A refused caller returns once, after
/// at most a third of its time: after this many timeouts it has been refused twice and has left.
inline constexpr int kSlowLoadFactor = 4;

}  // namespace walnut::catalog
