#include "scale/router_memory.h"

#include <functional>
#include <string>
#include <utility>
#include <variant>

#include "routing/prefix_index.h"
#include "scale/local_router.h"
#include "scale/process_usage.h"

namespace walnut::scale {

namespace {

constexpr CellSize kFullSize{230, 7700, 3000, 24000 + 7700};

/// At 50 requests a second; demand is reported meanwhile.
constexpr base::Duration kBetweenRequests = std::chrono::milliseconds(20);

constexpr const char* kShortPrompt = "Write a caption for the photo.";

/// @return 2 KB, different from the first byte on.
std::string longPrompt(std::size_t number) {
  constexpr std::size_t kBytes = 2048;
  std::string prompt = std::to_string(number) + " ";
  prompt.resize(kBytes, 'a');
  return prompt;
}

/// Runs a request of one token on each target, one after the other.
void askForEveryTarget(LocalRouter& router, const CellSize& size, RouterUse use) {
  for (std::size_t target = 0; target < size.models + size.adapters; ++target) {
    routing::CallerRequest request;
    request.request = {"router-0001-" + std::to_string(target)};
    request.target = targetName(size, target);
    request.prompt = use == RouterUse::longPromptsAsked ? longPrompt(target) : kShortPrompt;
    request.maxTokens = 1;
    router.step(routing::CallerRequested{request});
    for (const routing::RouterAction& action : router.takeActions()) {
      if (const auto* start = std::get_if<routing::StartAttempt>(&action)) {
        const engine::GenerateRequest& generate = start->generate;
        router.step(routing::EngineEvent{
            engine::GenerateStarted{generate.request, generate.attempt, {1}, {}}});
        router.step(routing::EngineEvent{
            engine::GenerateToken{generate.request, generate.attempt, 0, " word"}});
        router.step(routing::EngineEvent{engine::GenerateEnded{
            generate.request, generate.attempt, 1, engine::FinishReason::length, {}}});
      }
    }
    router.takeActions();
    router.advanceTo(router.now() + kBetweenRequests);
  }
}

/// @return heap bytes of what a router remembers of prompts: whole blocks sent to engines in turn.
double heapOfPrefixes(std::size_t blocks) {
  constexpr std::size_t kEngines = 100;
  const std::uint64_t before = heapBytesInUse();
  routing::PrefixIndex index;
  for (std::size_t block = 0; block < blocks; ++block) {
    index.recordPrompt(engineName(block % kEngines), {block});
  }
  return static_cast<double>(heapBytesInUse()) - static_cast<double>(before);
}

/// Below the bound: a slope. Above it: the index stays as it is.
std::vector<Series> prefixSeries() {
  constexpr std::size_t kBound = routing::kMaxPrefixHashes;
  Series below{"heap of a router's prefix index", "bytes", "blocks of 256 bytes sent", {}};
  for (const std::size_t blocks : {kBound / 8, kBound / 4, kBound / 2, kBound}) {
    below.points.push_back({static_cast<double>(blocks), heapOfPrefixes(blocks)});
  }
  Series above{"heap of a router's full prefix index", "bytes", "blocks of 256 bytes sent", {}};
  for (const std::size_t blocks : {2 * kBound, 4 * kBound, 8 * kBound}) {
    above.points.push_back({static_cast<double>(blocks), heapOfPrefixes(blocks)});
  }
  return {below, above};
}

Series sweep(const char* per, const std::vector<std::size_t>& counts,
             const std::function<CellSize(std::size_t)>& sizeOf) {
  Series series{"heap of a router's logic", "bytes", per, {}};
  for (const std::size_t count : counts) {
    series.points.push_back(
        {static_cast<double>(count), heapOfRouter(sizeOf(count), RouterUse::stateOnly)});
  }
  return series;
}

}  // namespace

double heapOfRouter(const CellSize& size, RouterUse use) {
  const std::uint64_t before = heapBytesInUse();
  LocalRouterOptions options;
  options.size = size;
  LocalRouter router(options);
  router.start();
  if (use != RouterUse::stateOnly) {
    askForEveryTarget(router, size, use);
  }
  return static_cast<double>(heapBytesInUse()) - static_cast<double>(before);
}

std::vector<Series> measureRouterMemory() {
  std::vector<Series> all;
  all.push_back(sweep("models with a version", {30, 60, 120, 230}, [](std::size_t count) {
    return CellSize{count, 0, 10, 0};
  }));
  all.push_back(sweep("adapters", {1000, 2000, 4000, 7700}, [](std::size_t count) {
    return CellSize{230, count, 10, 0};
  }));
  all.push_back(sweep("engines", {375, 750, 1500, 3000}, [](std::size_t count) {
    return CellSize{230, 0, count, 0};
  }));
  all.push_back(sweep("replicas", {3000, 6000, 12000, 24000}, [](std::size_t count) {
    return CellSize{230, 0, 3000, count};
  }));
  for (Series& series : prefixSeries()) {
    all.push_back(std::move(series));
  }
  const std::string whole = "230 models, 7,700 adapters, 3,000 engines, 31,700 replicas";
  const auto addWhole = [&](const std::string& what, RouterUse use) {
    all.push_back({"heap of a router's logic, " + whole + what,
                   "bytes",
                   "router",
                   {{1, heapOfRouter(kFullSize, use)}}});
  };
  addWhole("", RouterUse::stateOnly);
  addWhole(", every target asked for", RouterUse::everyTargetAsked);
  addWhole(", every target asked for with 2 KB", RouterUse::longPromptsAsked);
  return all;
}

}  // namespace walnut::scale
