#pragma once
/// @file
/// Load of a stand-in engine as it reports it: with a lag.

#include <deque>

#include "walnut/base/time.h"
#include "walnut/engine/messages.h"

namespace walnut::standin {

class LoadHistory {
 public:
  explicit LoadHistory(base::Duration lag) : lag_(lag) {}

  /// Notes the load from `now` on. Times never go backwards.
  void record(base::TimePoint now, const engine::Load& load) {
    changes_.push_back({now, load});
    while (changes_.size() > 1 && changes_[1].since <= now - lag_) {
      changes_.pop_front();
    }
  }

  /// @return the load as of the lag before `now`.
  engine::Load reported(base::TimePoint now) const {
    engine::Load load;
    for (const Change& change : changes_) {
      if (change.since <= now - lag_) {
        load = change.load;
      }
    }
    return load;
  }

 private:
  struct Change {
    base::TimePoint since;
    engine::Load load;
  };

  base::Duration lag_;
  std::deque<Change> changes_;  ///< Oldest first; only the first may be older than the lag.
};

}  // namespace walnut::standin
