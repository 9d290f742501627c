#include "scale/control_traffic.h"

#include <algorithm>
#include <functional>
#include <string>
#include <utility>

#include "scale/loaded_router.h"

namespace walnut::scale {

namespace {

/// Adds the point to the series of each kind that occurs.
class TrafficSweep {
 public:
  explicit TrafficSweep(std::string per) : per_(std::move(per)) {}

  void add(double x, const LoadedRates& rates) {
    addWay(x, rates.toControllers, rates.seconds, "to the controllers");
    addWay(x, rates.toRouter, rates.seconds, "to the router");
    Point all{x, 0};
    for (std::size_t kind = 0; kind < std::variant_size_v<protocol::Message>; ++kind) {
      all.y += static_cast<double>(rates.toControllers[kind].bytes + rates.toRouter[kind].bytes) /
               rates.seconds;
    }
    seriesOf("all control traffic of a router, both ways", "bytes/s").points.push_back(all);
  }

  std::vector<Series> release() { return std::move(series_); }

 private:
  void addWay(double x, const TrafficByKind& traffic, double seconds, const std::string& way) {
    for (std::size_t kind = 0; kind < std::variant_size_v<protocol::Message>; ++kind) {
      if (traffic[kind].messages == 0) {
        continue;
      }
      const std::string name = std::string(messageKindName(kind)) + " " + way;
      const auto messages = static_cast<double>(traffic[kind].messages);
      const auto bytes = static_cast<double>(traffic[kind].bytes);
      seriesOf(name, "messages/s").points.push_back({x, messages / seconds});
      seriesOf(name, "bytes/s").points.push_back({x, bytes / seconds});
    }
  }

  Series& seriesOf(const std::string& quantity, const std::string& unit) {
    for (Series& series : series_) {
      if (series.quantity == quantity && series.unit == unit) {
        return series;
      }
    }
    series_.push_back({quantity, unit, per_, {}});
    return series_.back();
  }

  std::string per_;
  std::vector<Series> series_;
};

constexpr CellSize kFullSize{230, 7700, 3000, 24000 + 7700, 5};
constexpr std::size_t kAllTargets = 230 + 7700;
/// 20,000 requests a second over 400 routers.
constexpr double kFullRequestsPerSecond = 50;

void append(std::vector<Series>& all, std::vector<Series> more) {
  std::move(more.begin(), more.end(), std::back_inserter(all));
}

std::vector<Series> sweep(const char* per, const std::vector<double>& values,
                          const std::function<RouterLoad(double)>& loadOf) {
  TrafficSweep sweep(per);
  for (const double value : values) {
    sweep.add(value, LoadedRouter(loadOf(value)).run());
  }
  return sweep.release();
}

}  // namespace

std::vector<Series> measureControlTraffic() {
  std::vector<Series> all;
  append(all, sweep("controllers, idle router", {1, 3, 5, 7}, [](double value) {
           RouterLoad load{kFullSize};
           load.size.controllers = static_cast<std::size_t>(value);
           return load;
         }));
  append(all, sweep("changes a second, idle router", {0, 2, 5, 10}, [](double value) {
           RouterLoad load{kFullSize};
           load.changesPerSecond = value;
           return load;
         }));
  append(all, sweep("requests a second over all 7,930 targets", {5, 10, 25, 50}, [](double value) {
           return RouterLoad{kFullSize, value, kAllTargets};
         }));
  append(all,
         sweep("targets in use, at 50 requests a second", {10, 100, 1000, 7930}, [](double value) {
           return RouterLoad{kFullSize, kFullRequestsPerSecond, static_cast<std::size_t>(value)};
         }));
  return all;
}

}  // namespace walnut::scale
