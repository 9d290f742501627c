#pragma once
/// @file
/// The benefit of loading a model that no worker serves, by which such models are ordered.

#include "registry/demand_book.h"

namespace walnut::registry {

/// @return the benefit of a load that starts now: the expected arrival rate, higher if requests
/// wait until its end, multiplied by the number of unserved requests, so that busier models can't
/// put it off again and again. Among similar models the one whose callers leave first has the
/// highest benefit.
/// @param loadTime duration of the load.
double coldLoadBenefit(const DemandFigures& figures, base::Duration loadTime, base::TimePoint now);

}  // namespace walnut::registry
