#include "scale/router_logic.h"

#include <algorithm>
#include <functional>
#include <string>

#include "scale/local_router.h"
#include "scale/process_usage.h"

namespace walnut::scale {

namespace {

constexpr int kRepeats = 5;
constexpr std::size_t kRequests = 2000;
constexpr double kMicrosPerSecond = 1e6;
constexpr base::Duration kBetweenRequests = std::chrono::milliseconds(1);

/// Runs requests through a router, engines answering at once.
class RequestRunner {
 public:
  explicit RequestRunner(const CellSize& size) : router_(optionsOf(size)) { router_.start(); }

  /// Opens streams that stay open; they go to the targets in turn.
  void openStreams(std::size_t count, std::size_t targets) {
    for (std::size_t number = 0; number < count; ++number) {
      begin(targetName(size_, number % targets), 2);
    }
  }

  /// @return processor time of a whole request, in microseconds.
  double requestMicros(std::uint32_t tokens) {
    const double before = threadProcessorSeconds();
    for (std::size_t number = 0; number < kRequests; ++number) {
      const engine::GenerateRequest generate = begin(targetName(size_, 0), tokens);
      for (std::uint32_t offset = 0; offset < tokens; ++offset) {
        hand(engine::GenerateToken{generate.request, generate.attempt, offset, " word"});
      }
      hand(engine::GenerateEnded{
          generate.request, generate.attempt, tokens, engine::FinishReason::length, {}});
      router_.advanceTo(router_.now() + kBetweenRequests);
    }
    return (threadProcessorSeconds() - before) * kMicrosPerSecond / kRequests;
  }

  /// @return processor time of the commits, in microseconds.
  double changesMicros(std::size_t changes) {
    const double before = threadProcessorSeconds();
    for (std::size_t number = 0; number < changes; ++number) {
      const std::size_t replica = number % std::max<std::size_t>(size_.replicas, 1);
      router_.commit(protocol::ReplicaChanged{replicaRecord(size_, replica)});
    }
    return (threadProcessorSeconds() - before) * kMicrosPerSecond;
  }

  /// @return processor time while nothing is asked for, in microseconds.
  double idleMicros(base::Duration length) {
    const double before = threadProcessorSeconds();
    router_.advanceTo(router_.now() + length);
    return (threadProcessorSeconds() - before) * kMicrosPerSecond;
  }

 private:
  LocalRouterOptions optionsOf(const CellSize& size) {
    size_ = size;
    LocalRouterOptions options;
    options.size = size;
    options.router.tokenTimeout = std::chrono::hours(1);
    options.router.defaultDeadline = std::chrono::hours(1);
    options.router.maxRunningPerReplica = 1000;
    return options;
  }

  engine::GenerateRequest begin(const std::string& target, std::uint32_t tokens) {
    routing::CallerRequest request;
    request.request = {"router-0001-" + std::to_string(++requests_)};
    request.target = target;
    request.prompt = "Write a caption for the photo.";
    request.maxTokens = tokens;
    router_.step(routing::CallerRequested{request});
    engine::GenerateRequest generate;
    for (const routing::RouterAction& action : router_.takeActions()) {
      if (const auto* start = std::get_if<routing::StartAttempt>(&action)) {
        generate = start->generate;
      }
    }
    hand(engine::GenerateStarted{generate.request, generate.attempt, {1}, {}});
    return generate;
  }

  void hand(const engine::GenerateEvent& event) {
    router_.step(routing::EngineEvent{event});
    router_.takeActions();
  }

  CellSize size_;
  LocalRouter router_;
  std::uint64_t requests_ = 0;
};

Series sweep(const char* quantity, const char* per, const std::vector<std::size_t>& values,
             const std::function<double(std::size_t)>& micros) {
  Series series{quantity, "us", per, {}};
  for (const std::size_t value : values) {
    for (int repeat = 0; repeat < kRepeats; ++repeat) {
      series.points.push_back({static_cast<double>(value), micros(value)});
    }
  }
  return series;
}

constexpr CellSize kFullSize{230, 7700, 3000, 24000 + 7700, 5};

}  // namespace

std::vector<Series> measureRouterLogic() {
  std::vector<Series> all;
  all.push_back(sweep("processor time of a request", "tokens", {10, 50, 100, 200},
                      [runner = std::make_shared<RequestRunner>(kFullSize)](std::size_t tokens) {
                        return runner->requestMicros(static_cast<std::uint32_t>(tokens));
                      }));
  all.push_back(sweep("processor time of a request of 10 tokens", "ready replicas of its target",
                      {1, 10, 100, 1000}, [](std::size_t replicas) {
                        return RequestRunner({1, 0, replicas, replicas}).requestMicros(10);
                      }));
  all.push_back(sweep("processor time of a request of 100 tokens", "streams open beside it",
                      {0, 250, 500, 1000}, [](std::size_t streams) {
                        RequestRunner runner(kFullSize);
                        runner.openStreams(streams, kFullSize.models);
                        return runner.requestMicros(100);
                      }));
  all.push_back(
      sweep("processor time of changes of replicas", "changes", {1000, 2000, 5000},
            [](std::size_t changes) { return RequestRunner(kFullSize).changesMicros(changes); }));
  all.push_back(sweep("processor time of an idle router", "seconds", {1000, 2000, 5000},
                      [](std::size_t seconds) {
                        return RequestRunner(kFullSize).idleMicros(std::chrono::seconds(seconds));
                      }));
  return all;
}

}  // namespace walnut::scale
