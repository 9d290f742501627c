#include "simulator/campaign.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>
#include <utility>

namespace walnut::simulator {

namespace {

void collect(CampaignReport& campaign, RunReport report, bool keepTrace) {
  ++campaign.runs;
  campaign.violatingRuns += report.violations.empty() ? 0 : 1;
  campaign.violations += report.violations.size();
  campaign.counters.add(report.counters);
  campaign.simulated += report.simulated;
  if (report.violations.empty() && !keepTrace) {
    report.timeline.clear();
    report.failureTimeline.clear();
  }
  campaign.reports.push_back(std::move(report));
}

}  // namespace

CampaignReport runCampaign(const CampaignOptions& options,
                           const std::function<void(const RunReport&)>& finished) {
  CampaignReport campaign;
  std::mutex mutex;
  std::atomic<std::uint64_t> nextSeed{options.firstSeed};
  const auto work = [&] {
    for (;;) {
      const std::uint64_t seed = nextSeed.fetch_add(1);
      if (seed > options.lastSeed) {
        return;
      }
      RunReport report =
          runSimulation(RunOptions{seed, options.deployment, options.sabotage, options.keepTrace,
                                   options.faults, options.onlyFault});
      const std::lock_guard<std::mutex> lock(mutex);
      finished(report);
      collect(campaign, std::move(report), options.keepTrace);
    }
  };
  std::vector<std::thread> threads;
  for (unsigned job = 1; job < options.jobs; ++job) {
    threads.emplace_back(work);
  }
  work();
  for (std::thread& thread : threads) {
    thread.join();
  }
  std::sort(campaign.reports.begin(), campaign.reports.end(),
            [](const RunReport& left, const RunReport& right) { return left.seed < right.seed; });
  return campaign;
}

SabotageVerdict judgeSabotage(const SabotageInfo& info, const RunReport& report) {
  if (report.violations.empty()) {
    return SabotageVerdict::missed;
  }
  const bool exact = std::all_of(
      report.violations.begin(), report.violations.end(), [&](const PointViolation& violation) {
        return std::find(info.points.begin(), info.points.end(), violation.point) !=
               info.points.end();
      });
  return exact ? SabotageVerdict::caught : SabotageVerdict::otherPoints;
}

}  // namespace walnut::simulator
