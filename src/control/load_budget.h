#pragma once
/// @file
/// Rate limit of loads from the weight store, for each pool of engines.

#include <map>
#include <string>

#include "walnut/base/time.h"
#include "walnut/resource/types.h"

namespace walnut::control {

/// Spaces the loads of a pool evenly at its loadsPerSecond, without bursts. The leader owns it; a
/// new leader starts with no loads recorded.
class LoadRate {
 public:
  /// @return the time when the next load of the pool may begin; not later than `now` if it may
  /// begin immediately.
  base::TimePoint nextAt(const std::string& pool) const;
  void begin(base::TimePoint now, const std::string& pool, const resource::EnginePoolSpec& spec);

 private:
  std::map<std::string, base::TimePoint> nextAt_;
};

}  // namespace walnut::control
