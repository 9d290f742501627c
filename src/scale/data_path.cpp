#include "scale/data_path.h"

#include <algorithm>
#include <string>
#include <utility>

#include "walnut/runtime/clock.h"

namespace walnut::scale {

namespace {

constexpr base::Duration kConnectTimeout = std::chrono::seconds(2);
constexpr base::Duration kSilence = std::chrono::seconds(20);
constexpr base::Duration kPauseAfterFailure = std::chrono::milliseconds(200);
constexpr base::Duration kWakeLimit = std::chrono::seconds(40);
constexpr int kOk = 200;
constexpr double kMicrosPerMilli = 1e3;
constexpr double kPercent95 = 0.95;

void sleepFor(base::Duration duration) { std::this_thread::sleep_for(duration); }

http::ClientRequest completion(std::size_t model, std::uint32_t tokens) {
  http::ClientRequest request;
  request.method = "POST";
  request.path = "/v1/completions";
  request.body = "{\"model\":\"" + modelName(model) +
                 "\",\"prompt\":\"Write a caption for the photo.\",\"stream\":true," +
                 "\"max_tokens\":" + std::to_string(tokens) + "}";
  return request;
}

base::Result<void> declare(const DataPathOptions& options) {
  std::vector<base::Endpoint> apis;
  for (const FleetProcess& process : options.fleet.controllers) {
    apis.push_back(process.api);
  }
  const FleetClient client(apis);
  std::vector<resource::Resource> resources = sharedResources();
  for (std::size_t model = 0; model < options.models; ++model) {
    resource::Resource declared = modelResource(model);
    std::get<resource::ModelSpec>(declared.spec).activeVersion.clear();
    resources.push_back(declared);
    resources.push_back(modelVersionResource(model));
    resources.push_back(modelResource(model));
  }
  for (const resource::Resource& resource : resources) {
    BOOST_OUTCOME_TRY(version, client.put(resource));
    (void)version;
  }
  return base::success();
}

}  // namespace

HollowCallers::~HollowCallers() {
  stopping_ = true;
  for (std::thread& thread : threads_) {
    thread.join();
  }
}

void HollowCallers::grow(std::size_t callers) {
  while (threads_.size() < callers) {
    threads_.emplace_back([this, number = threads_.size()] { call(number); });
  }
}

std::vector<double> HollowCallers::takeFirstEvents() {
  const std::lock_guard lock(mutex_);
  return std::exchange(firstEvents_, {});
}

void HollowCallers::call(std::size_t caller) {
  // Spread over the time of an answer, so that streams don't begin and end in step.
  constexpr std::size_t kSpread = 97;
  sleepFor(options_.settle * static_cast<std::int64_t>(caller % kSpread) / (2 * kSpread));
  while (!stopping_) {
    if (callOnce(caller)) {
      ++answers_;
    } else {
      ++failures_;
      sleepFor(kPauseAfterFailure);
    }
  }
}

bool HollowCallers::callOnce(std::size_t caller) {
  http::HttpClientConnection connection;
  const base::TimePoint start = runtime::now();
  if (!connection.connect(router_, kConnectTimeout) || !connection.setTimeout(kSilence) ||
      !connection.send(completion(caller % options_.models, options_.tokens), false)) {
    return false;
  }
  const auto head = connection.receiveHead();
  if (!head || head.value().status != kOk) {
    return false;
  }
  std::string tail;
  bool first = true;
  while (!stopping_) {
    const auto some = connection.readSome();
    if (!some) {
      return false;
    }
    if (some.value().empty()) {
      return tail.find("[DONE]") != std::string::npos;
    }
    if (first) {
      first = false;
      const double millis = static_cast<double>((runtime::now() - start).count()) / kMicrosPerMilli;
      const std::lock_guard lock(mutex_);
      firstEvents_.push_back(millis);
    }
    bytes_ += some.value().size();
    tail = some.value();
  }
  return true;
}

base::Result<std::vector<Series>> measureDataPath(const DataPathOptions& options) {
  HollowEnginesOptions engineOptions;
  engineOptions.engines = options.engines;
  engineOptions.platformPort = options.platformPort;
  HollowEngines engines(engineOptions);
  engines.setListed(options.engines);
  BOOST_OUTCOME_TRYV(declare(options));
  HollowCallers callers(options.fleet.routers.front().api, options);
  FleetSampler sampler(options.fleet, "streams open at once");
  callers.grow(options.models);
  const base::TimePoint limit = runtime::now() + kWakeLimit;
  while (engines.counters().streams < options.models && runtime::now() < limit) {
    sleepFor(kPauseAfterFailure);
  }
  for (const double count : options.sweep) {
    callers.grow(static_cast<std::size_t>(count));
    sleepFor(options.settle);
    callers.takeFirstEvents();
    const std::uint64_t tokens = engines.counters().tokens;
    const std::uint64_t bytes = callers.bytes();
    const std::uint64_t failures = callers.failures();
    sampler.begin({});
    sleepFor(options.measured);
    sampler.end(count, {});
    const double seconds = std::chrono::duration<double>(options.measured).count();
    sampler.add("tokens", "tokens/s",
                {count, static_cast<double>(engines.counters().tokens - tokens) / seconds});
    sampler.add("bytes to callers", "bytes/s",
                {count, static_cast<double>(callers.bytes() - bytes) / seconds});
    sampler.add("failed calls", "in all",
                {count, static_cast<double>(callers.failures() - failures)});
    std::vector<double> firsts = callers.takeFirstEvents();
    if (!firsts.empty()) {
      std::sort(firsts.begin(), firsts.end());
      const auto at = static_cast<std::size_t>(kPercent95 * static_cast<double>(firsts.size() - 1));
      sampler.add("time to the first event, 95 in 100", "ms", {count, firsts[at]});
    }
  }
  return sampler.release();
}

}  // namespace walnut::scale
