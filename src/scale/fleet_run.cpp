#include "scale/fleet_run.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <optional>
#include <thread>

#include "walnut/runtime/clock.h"

namespace walnut::scale {

namespace {

constexpr base::Duration kPoll = std::chrono::milliseconds(20);
constexpr base::Duration kLeaderLimit = std::chrono::seconds(30);
constexpr base::Duration kReadyLimit = std::chrono::seconds(120);
constexpr std::size_t kDeclaringThreads = 16;
constexpr base::Duration kPollChange = std::chrono::milliseconds(1);
constexpr double kMicrosPerMilli = 1e3;
constexpr double kMicrosPerSecond = 1e6;

double millis(base::Duration time) { return static_cast<double>(time.count()) / kMicrosPerMilli; }

void sleepFor(base::Duration duration) { std::this_thread::sleep_for(duration); }

std::vector<base::Endpoint> apisOf(const Fleet& fleet) {
  std::vector<base::Endpoint> apis;
  for (const FleetProcess& process : fleet.controllers) {
    apis.push_back(process.api);
  }
  return apis;
}

HollowEnginesOptions engineOptions(const FleetRunOptions& options) {
  HollowEnginesOptions engines;
  engines.engines = options.size.engines;
  engines.platformPort = options.platformPort;
  return engines;
}

HollowRoutersOptions routerOptions(const FleetRunOptions& options) {
  HollowRoutersOptions routers;
  routers.controllers = options.peers;
  routers.zones = {zoneName(0), zoneName(1), zoneName(2)};
  routers.size = options.size;
  return routers;
}

/// Puts all resources, several at once. @return the first error.
base::Result<void> putAll(const FleetClient& client, const std::vector<resource::Resource>& all) {
  std::atomic<std::size_t> next = 0;
  std::mutex mutex;
  std::optional<base::Error> failure;
  std::vector<std::thread> threads;
  for (std::size_t number = 0; number < kDeclaringThreads; ++number) {
    threads.emplace_back([&] {
      for (std::size_t at = next++; at < all.size(); at = next++) {
        const auto put = client.put(all[at]);
        if (put.has_error()) {
          const std::lock_guard lock(mutex);
          failure = put.error();
        }
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  if (failure) {
    return *failure;
  }
  return base::success();
}

}  // namespace

FleetRun::FleetRun(const FleetRunOptions& options)
    : options_(options),
      client_(apisOf(options.fleet)),
      engines_(engineOptions(options)),
      routers_(routerOptions(options)) {
  if (options_.preloaded) {
    engines_.holdReplicas(options_.size);
    engines_.setListed(options_.size.engines);
  }
}

base::Result<void> FleetRun::prepare() {
  const base::TimePoint limit = runtime::now() + kLeaderLimit;
  while (!client_.leader()) {
    if (runtime::now() > limit) {
      return base::Error{base::ErrorCode::noQuorum, "controllers", "no leader"};
    }
    sleepFor(kPoll);
  }
  if (options_.preloaded) {
    return base::success();
  }
  return declareAll();
}

base::Result<void> FleetRun::declareAll() {
  std::vector<resource::Resource> models;
  std::vector<resource::Resource> versions;
  std::vector<resource::Resource> active;
  std::vector<resource::Resource> adapters;
  for (std::size_t model = 0; model < options_.size.models; ++model) {
    active.push_back(modelResource(model));
    versions.push_back(modelVersionResource(model));
    models.push_back(active.back());
    std::get<resource::ModelSpec>(models.back().spec).activeVersion.clear();
  }
  for (std::size_t adapter = 0; adapter < options_.size.adapters; ++adapter) {
    adapters.push_back(adapterResource(options_.size, adapter));
  }
  for (const auto& resources : {sharedResources(), models, versions, active, adapters}) {
    BOOST_OUTCOME_TRYV(putAll(client_, resources));
  }
  return base::success();
}

OwnCounters FleetRun::ownCounters() const {
  const transport::TrafficCounters traffic = routers_.status().traffic;
  return {ownProcessorSeconds() - engines_.counters().processorSeconds,
          static_cast<double>(traffic.bytesSent + traffic.bytesReceived),
          static_cast<double>(traffic.messagesSent + traffic.messagesReceived)};
}

void FleetRun::measure(FleetSampler& sampler, double x) {
  sampler.begin(ownCounters());
  const HollowEngineCounters before = engines_.counters();
  sleepFor(options_.measured);
  const HollowEngineCounters after = engines_.counters();
  sampler.end(x, ownCounters());
  const double seconds = std::chrono::duration<double>(options_.measured).count();
  sampler.add("reports of engines", "reports/s",
              {x, static_cast<double>(after.reports - before.reports) / seconds});
  sampler.add("orders to engines", "orders/s",
              {x, static_cast<double>(after.orders - before.orders) / seconds});
}

bool FleetRun::waitReady(std::size_t routers, base::Duration limit) const {
  const base::TimePoint end = runtime::now() + limit;
  while (routers_.status().ready < routers) {
    if (runtime::now() > end) {
      return false;
    }
    sleepFor(kPoll);
  }
  return true;
}

std::vector<Series> FleetRun::sweepEngines() {
  FleetSampler sampler(options_.fleet, "engines");
  for (const double count : options_.sweep) {
    engines_.setListed(static_cast<std::size_t>(count));
    // A machine that has left the list is known gone after 10 s; sweeps go upwards.
    sleepFor(options_.settle);
    measure(sampler, count);
  }
  return sampler.release();
}

std::vector<Series> FleetRun::sweepRouters() {
  FleetSampler sampler(options_.fleet, "idle hollow routers");
  for (const double count : options_.sweep) {
    const auto routers = static_cast<std::size_t>(count);
    routers_.setCount(routers);
    waitReady(routers, kReadyLimit);
    sleepFor(options_.settle);
    measure(sampler, count);
    sampler.add("hollow routers that are ready", "routers",
                {count, static_cast<double>(routers_.status().ready)});
  }
  return sampler.release();
}

void FleetRun::operate(FleetSampler& sampler, double rate, const std::atomic<bool>& done) {
  base::TimePoint next = runtime::now();
  while (!done && rate > 0) {
    sleepFor(std::max(base::Duration(0), next - runtime::now()));
    next += base::Duration(static_cast<base::Duration::rep>(kMicrosPerSecond / rate));
    const base::TimePoint asked = runtime::now();
    const auto version =
        client_.put(adapterResource(options_.size, changes_++ % options_.size.adapters));
    const base::TimePoint accepted = runtime::now();
    while (version.has_value() && !done && routers_.status().leastIndex < version.value()) {
      sleepFor(kPollChange);
    }
    if (version.has_value() && !done) {
      sampler.add("time until a change is accepted", "ms", {rate, millis(accepted - asked)});
      sampler.add("time from there until all routers have it", "ms",
                  {rate, millis(runtime::now() - accepted)});
    }
  }
}

std::vector<Series> FleetRun::sweepChanges() {
  FleetSampler sampler(options_.fleet, "changes a second");
  routers_.setCount(options_.routers);
  waitReady(options_.routers, kReadyLimit);
  for (const double rate : options_.sweep) {
    sleepFor(options_.settle);
    std::atomic<bool> done = false;
    std::thread operators([&] { operate(sampler, rate, done); });
    FleetSampler usage(options_.fleet, "changes a second");
    measure(usage, rate);
    done = true;
    operators.join();
    for (const Series& series : usage.release()) {
      for (const Point& point : series.points) {
        sampler.add(series.quantity, series.unit, point);
      }
    }
  }
  return sampler.release();
}

std::vector<Series> FleetRun::sweepLoad() {
  FleetSampler sampler(options_.fleet, "requests a second of each hollow router");
  engines_.setListed(options_.size.engines);
  routers_.setCount(options_.routers);
  waitReady(options_.routers, kReadyLimit);
  for (const double rate : options_.sweep) {
    routers_.setLoad({rate, options_.size.models});
    sleepFor(options_.settle);
    const HollowRouterStatus before = routers_.status();
    measure(sampler, rate);
    const HollowRouterStatus after = routers_.status();
    sampler.add("requests answered", "in all",
                {rate, static_cast<double>(after.answered - before.answered)});
    sampler.add("requests refused", "in all",
                {rate, static_cast<double>(after.refused - before.refused)});
  }
  return sampler.release();
}

std::vector<Series> FleetRun::sweepRestart() {
  FleetSampler sampler(options_.fleet, "hollow routers that start together");
  for (const double count : options_.sweep) {
    routers_.setCount(0);
    sleepFor(options_.settle);
    const base::TimePoint start = runtime::now();
    sampler.begin(ownCounters());
    routers_.setCount(static_cast<std::size_t>(count));
    const bool ready = waitReady(static_cast<std::size_t>(count), kReadyLimit);
    const double seconds = std::chrono::duration<double>(runtime::now() - start).count();
    const OwnCounters after = ownCounters();
    sampler.end(count, after);
    sampler.add("time until all are ready", "s", {count, ready ? seconds : -1});
    sampler.add("bytes that all of them took", "bytes", {count, after.bytes});
  }
  return sampler.release();
}

}  // namespace walnut::scale
