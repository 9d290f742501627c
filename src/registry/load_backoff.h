#pragma once
/// @file
/// Spaces out loads of a model whose loads end their workers.

#include <map>
#include <set>
#include <string>

#include "walnut/base/time.h"

namespace walnut::registry {

/// Kept by the leader, for one service. A model that ends each worker that loads it would be
/// ordered at the next one as long as somebody asks for it. The first end costs nothing: workers
/// end for other reasons too, and many together. Each further one, of a load that was ordered after
/// the one before, doubles the pause; a load that ends well takes it away.
class LoadBackoff {
 public:
  /// @param orderedAt when the load was ordered that had not ended.
  /// @return the pause until the next load; zero: none.
  base::Duration workerEnded(const std::string& model, base::TimePoint orderedAt,
                             base::TimePoint now);
  void loaded(const std::string& model) { entries_.erase(model); }
  /// @return the models that are not to be loaded now.
  std::set<std::string> postponed(base::TimePoint now) const;

  static constexpr base::Duration kFirstPause = std::chrono::seconds(2);
  /// One worker of a service in so long, of some that are back within seconds.
  static constexpr base::Duration kLongestPause = std::chrono::seconds(32);

 private:
  struct Entry {
    std::uint32_t endsInRow = 0;
    base::TimePoint lastEndAt;
    base::TimePoint until;
  };

  std::map<std::string, Entry> entries_;
};

}  // namespace walnut::registry
