#include "scale/router_control.h"

#include <algorithm>
#include <string>
#include <utility>

#include "scale/loaded_router.h"

namespace walnut::scale {

namespace {

constexpr CellSize kFullSize{230, 7700, 3000, 24000 + 7700, 5};
/// No model has a replica, so that each request waits until its deadline.
constexpr CellSize kNothingLoaded{230, 0, 3000, 0, 5};
constexpr double kChangesPerSecond = 5.7;  ///< That a router hears of (docs/CAPACITY.md).
constexpr double kMillisPerSecond = 1e3;
constexpr int kRepeats = 6;
/// Longer than a run: what has this interval happens once.
constexpr base::Duration kNeverAgain = std::chrono::hours(1);

/// What a router does beside its requests.
struct Duties {
  const char* name;
  bool demand;
  bool probes;
  bool changes;
};

constexpr Duties kAllDuties{"all", true, true, true};
constexpr Duties kWithoutChanges{"no changes", true, true, false};
constexpr Duties kWithoutDemand{"no changes, no demand reports", false, true, false};
constexpr Duties kRequestsOnly{"no changes, no demand reports, no probes", false, false, false};

RouterLoad loadOf(const CellSize& size, double requestsPerSecond, const Duties& duties) {
  RouterLoad load{size, requestsPerSecond, size.models + size.adapters};
  load.countTimes = true;
  load.changesPerSecond = duties.changes ? kChangesPerSecond : 0;
  load.router.demandInterval = duties.demand ? load.router.demandInterval : kNeverAgain;
  if (!duties.probes) {
    load.router.probeInterval = kNeverAgain;
    load.router.freshnessLimit = kNeverAgain;
    load.watchHeartbeat = kNeverAgain;
  }
  return load;
}

double millisPerSecond(double seconds, const LoadedRates& rates) {
  return seconds * kMillisPerSecond / rates.seconds;
}

/// Runs of the same requests with different duties.
class DutySeries {
 public:
  DutySeries(const CellSize& size, std::string situation)
      : size_(size), situation_(std::move(situation)) {}

  /// The duties take turns, so that other work on the machine meets all of them alike.
  void run(const std::vector<Duties>& all, const std::vector<double>& requestsPerSecond) {
    for (const Duties& duties : all) {
      series_.push_back({quantity("logic", duties), "ms/s", situation_, {}});
      series_.push_back({quantity("codec", duties), "ms/s", situation_, {}});
    }
    for (const double rate : requestsPerSecond) {
      for (int repeat = 0; repeat < kRepeats; ++repeat) {
        for (const Duties& duties : all) {
          const LoadedRates rates = LoadedRouter(loadOf(size_, rate, duties)).run();
          find("logic", duties).points.push_back({rate, millisPerSecond(rates.times.logic, rates)});
          find("codec", duties).points.push_back({rate, millisPerSecond(rates.times.codec, rates)});
        }
      }
    }
  }

  /// Adds what the duties of `more` take beyond those of `fewer`, logic and codec together.
  void subtract(const std::string& name, const Duties& more, const Duties& fewer) {
    Series difference{name, "ms/s", situation_, {}};
    for (const char* part : {"logic", "codec"}) {
      const Series& from = find(part, more);
      const Series& without = find(part, fewer);
      difference.points.resize(from.points.size());
      for (std::size_t at = 0; at < from.points.size(); ++at) {
        difference.points[at].x = from.points[at].x;
        difference.points[at].y += from.points[at].y - without.points[at].y;
      }
    }
    series_.push_back(std::move(difference));
  }

  std::vector<Series> release() { return std::move(series_); }

 private:
  static std::string quantity(const std::string& part, const Duties& duties) {
    return part + " of a router: " + duties.name;
  }

  Series& find(const std::string& part, const Duties& duties) {
    return *std::find_if(series_.begin(), series_.end(), [&](const Series& series) {
      return series.quantity == quantity(part, duties);
    });
  }

  CellSize size_;
  std::string situation_;
  std::vector<Series> series_;
};

std::vector<Series> warmSeries() {
  DutySeries series(kFullSize, "requests a second over 7,930 targets by Zipf's law, all loaded");
  series.run({kAllDuties, kWithoutChanges, kWithoutDemand, kRequestsOnly}, {0, 25, 50});
  series.subtract("changes, logic and codec", kAllDuties, kWithoutChanges);
  series.subtract("demand reports, logic and codec", kWithoutChanges, kWithoutDemand);
  series.subtract("probes and heartbeats, logic and codec", kWithoutDemand, kRequestsOnly);
  series.subtract("all control, logic and codec", kAllDuties, kRequestsOnly);
  return series.release();
}

std::vector<Series> coldSeries() {
  DutySeries series(kNothingLoaded, "requests a second over 230 models, none loaded");
  series.run({kWithoutChanges, kWithoutDemand}, {10, 50});
  series.subtract("demand reports, logic and codec", kWithoutChanges, kWithoutDemand);
  return series.release();
}

}  // namespace

std::vector<Series> measureRouterControl() {
  std::vector<Series> all = warmSeries();
  for (Series& series : coldSeries()) {
    all.push_back(std::move(series));
  }
  return all;
}

}  // namespace walnut::scale
