#include "scale/cell_traffic.h"

#include <algorithm>
#include <chrono>
#include <numeric>
#include <string>
#include <utility>

#include "scale/process_usage.h"

namespace walnut::scale {

namespace {

constexpr double kMillis = 1e3;
constexpr std::size_t kModels = 230;
constexpr double kAdaptersPerRouter = 7'700.0 / 400;
constexpr double kEnginesPerRouter = 3'000.0 / 400;
constexpr std::size_t kVoters = 5;

const char* peerName(Peer peer) {
  switch (peer) {
    case Peer::leader:
      return "leader";
    case Peer::follower:
      return "follower";
    case Peer::router:
      return "router";
    case Peer::engine:
      return "engine";
  }
  return "";
}

/// @return on which nodes the traffic of a way is spread, and how many they are.
std::pair<std::string, double> sharers(const Way& way, const LocalCellOptions& options) {
  for (const Peer peer : {way.from, way.to}) {
    if (peer == Peer::router) {
      return {"a router", static_cast<double>(options.routers)};
    }
    if (peer == Peer::engine) {
      return {"an engine", static_cast<double>(options.size.engines)};
    }
  }
  return {"a follower", static_cast<double>(options.size.controllers - 1)};
}

/// Series over the number of routers.
class CellSweep {
 public:
  explicit CellSweep(double routers) : routers_(routers) {}

  void add(std::vector<Series>& all, const std::string& quantity, const std::string& unit,
           const std::string& of, double value) const {
    const std::string name = quantity + ", " + of;
    const auto found = std::find_if(all.begin(), all.end(), [&](const Series& series) {
      return series.quantity == name && series.unit == unit;
    });
    Series& series = found == all.end()
                         ? all.emplace_back(Series{name, unit, "routers of the cell", {}})
                         : *found;
    series.points.push_back({routers_, value});
  }

 private:
  double routers_;
};

void addWays(std::vector<Series>& all, const CellSweep& sweep, const CellTraffic& traffic,
             const LocalCellOptions& options, double seconds) {
  for (const auto& [way, counted] : traffic.ways) {
    const std::string name =
        std::string(peerName(way.from)) + " to " + peerName(way.to) + ": " + way.kind;
    const auto [per, nodes] = sharers(way, options);
    const double messages = static_cast<double>(counted.messages) / seconds;
    const double bytes = static_cast<double>(counted.bytes) / seconds;
    sweep.add(all, name, "messages/s", "the cell", messages);
    sweep.add(all, name, "bytes/s", "the cell", bytes);
    sweep.add(all, name, "messages/s", per, messages / nodes);
    sweep.add(all, name, "bytes/s", per, bytes / nodes);
  }
}

/// All that a role sends and receives.
void addRole(std::vector<Series>& all, const CellSweep& sweep, Peer peer,
             const CellTraffic& traffic, double seconds, double nodes) {
  Traffic sum;
  for (const auto& [way, counted] : traffic.ways) {
    if (way.from == peer || way.to == peer) {
      sum.messages += counted.messages;
      sum.bytes += counted.bytes;
    }
  }
  const std::string name = std::string("all that a ") + peerName(peer) + " sends and receives";
  const std::string per = std::string("a ") + peerName(peer);
  sweep.add(all, name, "messages/s", per, static_cast<double>(sum.messages) / seconds / nodes);
  sweep.add(all, name, "bytes/s", per, static_cast<double>(sum.bytes) / seconds / nodes);
}

base::Result<void> addCell(std::vector<Series>& all, const LocalCellOptions& options) {
  const CellSweep sweep(static_cast<double>(options.routers));
  const double before = threadProcessorSeconds();
  BOOST_OUTCOME_TRY(traffic, LocalCell(options).run());
  const double seconds = std::chrono::duration<double>(options.length).count();
  const auto rate = [&](std::uint64_t count) { return static_cast<double>(count) / seconds; };
  sweep.add(all, "counted virtual time", "s", "the run", seconds);
  sweep.add(all, "processor time of the run", "s", "the run", threadProcessorSeconds() - before);
  sweep.add(all, "routers ready at the end", "routers", "the cell",
            static_cast<double>(traffic.routersReady));
  sweep.add(all, "requests", "requests/s", "the cell", rate(traffic.requests));
  sweep.add(all, "requests refused", "requests/s", "the cell", rate(traffic.refused));
  sweep.add(all, "orders to load", "orders/s", "the cell", rate(traffic.loads));
  sweep.add(all, "orders to unload", "orders/s", "the cell", rate(traffic.unloads));
  sweep.add(all, "changes by the operator", "changes/s", "the cell", rate(traffic.changes));
  sweep.add(all, "entries of the log", "entries/s", "the cell", rate(traffic.indexes));
  sweep.add(all, "processor time of the leader's logic", "ms/s", "the cell",
            traffic.leaderSeconds * kMillis / seconds);
  sweep.add(all, "longest step of the leader", "ms", "the cell",
            traffic.longestLeaderStep * kMillis);
  addRole(all, sweep, Peer::router, traffic, seconds, static_cast<double>(options.routers));
  const std::uint64_t most =
      *std::max_element(traffic.routerBytes.begin(), traffic.routerBytes.end());
  sweep.add(all, "all that the busiest router sends and receives", "bytes/s", "a router",
            rate(most));
  addRole(all, sweep, Peer::leader, traffic, seconds, 1);
  addRole(all, sweep, Peer::follower, traffic, seconds,
          static_cast<double>(options.size.controllers - 1));
  addRole(all, sweep, Peer::engine, traffic, seconds, static_cast<double>(options.size.engines));
  addWays(all, sweep, traffic, options, seconds);
  return base::success();
}

}  // namespace

base::Result<std::vector<Series>> measureCellTraffic(const std::vector<double>& routers) {
  std::vector<Series> all;
  for (const double count : routers) {
    LocalCellOptions options;
    options.routers = static_cast<std::size_t>(count);
    options.size.models = kModels;
    options.size.adapters = static_cast<std::size_t>(count * kAdaptersPerRouter);
    options.size.engines = static_cast<std::size_t>(count * kEnginesPerRouter);
    options.size.replicas = options.size.engines * kAcceleratorsPerEngine + options.size.adapters;
    options.size.controllers = kVoters;
    BOOST_OUTCOME_TRYV(addCell(all, options));
  }
  return all;
}

}  // namespace walnut::scale
