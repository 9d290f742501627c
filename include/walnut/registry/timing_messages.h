#pragma once
/// @file
/// Messages about the speed of workers, as measured by all gateways together. No single gateway
/// sees enough of one worker. The messages need feature level `kWorkerTimings`.

#include <cereal/types/vector.hpp>
#include <cstdint>
#include <vector>

#include "walnut/base/time.h"
#include "walnut/registry/worker.h"

namespace walnut::registry {

/// What one gateway measured at one worker in the span of a report. Streams whose time is not
/// comparable, since all slots of the worker were taken when they were sent, are in a sample of
/// their own with `firstEvents` zero: their prompts count, their times don't.
struct WorkerTimingSample {
  WorkerId worker;
  std::uint32_t streams = 0;       ///< Streams that began.
  std::uint64_t promptTokens = 0;  ///< Sum of the prompt tokens of these streams.
  base::Duration firstEvents{0};   ///< Sum of their times from the sending to the first event.
  std::uint32_t pauses = 0;        ///< Streams whose pauses first exceeded the target gap.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(worker, streams, promptTokens, firstEvents, pauses);
  }
};
/// Gateway to leader: what was measured since the previous report. Workers without any stream are
/// left out.
struct WorkerTimingReport {
  base::Duration span{0};  ///< Time since the previous report.
  std::vector<WorkerTimingSample> samples;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(span, samples);
  }
};

/// Maxima of the leader's estimates over all workers.
struct WorkerTimingMaxima {
  std::uint32_t slownessPercent = 0;
  std::uint32_t promptSharePercent = 0;
};

/// The leader's estimate for one worker.
struct WorkerTiming {
  WorkerId worker;
  /// Time to the first event per prompt token as a percentage of the median over the service's
  /// workers.
  std::uint32_t slownessPercent = 100;
  /// Percentage of the time that the worker spends reading prompts.
  std::uint32_t promptSharePercent = 0;

  bool operator==(const WorkerTiming&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(worker, slownessPercent, promptSharePercent);
  }
};
/// Leader to gateway: the estimates that changed since the last message on the connection. The
/// first one on a connection has all workers with an estimate.
struct WorkerTimings {
  bool complete = false;
  std::vector<WorkerTiming> workers;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(complete, workers);
  }
};

}  // namespace walnut::registry
