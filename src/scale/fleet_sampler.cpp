#include "scale/fleet_sampler.h"

#include <utility>

#include "walnut/runtime/clock.h"

namespace walnut::scale {

namespace {

constexpr double kMillisPerSecond = 1e3;

}  // namespace

FleetSampler::Sample FleetSampler::sampleOf(const FleetProcess& process) {
  Sample sample;
  const auto usage = readProcessUsage(process.process);
  if (usage.has_value()) {
    sample.usage = usage.value();
  }
  sample.peerBytes = readMetric(process.api, "walnut_peer_bytes_total").value_or(0);
  return sample;
}

void FleetSampler::begin(const OwnCounters& own) {
  controllers_.clear();
  routers_.clear();
  for (const FleetProcess& process : fleet_.controllers) {
    controllers_.push_back(sampleOf(process));
  }
  for (const FleetProcess& process : fleet_.routers) {
    routers_.push_back(sampleOf(process));
  }
  own_ = own;
  begunAt_ = runtime::now();
}

void FleetSampler::end(double x, const OwnCounters& own) {
  const double seconds = std::chrono::duration<double>(runtime::now() - begunAt_).count();
  std::vector<base::Endpoint> apis;
  for (const FleetProcess& process : fleet_.controllers) {
    apis.push_back(process.api);
  }
  const auto leader = FleetClient(apis).leader();
  for (std::size_t number = 0; number < fleet_.controllers.size(); ++number) {
    addProcess(leader == number ? "leader" : "follower", x, seconds, controllers_[number],
               sampleOf(fleet_.controllers[number]));
  }
  for (std::size_t number = 0; number < fleet_.routers.size(); ++number) {
    addProcess("real router", x, seconds, routers_[number], sampleOf(fleet_.routers[number]));
  }
  add("processor time of all hollow routers", "ms/s",
      {x, (own.processorSeconds - own_.processorSeconds) * kMillisPerSecond / seconds});
  add("control traffic of all hollow routers", "bytes/s", {x, (own.bytes - own_.bytes) / seconds});
  add("control messages of all hollow routers", "messages/s",
      {x, (own.messages - own_.messages) / seconds});
}

void FleetSampler::addProcess(const std::string& role, double x, double seconds,
                              const Sample& before, const Sample& after) {
  const double spent = after.usage.processorSeconds - before.usage.processorSeconds;
  add("processor time of the " + role, "ms/s", {x, spent * kMillisPerSecond / seconds});
  add("resident memory of the " + role, "bytes",
      {x, static_cast<double>(after.usage.residentBytes)});
  add("threads of the " + role, "threads", {x, static_cast<double>(after.usage.threads)});
  add("peer traffic of the " + role, "bytes/s",
      {x, (after.peerBytes - before.peerBytes) / seconds});
}

void FleetSampler::add(const std::string& quantity, const std::string& unit, Point point) {
  for (Series& series : series_) {
    if (series.quantity == quantity && series.unit == unit) {
      series.points.push_back(point);
      return;
    }
  }
  series_.push_back({quantity, unit, per_, {point}});
}

}  // namespace walnut::scale
