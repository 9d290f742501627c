#include "rehearsal/soak_account.h"

#include <algorithm>

namespace walnut::rehearsal {

namespace {

std::size_t countWithin(const std::vector<base::TimePoint>& times, base::TimePoint from,
                        base::TimePoint until) {
  return static_cast<std::size_t>(
      std::count_if(times.begin(), times.end(),
                    [from, until](base::TimePoint time) { return time >= from && time < until; }));
}

}  // namespace

std::string SoakAccount::timeOf(base::TimePoint at) const {
  const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(at - begin_);
  return std::to_string(millis.count()) + " ms: ";
}

void SoakAccount::violation(const std::string& rule, base::TimePoint at,
                            const std::string& detail) {
  violations_.push_back(rule + " " + timeOf(at) + detail);
  notes_.push_back(timeOf(at) + "broken: " + rule + " " + detail);
}

void SoakAccount::note(base::TimePoint at, const std::string& text) {
  notes_.push_back(timeOf(at) + text);
}

double SoakAccount::servedShare(base::TimePoint from, base::TimePoint until) const {
  const std::size_t served = countWithin(served_, from, until);
  const std::size_t all = served + countWithin(failed_, from, until);
  return all == 0 ? 1 : static_cast<double>(served) / static_cast<double>(all);
}

void SoakAccount::streamTried(bool takesUp, bool hasBegun) {
  StreamTries& tries = takesUp ? takeUps_ : newStreams_;
  ++tries.sent;
  tries.begun += hasBegun ? 1 : 0;
}

bool SoakAccount::takesUpTooFew() const {
  constexpr std::uint64_t kLeastTakeUps = 12;  // Of the rule LOST.
  return takeUps_.sent >= kLeastTakeUps &&
         2 * takeUps_.begun * newStreams_.sent < newStreams_.begun * takeUps_.sent;
}

std::string SoakAccount::describeTakeUps() const {
  return std::to_string(takeUps_.begun) + " of " + std::to_string(takeUps_.sent) +
         " streams that were taken up went on, " + std::to_string(newStreams_.begun) + " of " +
         std::to_string(newStreams_.sent) + " new ones began";
}

}  // namespace walnut::rehearsal
