#pragma once
/// @file
/// Operators' watches of resources on this server.

#include <map>
#include <optional>
#include <vector>

#include "control/cell_state.h"
#include "walnut/control/controller.h"

namespace walnut::control {

/// Pushes changes of resources to operators. A watch ends with `watchTooOld` when the history no
/// longer reaches back to its version; the operator must then list again.
class OperatorWatches {
 public:
  /// All references outlive this object.
  OperatorWatches(const ControllerOptions& options, const CellState& state,
                  std::vector<ControllerAction>& actions)
      : options_(options), state_(state), actions_(actions) {}

  void open(base::TimePoint now, const ApiWatchOpened& watch);
  void close(std::uint64_t call) { watches_.erase(call); }
  /// Schedules a push after applied entries.
  void stateChanged(base::TimePoint now);
  void tick(base::TimePoint now);
  base::TimePoint nextWakeup() const { return nextPushAt_; }

 private:
  struct Watch {
    std::optional<resource::Kind> kind;
    resource::Version sentVersion = 0;
  };

  /// @return false if the watch has ended.
  bool push(std::uint64_t call, Watch& watch);

  const ControllerOptions& options_;
  const CellState& state_;
  std::vector<ControllerAction>& actions_;
  std::map<std::uint64_t, Watch> watches_;
  base::TimePoint nextPushAt_ = base::kNever;
};

}  // namespace walnut::control
