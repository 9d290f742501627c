#pragma once
/// @file
/// Exponential backoff for loads of a model whose loads crash their workers.

#include <map>
#include <set>
#include <string>

#include "walnut/base/time.h"

namespace walnut::registry {

/// Postpones loads of a model after workers ended while loading it. The leader has one for each
/// service. Without it a model that crashes each worker that loads it would be ordered on the next
/// worker as long as it is requested. The first end of a worker causes no pause, since workers end
/// for other reasons too, and many at once. Each further one, of a load that was ordered after the
/// previous end, doubles the pause. A successful load resets it.
class LoadBackoff {
 public:
  /// Records that a worker ended while it was loading the model.
  /// @param orderedAt when that load was ordered.
  /// @return the pause until the next load; zero if there is none.
  base::Duration recordWorkerEnd(const std::string& model, base::TimePoint orderedAt,
                                 base::TimePoint now);
  void recordSuccess(const std::string& model) { entries_.erase(model); }
  /// @return the models that must not be loaded now.
  std::set<std::string> postponed(base::TimePoint now) const;

  static constexpr base::Duration kFirstPause = std::chrono::seconds(2);
  /// At this pause a service loses one worker every 32 s; workers restart within seconds.
  static constexpr base::Duration kMaxPause = std::chrono::seconds(32);

 private:
  struct Entry {
    std::uint32_t consecutiveEnds = 0;
    base::TimePoint lastEndAt;
    base::TimePoint until;
  };

  std::map<std::string, Entry> entries_;
};

}  // namespace walnut::registry
