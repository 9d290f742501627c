#pragma once
/// @file
/// Key-value caches that a stand-in engine holds for other engines, in host memory.

#include <string>
#include <vector>

#include "walnut/standin/engine.h"

namespace walnut::standin {

/// Invariant: at most `maxHeldStates` places, none older than `heldStateLifetime`. A state is given
/// out once.
class HeldStates {
 public:
  explicit HeldStates(const EngineModelOptions& options);

  /// @return the place; `engineOverloaded` if all are taken.
  base::Result<HoldPlace> begin(base::TimePoint now, const engine::HoldRequest& request);
  /// @return whether the state is held now.
  bool end(const std::string& handle, bool fetched);
  /// Gives the state out. @return false if it is not there.
  bool take(const std::string& handle);
  /// The attempt is over: nobody will fetch its state.
  void cancel(const engine::CancelRequest& request);
  /// Drops what has been held for too long.
  void advance(base::TimePoint now);
  base::TimePoint nextWakeup() const;
  std::size_t size() const { return states_.size(); }

 private:
  struct State {
    std::string handle;
    base::RequestId request;
    base::AttemptId attempt;
    base::TimePoint dropAt;
    bool fetched = false;
  };
  using States = std::vector<State>;

  States::iterator find(const std::string& handle);

  std::uint32_t maxStates_;
  base::Duration lifetime_;
  std::string handlePrefix_;
  std::uint64_t lastHandle_ = 0;
  States states_;  ///< In the order of dropAt.
};

}  // namespace walnut::standin
