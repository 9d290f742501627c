#include "registry/cold_load_benefit.h"

#include <algorithm>

#include "walnut/catalog/caller_timeout.h"

namespace walnut::registry {

namespace {

/// Time between the decision to load and the start of the load, and between its end and the first
/// answer.
constexpr base::Duration kOverhead = std::chrono::milliseconds(100);
/// Arrivals per second that waiting requests are worth, however many they are: they are among the
/// unserved ones, too.
constexpr double kWaitingRate = 1.0;
/// Benefit of the last load that still serves the callers that wait; a load that they could wait
/// for longer has less.
constexpr double kLastChanceBenefit = 0.6;
/// Time until the registry has heard that a caller has left.
constexpr base::Duration kReportDelay = std::chrono::milliseconds(600);

double seconds(base::Duration duration) { return std::chrono::duration<double>(duration).count(); }

}  // namespace

double coldLoadBenefit(const DemandFigures& figures, base::Duration loadTime, base::TimePoint now) {
  // A new leader has received no counts of the requests that were already waiting.
  const std::uint32_t unservedCount = std::max(figures.unservedRequests, figures.waiting);
  const base::Duration timeout =
      catalog::callerTimeout(figures.targetLatency, base::Duration::zero());
  const base::Duration needed = loadTime + kOverhead;
  const base::TimePoint leavesAt = figures.lastArrival + timeout;
  const bool isArrivalKnown = figures.lastArrival != base::TimePoint();
  const bool waitsLonger = now > leavesAt + kReportDelay;
  const double rateWithWaiting = figures.rate + (figures.waiting > 0 ? kWaitingRate : 0.0);
  if (needed > timeout || !isArrivalKnown || waitsLonger) {
    // No caller waits until the end, or it is unknown for how long; those that wait show the
    // demand.
    return unservedCount * rateWithWaiting;
  }
  const base::Duration spare = leavesAt - (now + needed);
  if (figures.waiting == 0 || spare < base::Duration::zero()) {
    return unservedCount * figures.rate;
  }
  const double lastChance = 1.0 - seconds(spare) / seconds(timeout);
  return unservedCount * rateWithWaiting + kLastChanceBenefit * lastChance;
}

}  // namespace walnut::registry
