#include "simulator/serving_document.h"

namespace walnut::simulator {

namespace {

constexpr double kModelMegabytes = 10;
constexpr std::uint32_t kAdapterSlots = 4;
/// Time until the first event, as on the users' platform.
constexpr base::Duration kTargetLatency = std::chrono::milliseconds(600);
/// By which time-outs change.
constexpr base::Duration kTimeoutStep = std::chrono::seconds(1);

}  // namespace

std::string servingModelName(std::size_t number) { return "m" + std::to_string(number); }

base::Result<catalog::Document> ServingFleet::Reader::read(const std::string& text) const {
  catalog::Document document;
  document.version = std::stoull(text);
  document.routes = {makeRoute("again", true, document.version),
                     makeRoute("once", false, document.version)};
  if (options_.plain) {
    document.services = {{kServingService, "/healthz", 0, std::nullopt}};
  } else {
    document.services = {{kServingService, "/healthz", 0, makeEngine()}};
  }
  return document;
}

catalog::Route ServingFleet::Reader::makeRoute(const char* name, bool repeatable,
                                               std::uint64_t version) const {
  catalog::Route route;
  route.name = name;
  route.host = "host";
  route.pathPrefix = std::string("/") + name + "/";
  const auto kind = repeatable ? catalog::RouteKind::idempotent : catalog::RouteKind::nonIdempotent;
  route.kind = options_.plain ? kind : catalog::RouteKind::streaming;
  route.resumable = repeatable && !options_.plain;
  route.maxAttempts = repeatable ? 2 : 1;
  route.timeout = version % 2 == 1 ? kCallerDeadline : kCallerDeadline - kTimeoutStep;
  route.targetLatency = kTargetLatency;
  route.targetGap = options_.targetGap;
  route.services = {{kServingService, 1}};
  return route;
}

catalog::EngineSpec ServingFleet::Reader::makeEngine() const {
  catalog::EngineSpec engine;
  engine.slots = options_.worker.slots;
  engine.weightsMegabytes = kModelMegabytes * static_cast<double>(options_.modelsPerWorker);
  engine.adapterSlots = kAdapterSlots;
  engine.storeLoadsPerSecond = options_.storeLoadsPerSecond;
  for (std::size_t number = 0; number < options_.models; ++number) {
    catalog::ModelSpec model;
    model.name = servingModelName(number);
    model.weightsMegabytes = kModelMegabytes;
    model.storeLoadTime = options_.worker.loadTime;
    model.diskLoadTime = options_.worker.loadTime;
    model.memoryLoadTime = options_.worker.loadTime;
    model.adapters = number == 0 ? static_cast<std::uint32_t>(options_.adapters) : 0;
    engine.models.push_back(model);
  }
  return engine;
}

}  // namespace walnut::simulator
