#pragma once
/// @file
/// Which engines to ask for prefix cache events, and when.

#include <map>
#include <vector>

#include "walnut/base/ids.h"
#include "walnut/base/random.h"
#include "walnut/base/time.h"

namespace walnut::daemon {

/// One poll that is due.
struct CachePoll {
  base::EngineId engine;
  base::Endpoint endpoint;
  std::uint64_t after = 0;  ///< Last sequence that was read.
};

/// Follows only engines that this router hands attempts to. Owned by the decision loop.
class CacheEventPoller {
 public:
  /// @param interval between polls of an engine; jittered, so that routers don't poll in step.
  CacheEventPoller(base::Duration interval, std::uint64_t seed);

  /// An attempt is handed to the engine.
  void used(base::TimePoint now, const base::EngineId& engine, const base::Endpoint& endpoint);
  /// The engine's incarnation as it told with a start: another one counts from the beginning.
  void incarnationSeen(const base::EngineId& engine, base::Incarnation incarnation);
  /// A poll came back. @param last sequence of its last event; 0: none, or it failed.
  void answered(const base::EngineId& engine, std::uint64_t last);

  /// @return the polls that are due; each engine's next one comes after an interval.
  std::vector<CachePoll> takeDue(base::TimePoint now);
  base::TimePoint nextWakeup() const;

 private:
  struct Followed {
    base::Endpoint endpoint;
    base::Incarnation incarnation;
    std::uint64_t after = 0;
    base::TimePoint lastUsed;
    base::TimePoint pollAt;
    bool asked = false;  ///< A poll is under way.
  };

  base::TimePoint drawNext(base::TimePoint now);

  const base::Duration interval_;
  base::Random random_;
  std::map<base::EngineId, Followed> engines_;
};

}  // namespace walnut::daemon
