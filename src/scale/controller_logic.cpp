#include "scale/controller_logic.h"

#include <functional>
#include <memory>
#include <string>

#include "control/cell_state.h"
#include "scale/local_controller.h"
#include "scale/process_usage.h"

namespace walnut::scale {

namespace {

constexpr double kMillisPerSecond = 1e3;
constexpr base::Duration kMeasured = std::chrono::seconds(20);
constexpr double kMeasuredSeconds = 20;
constexpr base::Duration kDemandInterval = std::chrono::milliseconds(200);
constexpr base::Duration kSettle = std::chrono::seconds(5);
constexpr CellSize kFullSize{230, 7700, 3000, 24000 + 7700, 1};
constexpr const char* kEightEach = "engines of 8 accelerators, one replica on each";
constexpr std::size_t kFullRouters = 400;
/// Of keys that all have the same length.
constexpr std::size_t kFirstClaim = 1'000'000;

std::unique_ptr<LocalController> started(const CellSize& size, std::size_t routers) {
  LocalControllerOptions options;
  options.size = size;
  options.routers = routers;
  auto controller = std::make_unique<LocalController>(options);
  if (!controller->start()) {
    return nullptr;
  }
  controller->advance(kSettle);
  return controller;
}

/// Runs `work` over a started controller. @return milliseconds of processor time for each second of
/// virtual time; negative if it did not start.
double millisPerSecond(const CellSize& size, std::size_t routers,
                       const std::function<void(LocalController&)>& work) {
  const auto controller = started(size, routers);
  if (controller == nullptr) {
    return -1;
  }
  const double before = controller->counters().processorSeconds;
  work(*controller);
  const double spent = controller->counters().processorSeconds - before;
  return spent * kMillisPerSecond / kMeasuredSeconds;
}

void idle(LocalController& controller) { controller.advance(kMeasured); }

/// All routers report the same number of running targets, each interval, one after the other.
void reportDemand(LocalController& controller, std::size_t entries) {
  const base::TimePoint end = controller.now() + kMeasured;
  std::uint64_t sequence = 0;
  while (controller.now() < end) {
    ++sequence;
    for (std::size_t router = 0; router < kFullRouters; ++router) {
      protocol::DemandReport report;
      report.router = {router + 1};
      report.sequence = sequence;
      for (std::size_t entry = 0; entry < entries; ++entry) {
        protocol::Demand demand;
        demand.model = modelName((router + entry) % kFullSize.models);
        demand.running = static_cast<std::uint32_t>(1 + (sequence + entry) % 2);
        demand.lastArrival = controller.now();
        report.entries.push_back(std::move(demand));
      }
      controller.step(control::PeerMessage{LocalController::connectionOf(router), report});
    }
    controller.advance(kDemandInterval);
  }
}

/// Operators replace adapters at an even rate.
void change(LocalController& controller, std::size_t perSecond) {
  constexpr base::Duration kSecond = std::chrono::seconds(1);
  const base::TimePoint end = controller.now() + kMeasured;
  std::uint64_t number = 0;
  while (controller.now() < end) {
    if (perSecond > 0) {
      const control::PutResource put{"change-" + std::to_string(++number), std::nullopt,
                                     adapterResource(kFullSize, number % kFullSize.adapters)};
      controller.step(control::ApiCall{number, put});
    }
    controller.advance(kSecond / std::max<std::size_t>(perSecond, 1));
  }
}

/// Routers claim keys at an even rate, one a message.
void claim(LocalController& controller, std::size_t perSecond) {
  constexpr base::Duration kBatch = std::chrono::milliseconds(5);
  constexpr std::size_t kBatchesPerSecond = 200;
  const base::TimePoint end = controller.now() + kMeasured;
  std::uint64_t number = 0;
  while (controller.now() < end) {
    std::vector<control::ControllerInput> inputs;
    for (std::size_t count = 0; count < perSecond / kBatchesPerSecond; ++count) {
      const std::string key = "key-0000-0000-0000-0000-" + std::to_string(++number);
      const control::ClaimKey body{key, base::RequestId{"request-" + key}, controller.now()};
      inputs.emplace_back(control::PeerMessage{LocalController::connectionOf(number % kFullRouters),
                                               protocol::ClaimRequest{number, body}});
    }
    controller.step(inputs);
    controller.advance(kBatch);
  }
}

Series sweep(const char* quantity, const char* unit, const char* per,
             const std::vector<std::size_t>& values,
             const std::function<double(std::size_t)>& measure) {
  Series series{quantity, unit, per, {}};
  for (const std::size_t value : values) {
    series.points.push_back({static_cast<double>(value), measure(value)});
  }
  return series;
}

constexpr const char* kLeaderTime = "processor time of the leader's logic";
constexpr const char* kLeaderUnit = "ms/s";

std::vector<Series> timeSeries() {
  const CellSize noEngines{230, 7700, 1, 0, 1};
  return {
      sweep(kLeaderTime, kLeaderUnit, kEightEach, {375, 750, 1500, 3000},
            [](std::size_t engines) {
              return millisPerSecond({230, 7700, engines, 8 * engines, 1}, 0, idle);
            }),
      sweep(kLeaderTime, kLeaderUnit, "idle routers", {0, 100, 200, 400},
            [&](std::size_t routers) { return millisPerSecond(noEngines, routers, idle); }),
      sweep(kLeaderTime, kLeaderUnit, "changes a second to 400 routers", {0, 2, 5, 10},
            [&](std::size_t changes) {
              return millisPerSecond(noEngines, kFullRouters, [&](LocalController& controller) {
                change(controller, changes);
              });
            }),
      sweep(kLeaderTime, kLeaderUnit, "demand entries of each of 400 routers, each 200 ms",
            {0, 5, 10, 20},
            [&](std::size_t entries) {
              return millisPerSecond(
                  {230, 0, 375, 3000, 1}, kFullRouters,
                  [&](LocalController& controller) { reportDemand(controller, entries); });
            }),
      sweep(kLeaderTime, kLeaderUnit, "claims a second", {0, 1000, 2000, 4000},
            [&](std::size_t claims) {
              return millisPerSecond(noEngines, kFullRouters, [&](LocalController& controller) {
                claim(controller, claims);
              });
            }),
  };
}

/// Longest time that the decision loop does nothing else: when the server begins to lead, and
/// after.
std::vector<Series> longestSteps() {
  Series beginning{"longest step while a leader begins", "ms", kEightEach, {}};
  Series steady{"longest step of a leader", "ms", kEightEach, {}};
  for (const std::size_t engines : {375UL, 750UL, 1500UL, 3000UL}) {
    LocalControllerOptions options;
    options.size = {230, 7700, engines, 8 * engines, 1};
    LocalController controller(options);
    if (!controller.start()) {
      break;
    }
    const auto x = static_cast<double>(engines);
    beginning.points.push_back({x, controller.counters().longestStep * kMillisPerSecond});
    controller.advance(kSettle);
    controller.forgetLongestStep();
    controller.advance(kMeasured);
    steady.points.push_back({x, controller.counters().longestStep * kMillisPerSecond});
  }
  return {beginning, steady};
}

/// A router reports a waiting request for each model, and none is loaded.
Series wakeBurst() {
  Series series{
      "longest step in a wake burst of 230 models", "ms", "engines of 8 accelerators", {}};
  for (const std::size_t engines : {60UL, 120UL, 375UL, 750UL}) {
    const auto controller = started({230, 0, engines, 0, 1}, 1);
    if (controller == nullptr) {
      break;
    }
    protocol::DemandReport report;
    report.router = {1};
    report.sequence = 1;
    report.complete = true;
    for (std::size_t model = 0; model < kFullSize.models; ++model) {
      protocol::Demand demand;
      demand.model = modelName(model);
      demand.waitingInteractive = 1;
      demand.lastArrival = controller->now();
      report.entries.push_back(std::move(demand));
    }
    controller->forgetLongestStep();
    controller->step(control::PeerMessage{LocalController::connectionOf(0), report});
    controller->advance(std::chrono::seconds(3));
    series.points.push_back(
        {static_cast<double>(engines), controller->counters().longestStep * kMillisPerSecond});
  }
  return series;
}

/// Claims move the log on, and each router hears of that.
Series deltasOverClaims() {
  return sweep("WatchDelta to each of 400 routers", "messages/s", "claims a second",
               {0, 1000, 2000, 4000}, [](std::size_t claims) {
                 const auto controller = started({230, 0, 1, 0, 1}, kFullRouters);
                 if (controller == nullptr) {
                   return -1.0;
                 }
                 const std::size_t delta = protocol::Message(protocol::WatchDelta{}).index();
                 const auto before = controller->counters().toRouters[delta].messages;
                 claim(*controller, claims);
                 const auto sent = controller->counters().toRouters[delta].messages - before;
                 return static_cast<double>(sent) / kFullRouters / kMeasuredSeconds;
               });
}

/// Heap of a started controller over a state of that size.
double heapOf(const CellSize& size) {
  const std::uint64_t before = heapBytesInUse();
  const auto controller = started(size, 0);
  const std::uint64_t with = heapBytesInUse();
  // What the stand-ins for engines hold is in it as well: their reports.
  return static_cast<double>(with) - static_cast<double>(before);
}

double snapshotBytes(const CellSize& size) {
  const auto snapshot = buildSnapshot({}, size, {}, EngineEndpoints(size.engines));
  return snapshot.has_error() ? -1 : static_cast<double>(snapshot.value().data.size());
}

/// Processor time of encoding the whole state and of restoring it, in milliseconds.
std::vector<Series> snapshotSeries() {
  Series encode{"encoding a snapshot of the full state", "ms", "run", {}};
  Series restore{"restoring a snapshot of the full state", "ms", "run", {}};
  Series listing{"listing the full state for a router", "ms", "run", {}};
  const auto snapshot = buildSnapshot({}, kFullSize, {}, EngineEndpoints(kFullSize.engines));
  constexpr int kRuns = 5;
  for (int run = 0; snapshot.has_value() && run < kRuns; ++run) {
    control::CellState state({});
    const double start = threadProcessorSeconds();
    const bool restored = state.restoreSnapshot(snapshot.value().data).has_value();
    const double afterRestore = threadProcessorSeconds();
    const std::size_t bytes = state.encodeSnapshot().size();
    const double afterEncode = threadProcessorSeconds();
    const std::size_t changes = state.wholeState().size();
    const double afterList = threadProcessorSeconds();
    if (!restored || bytes == 0 || changes == 0) {
      break;
    }
    restore.points.push_back({1, (afterRestore - start) * kMillisPerSecond});
    encode.points.push_back({1, (afterEncode - afterRestore) * kMillisPerSecond});
    listing.points.push_back({1, (afterList - afterEncode) * kMillisPerSecond});
  }
  return {encode, restore, listing};
}

/// Memory, snapshot and its encoding over claims that the window keeps.
std::vector<Series> claimSeries() {
  Series heap{"heap of the claims", "bytes", "claims kept", {}};
  Series snapshot{"snapshot", "bytes", "claims kept", {}};
  Series encode{"encoding a snapshot", "ms", "claims kept", {}};
  constexpr std::size_t kBatch = 100;
  for (const std::size_t claims : {50'000UL, 100'000UL, 200'000UL, 400'000UL}) {
    const std::uint64_t before = heapBytesInUse();
    control::CellState state({});
    for (std::size_t first = 0; first < claims; first += kBatch) {
      control::ClaimKeys keys;
      for (std::size_t number = first; number < first + kBatch; ++number) {
        const std::string key = "key-0000-0000-0000-0000-" + std::to_string(kFirstClaim + number);
        keys.claims.push_back({key, base::RequestId{"request-" + key}, base::TimePoint()});
      }
      state.apply(1 + first, control::Command{base::TimePoint(), std::move(keys)});
    }
    const double heapBytes = static_cast<double>(heapBytesInUse()) - static_cast<double>(before);
    const double start = threadProcessorSeconds();
    const std::string encoded = state.encodeSnapshot();
    const auto x = static_cast<double>(claims);
    encode.points.push_back({x, (threadProcessorSeconds() - start) * kMillisPerSecond});
    snapshot.points.push_back({x, static_cast<double>(encoded.size())});
    heap.points.push_back({x, heapBytes});
  }
  return {heap, snapshot, encode};
}

std::vector<Series> sizeSeries() {
  return {
      sweep("heap of a controller's logic, engines' reports included", "bytes", kEightEach,
            {375, 750, 1500, 3000},
            [](std::size_t engines) {
              return heapOf({230, 0, engines, 8 * engines, 1});
            }),
      sweep("heap of a controller's logic", "bytes", "adapters", {1000, 2000, 4000, 7700},
            [](std::size_t adapters) {
              return heapOf({230, adapters, 1, 0, 1});
            }),
      sweep("snapshot", "bytes", "adapters", {1000, 2000, 4000, 7700},
            [](std::size_t adapters) {
              return snapshotBytes({230, adapters, 1, 0, 1});
            }),
      sweep("snapshot", "bytes", kEightEach, {375, 750, 1500, 3000},
            [](std::size_t engines) {
              return snapshotBytes({230, 0, engines, 8 * engines, 1});
            }),
      {"snapshot of the full state", "bytes", "run", {{1, snapshotBytes(kFullSize)}}},
  };
}

}  // namespace

std::vector<Series> measureControllerLogic() {
  std::vector<Series> all = timeSeries();
  all.push_back(deltasOverClaims());
  all.push_back(wakeBurst());
  for (Series& series : longestSteps()) {
    all.push_back(std::move(series));
  }
  for (auto more : {sizeSeries(), claimSeries(), snapshotSeries()}) {
    std::move(more.begin(), more.end(), std::back_inserter(all));
  }
  return all;
}

}  // namespace walnut::scale
