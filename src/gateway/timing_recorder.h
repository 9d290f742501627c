#pragma once
/// @file
/// Records how fast workers begin streams, for the leader, which pools the measurements of all
/// gateways.

#include <map>
#include <optional>

#include "walnut/registry/timing_messages.h"

namespace walnut::gateway {

/// Sums of what this gateway measured since the previous report.
class TimingRecorder {
 public:
  /// Longest span of time of a report that the leader accepts (WorkerTimingBook::kMaxSpan).
  static constexpr base::Duration kMaxSpan = std::chrono::seconds(2);

  explicit TimingRecorder(base::TimePoint now) : since_(now), validFrom_(now) {}

  /// Records the first event of a stream. Ignored if its prompt tokens aren't known.
  /// @param timed false if all slots of the worker were taken when the stream was sent.
  /// @return true if the time of the stream counts.
  bool streamBegan(const registry::WorkerId& worker, std::uint64_t promptTokens,
                   base::TimePoint sentAt, base::TimePoint now, bool timed);
  /// Records that the pauses of a stream first exceeded the target gap. It is reported with the
  /// next stream that begins at the worker.
  void streamPaused(const registry::WorkerId& worker);
  /// @return the report since the previous one; nothing if no stream began.
  std::optional<registry::WorkerTimingReport> takeReport(base::TimePoint now);
  /// Discards what was recorded: there is no leader that could use it.
  void discard(base::TimePoint now);

 private:
  struct Sums {
    registry::WorkerTimingSample timed;
    registry::WorkerTimingSample untimed;
    std::uint32_t pauses = 0;
  };

  std::map<registry::WorkerId, Sums> sums_;
  base::TimePoint since_;  ///< Time of the previous report.
  /// End of the last suspension of the process: the times of streams that were sent before it
  /// include the suspension.
  base::TimePoint validFrom_;
};

}  // namespace walnut::gateway
