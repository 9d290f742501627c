#pragma once
/// @file
/// Stand-in platform: the list of machines, which lags behind the changes.

#include <deque>
#include <map>
#include <string>

#include "walnut/base/error.h"
#include "walnut/base/time.h"
#include "walnut/engine/messages.h"

namespace walnut::standin {

/// Changes are in order of time; `list` shows the state as of `lag` ago.
class Platform {
 public:
  explicit Platform(base::Duration lag) : lag_(lag) {}

  /// Adds a machine or replaces it, e.g. when its engine listens on another port.
  void add(base::TimePoint now, const engine::PlatformMachine& machine);
  /// Marks a machine as leaving; it is gone at `reclaimAt`, if given.
  /// @return `notFound` for an unknown machine.
  base::Result<void> markLeaving(base::TimePoint now, const base::EngineId& id,
                                 std::optional<base::TimePoint> reclaimAt);
  base::Result<void> remove(base::TimePoint now, const base::EngineId& id);

  /// @return the list with `asOf` = `now` - lag.
  engine::PlatformList list(base::TimePoint now) const;
  /// @return the list without the lag.
  engine::PlatformList current(base::TimePoint now) const;

 private:
  using Machines = std::map<std::string, engine::PlatformMachine>;
  struct Snapshot {
    base::TimePoint since;
    Machines machines;
  };

  static engine::PlatformList toList(base::TimePoint asOf, const Machines& machines);
  void record(base::TimePoint now);

  base::Duration lag_;
  Machines machines_;
  std::deque<Snapshot> history_;  ///< Oldest first; only the first may be older than the lag.
};

}  // namespace walnut::standin
