#include "scale/loaded_router.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>
#include <variant>

namespace walnut::scale {

namespace {

constexpr double kMicrosPerSecond = 1e6;

void subtractFrom(const TrafficByKind& after, TrafficByKind& before) {
  for (std::size_t kind = 0; kind < after.size(); ++kind) {
    before[kind].messages = after[kind].messages - before[kind].messages;
    before[kind].bytes = after[kind].bytes - before[kind].bytes;
  }
}

}  // namespace

LoadedRouter::LoadedRouter(const RouterLoad& load)
    : load_(load), random_(load.seed), targets_(load.targets), router_(optionsOf(load)) {}

LoadedRates LoadedRouter::run() {
  router_.start();
  const base::TimePoint countedFrom = router_.now() + load_.warmUp;
  const base::TimePoint end = countedFrom + load_.length;
  scheduleArrival();
  scheduleChange();
  runUntil(countedFrom);
  LoadedRates rates{router_.sent(), router_.received(), router_.times(),
                    std::chrono::duration<double>(load_.length).count()};
  runUntil(end);
  subtractFrom(router_.sent(), rates.toControllers);
  subtractFrom(router_.received(), rates.toRouter);
  rates.times = {router_.times().logic - rates.times.logic,
                 router_.times().codec - rates.times.codec};
  return rates;
}

LocalRouterOptions LoadedRouter::optionsOf(const RouterLoad& load) {
  LocalRouterOptions options;
  options.router = load.router;
  options.size = load.size;
  options.countTraffic = true;
  options.watchHeartbeat = load.watchHeartbeat;
  options.countTimes = load.countTimes;
  options.router.tokenTimeout = 2 * load.answer;
  return options;
}

void LoadedRouter::runUntil(base::TimePoint end) {
  while (!events_.empty() && events_.begin()->first <= end) {
    const auto first = events_.begin();
    const Event event = std::move(first->second);
    router_.advanceTo(first->first);
    events_.erase(first);
    event();
  }
  router_.advanceTo(end);
}

base::Duration LoadedRouter::gap(double perSecond) {
  const double seconds = -std::log(1 - random_.unit()) / perSecond;
  return base::Duration(static_cast<base::Duration::rep>(seconds * kMicrosPerSecond));
}

void LoadedRouter::scheduleArrival() {
  if (load_.requestsPerSecond <= 0) {
    return;
  }
  at(router_.now() + gap(load_.requestsPerSecond), [this] {
    arrive();
    scheduleArrival();
  });
}

void LoadedRouter::scheduleChange() {
  if (load_.changesPerSecond <= 0) {
    return;
  }
  at(router_.now() + gap(load_.changesPerSecond), [this] {
    change();
    scheduleChange();
  });
}

void LoadedRouter::change() {
  const std::size_t number = changes_++;
  if (number % 2 == 0) {
    const std::size_t adapter = number % std::max<std::size_t>(load_.size.adapters, 1);
    router_.commit(protocol::ResourceChanged{adapterResource(load_.size, adapter)});
  } else {
    const std::size_t replica = number % std::max<std::size_t>(load_.size.replicas, 1);
    router_.commit(protocol::ReplicaChanged{replicaRecord(load_.size, replica)});
  }
  carryOut();
}

void LoadedRouter::arrive() {
  routing::CallerRequest request;
  request.request = {"router-0001-" + std::to_string(++requests_)};
  request.target = targetName(load_.size, targets_.draw(random_));
  request.prompt = "Write a caption for the photo.";
  request.maxTokens = 1;
  router_.step(routing::CallerRequested{request});
  carryOut();
}

void LoadedRouter::carryOut() {
  for (const routing::RouterAction& action : router_.takeActions()) {
    if (const auto* start = std::get_if<routing::StartAttempt>(&action)) {
      answer(start->generate);
    }
  }
}

void LoadedRouter::answer(const engine::GenerateRequest& generate) {
  const base::RequestId request = generate.request;
  const base::AttemptId attempt = generate.attempt;
  const base::TimePoint now = router_.now();
  at(now + load_.firstToken, [=, this] {
    hand(engine::GenerateStarted{request, attempt, {1}, {}});
    hand(engine::GenerateToken{request, attempt, 0, " word"});
  });
  at(now + load_.answer, [=, this] {
    hand(engine::GenerateEnded{request, attempt, 1, engine::FinishReason::length, {}});
  });
}

void LoadedRouter::hand(const engine::GenerateEvent& event) {
  router_.step(routing::EngineEvent{event});
  carryOut();
}

}  // namespace walnut::scale
