#pragma once
/// @file
/// How long the requests of each route have run of late.

#include <map>
#include <optional>
#include <string>

#include "walnut/base/time.h"

namespace walnut::gateway {

/// Longest run time by route over the last one to two periods. Pure: time is an input.
class RunTimes {
 public:
  static constexpr base::Duration kPeriod = std::chrono::seconds(30);

  void record(const std::string& route, base::Duration time, base::TimePoint now);
  /// @return nothing if no request of the route has run of late.
  std::optional<base::Duration> longest(const std::string& route, base::TimePoint now) const;

 private:
  struct Longest {
    base::TimePoint periodBegan;
    base::Duration present{0};
    std::optional<base::Duration> previous;
  };

  std::map<std::string, Longest> routes_;
};

}  // namespace walnut::gateway
