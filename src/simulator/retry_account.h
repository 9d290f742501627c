#pragma once
/// @file
/// Judges whether all gateways together keep the retry budget of a service, from what its workers
/// and callers saw.

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "walnut/base/time.h"

namespace walnut::simulator {

/// The window that has the most retries as a share of what is allowed.
struct RetryWindow {
  std::uint64_t retries = 0;
  double allowed = 0;
  base::TimePoint begin;

  double share() const { return static_cast<double>(retries) / allowed; }
  bool broken() const { return static_cast<double>(retries) > allowed; }
};

/// Counts arrivals at workers beyond the first of each request. No window may hold more than
/// `ratio` times the requests plus `slack`, where the requests are the most of the window itself,
/// the window before it and the one that begins half a window earlier.
class RetryAccount {
 public:
  static constexpr base::Duration kWindow = std::chrono::seconds(10);

  RetryAccount(double ratio, double slack) : ratio_(ratio), slack_(slack) {}

  /// A caller sent a request; each of its tries is one.
  void requested(base::TimePoint now) { requests_.push_back(now); }
  /// A worker received it.
  void arrived(const std::string& request, base::TimePoint now);

  RetryWindow worst() const;
  std::uint64_t retries() const { return retries_.size(); }

 private:
  const double ratio_;
  const double slack_;
  std::set<std::string> seen_;
  std::vector<base::TimePoint> requests_;
  std::vector<base::TimePoint> retries_;
};

}  // namespace walnut::simulator
