#include "gateway/timing_recorder.h"

#include <utility>

namespace walnut::gateway {

bool TimingRecorder::streamBegan(const registry::WorkerId& worker, std::uint64_t promptTokens,
                                 base::TimePoint sentAt, base::TimePoint now, bool timed) {
  if (promptTokens == 0) {
    return false;
  }
  const bool counts = timed && now > sentAt && sentAt >= validFrom_ && now - since_ <= kMaxSpan;
  Sums& sums = sums_[worker];
  registry::WorkerTimingSample& sample = counts ? sums.timed : sums.untimed;
  ++sample.streams;
  sample.promptTokens += promptTokens;
  if (counts) {
    sample.firstEvents += now - sentAt;
  }
  return counts;
}

void TimingRecorder::streamPaused(const registry::WorkerId& worker) { ++sums_[worker].pauses; }

std::optional<registry::WorkerTimingReport> TimingRecorder::takeReport(base::TimePoint now) {
  registry::WorkerTimingReport report;
  report.span = now - std::exchange(since_, now);
  if (report.span > kMaxSpan) {
    validFrom_ = now;
  }
  for (auto& [worker, sums] : std::exchange(sums_, {})) {
    std::uint32_t pauses = sums.pauses;
    for (registry::WorkerTimingSample* sample : {&sums.timed, &sums.untimed}) {
      if (sample->streams > 0) {
        sample->worker = worker;
        sample->pauses = std::exchange(pauses, 0);
        report.samples.push_back(std::move(*sample));
      }
    }
    if (pauses > 0) {
      sums_[worker].pauses = pauses;
    }
  }
  return report.samples.empty() ? std::nullopt : std::optional(std::move(report));
}

void TimingRecorder::discard(base::TimePoint now) {
  sums_.clear();
  since_ = now;
}

}  // namespace walnut::gateway
