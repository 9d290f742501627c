#include "simulator/retry_account.h"

#include <algorithm>

namespace walnut::simulator {

namespace {

/// @return how many of the sorted times lie in the window that begins then.
std::uint64_t countFrom(const std::vector<base::TimePoint>& times, base::TimePoint begin) {
  const auto first = std::lower_bound(times.begin(), times.end(), begin);
  const auto last = std::lower_bound(first, times.end(), begin + RetryAccount::kWindow);
  return static_cast<std::uint64_t>(last - first);
}

}  // namespace

void RetryAccount::arrived(const std::string& request, base::TimePoint now) {
  if (!seen_.insert(request).second) {
    retries_.push_back(now);
  }
}

RetryWindow RetryAccount::worst() const {
  RetryWindow worst{0, slack_, {}};
  for (const base::TimePoint begin : retries_) {
    const std::uint64_t requests =
        std::max({countFrom(requests_, begin), countFrom(requests_, begin - kWindow / 2),
                  countFrom(requests_, begin - kWindow)});
    const RetryWindow window{countFrom(retries_, begin),
                             ratio_ * static_cast<double>(requests) + slack_, begin};
    worst = window.share() > worst.share() ? window : worst;
  }
  return worst;
}

}  // namespace walnut::simulator
