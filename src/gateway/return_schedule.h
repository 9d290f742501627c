#pragma once
/// @file
/// Gives each refused caller of a model a time of its own at which to return. Pure.

#include <map>
#include <string>
#include <utility>

#include "walnut/base/time.h"

namespace walnut::gateway {

/// Callers that are given the same time return together and are refused again. Each next caller is
/// therefore given a time at least one slot interval after that of the caller before it.
class ReturnSchedule {
 public:
  /// @param expectedWait time until a slot is expected to be free for the caller.
  /// @param interval time between two slots of the model that become free for this gateway.
  /// @return the time until which the caller should wait.
  base::Duration add(const std::string& service, const std::string& model, base::TimePoint now,
                     base::Duration expectedWait, base::Duration interval);

 private:
  void removeExpired(base::TimePoint now);

  /// The time last given, by service and model.
  std::map<std::pair<std::string, std::string>, base::TimePoint> lastGiven_;
};

}  // namespace walnut::gateway
