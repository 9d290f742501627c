#include "simulator/caller_workload.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace walnut::simulator {

namespace {

/// Shares of the requests; drawn independently.
constexpr double kBatchShare = 0.15;
constexpr double kOnceShare = 0.2;       ///< May not be repeated.
constexpr double kImpatientShare = 0.1;  ///< Of those: sent at two routers at once.
constexpr double kLeavingShare = 0.04;
constexpr double kShortDeadlineShare = 0.1;
constexpr double kUnknownTargetShare = 0.01;
/// Adapters that operators create and delete during the run; of the latest ones.
constexpr double kPassingShare = 0.05;
constexpr std::size_t kLatestPassing = 5;
/// Of those that may not be repeated: first issued before the claim window.
constexpr double kExpiredShare = 0.03;
constexpr base::Duration kExpiredAge = std::chrono::minutes(20);
constexpr double kResendShare = 0.8;  ///< Of failed requests that may not be repeated.
constexpr std::uint32_t kResends = 3;
/// Popularity falls with a power of the rank; most models are idle most of the time.
constexpr double kPopularityExponent = 1.3;
constexpr base::Duration kBurstGap = std::chrono::seconds(20);
constexpr std::size_t kBurstRequestsOfRouter = 4;

std::uint32_t drawTokens(base::Random& random, bool batch) {
  return static_cast<std::uint32_t>(batch ? random.uniform(40, 260) : random.uniform(1, 40));
}

}  // namespace

Callers::Callers(Environment& environment, Fleet& fleet, const std::string& name,
                 const std::string& zone)
    : Process(environment.network, name, zone), environment_(environment), fleet_(fleet) {}

CallerHandlers Callers::handlersFor(const base::RequestId& id,
                                    const std::shared_ptr<Pending>& pending) {
  CallerHandlers handlers;
  handlers.token = [this, id](const routing::CallerToken& token) {
    environment_.observe(TokenReceived{id, token.offset, token.text});
  };
  handlers.ended = [this, id, pending](const routing::CallerEnded& ended) {
    environment_.observe(AnswerEnded{id, ended.tokenCount});
    finish(pending, CallerOutcome::answered);
  };
  handlers.refused = [this, id, pending](const routing::CallerRefused& refused) {
    environment_.observe(RequestRefused{id, refused.error.code, refused.executed});
    finish(pending, CallerOutcome::refused);
  };
  return handlers;
}

void Callers::finish(const std::shared_ptr<Pending>& pending, CallerOutcome outcome) {
  if (std::exchange(pending->ended, true)) {
    return;
  }
  pending->exchange.reset();
  if (outcome != CallerOutcome::answered) {
    maybeResend(pending->intent);
  }
  if (pending->done) {
    pending->done(outcome);
  }
}

void Callers::handleEnd(const base::RequestId& id, const std::shared_ptr<Pending>& pending,
                        const std::optional<base::Error>& error) {
  if (pending->ended || !error) {
    return;  // Answered, or ended without any answer: the oracle finds that.
  }
  if (error->code == base::ErrorCode::connectFailed) {
    // The router never had the request.
    environment_.observe(CallerLeft{id});
    ++environment_.counters.outcomes["router_unreachable"];
    finish(pending, CallerOutcome::unreachable);
    return;
  }
  environment_.observe(ConnectionBroke{id});
  finish(pending, CallerOutcome::broke);
}

void Callers::issue(const CallerIntent& intent, std::function<void(CallerOutcome)> done) {
  RouterNode* router = fleet_.routers[intent.router].get();
  CallerCall call;
  call.deadlineAfter = intent.deadlineAfter;
  call.request.request = base::RequestId{name() + "-" + std::to_string(nextRequest_++)};
  call.request.target = intent.target;
  const bool once = !intent.idempotencyKey.empty();
  call.request.prompt = (once ? "once " : "ask ") + call.request.request.value;
  call.request.maxTokens = intent.maxTokens;
  call.request.priority = intent.priority;
  call.request.repeatable = !once;
  call.request.idempotencyKey = intent.idempotencyKey;
  if (once) {
    call.request.issuedAt = intent.issuedAt.value_or(localNow());
  }
  const base::RequestId id = call.request.request;
  RequestIssued issued{id,
                       router->name(),
                       intent.target,
                       call.request.prompt,
                       intent.maxTokens,
                       scheduler().now() + intent.deadlineAfter,
                       intent.idempotencyKey};
  environment_.observe(issued);

  const auto pending = std::make_shared<Pending>();
  pending->intent = intent;
  pending->intent.issuedAt = call.request.issuedAt;
  pending->done = std::move(done);
  const auto exchange =
      std::make_shared<Exchange>(network(), *this, router->host(),
                                 [this, id, pending](const std::optional<base::Error>& error) {
                                   handleEnd(id, pending, error);
                                 });
  pending->exchange = exchange;
  environment_.exchanges.add(exchange);
  exchange->begin(router, ExchangeFaults{},
                  [router, call, exchange, handlers = handlersFor(id, pending)] {
                    router->serveRequest(call, exchange, handlers);
                  });
  if (intent.mayLeave) {
    maybeLeave(id, pending);
  }
}

void Callers::maybeLeave(const base::RequestId& id, const std::shared_ptr<Pending>& pending) {
  base::Random& random = environment_.random();
  if (!random.chance(kLeavingShare)) {
    return;
  }
  const base::Duration after = random.between(base::Duration{0}, std::chrono::seconds(5));
  scheduler().after(after, [this, id, pending] {
    if (std::exchange(pending->ended, true)) {
      return;
    }
    environment_.observe(CallerLeft{id});
    ++environment_.counters.outcomes["caller_left"];
    pending->exchange->closeByClient();
    pending->exchange.reset();
  });
}

void Callers::maybeResend(const CallerIntent& intent) {
  base::Random& random = environment_.random();
  if (intent.idempotencyKey.empty() || intent.resendsLeft == 0 || !random.chance(kResendShare)) {
    return;
  }
  CallerIntent again = intent;
  --again.resendsLeft;
  again.router = random.uniform(0, fleet_.routers.size() - 1);
  const base::Duration after =
      random.between(std::chrono::milliseconds(50), std::chrono::seconds(3));
  scheduler().after(after, [this, again] { issue(again, nullptr); });
}

CallerWorkload::CallerWorkload(Environment& environment, Fleet& fleet, const Deployment& deployment)
    : environment_(environment), fleet_(fleet), deployment_(deployment) {
  for (const std::string& zone : deployment.zones) {
    callers_.push_back(std::make_unique<Callers>(
        environment, fleet, "call" + std::to_string(callers_.size() + 1), zone));
    callers_.back()->start();
  }
}

Callers& CallerWorkload::callersNear(std::size_t router) {
  return *callers_[router % callers_.size()];
}

std::string CallerWorkload::drawTarget() {
  base::Random& random = environment_.random();
  if (random.chance(kUnknownTargetShare)) {
    return "nobody-declared-this";
  }
  const std::vector<std::string>& passing = environment_.passingAdapters;
  if (!passing.empty() && random.chance(kPassingShare)) {
    return passing[passing.size() - random.uniform(1, std::min(kLatestPassing, passing.size()))];
  }
  const std::size_t targets = deployment_.models + deployment_.adapters;
  // Inverse of the distribution function of a truncated power law.
  const double exponent = 1.0 - kPopularityExponent;
  const double top = std::pow(static_cast<double>(targets) + 1.0, exponent);
  const double rank = std::pow(1.0 + random.unit() * (top - 1.0), 1.0 / exponent);
  const auto index = std::min(targets - 1, static_cast<std::size_t>(rank - 1.0));
  return index < deployment_.models ? modelName(index) : adapterName(index - deployment_.models);
}

void CallerWorkload::run(base::TimePoint end, base::TimePoint lastDeadline) {
  end_ = end;
  lastDeadline_ = lastDeadline;
  scheduleNext();
  scheduleBurst();
}

void CallerWorkload::scheduleNext() {
  const auto mean = static_cast<std::int64_t>(1e6 / deployment_.requestsPerSecond);
  const base::Duration gap =
      environment_.random().between(base::Duration{0}, base::Duration(2 * mean));
  environment_.scheduler.after(gap, [this] {
    if (environment_.scheduler.now() < end_) {
      issueOne();
      scheduleNext();
    }
  });
}

void CallerWorkload::scheduleBurst() {
  environment_.scheduler.after(environment_.random().between(kBurstGap / 2, kBurstGap * 2), [this] {
    if (environment_.scheduler.now() < end_) {
      burst();
      scheduleBurst();
    }
  });
}

void CallerWorkload::issueOne() {
  base::Random& random = environment_.random();
  CallerIntent intent;
  intent.router = random.uniform(0, fleet_.routers.size() - 1);
  intent.target = drawTarget();
  const bool batch = random.chance(kBatchShare);
  intent.priority = batch ? engine::Priority::batch : engine::Priority::interactive;
  intent.maxTokens = drawTokens(random, batch);
  if (batch) {
    intent.deadlineAfter = random.between(std::chrono::seconds(60), std::chrono::seconds(240));
  } else if (random.chance(kShortDeadlineShare)) {
    intent.deadlineAfter = random.between(std::chrono::milliseconds(100), std::chrono::seconds(2));
  } else {
    intent.deadlineAfter = random.between(std::chrono::seconds(5), std::chrono::seconds(30));
  }
  intent.deadlineAfter =
      std::min<base::Duration>(intent.deadlineAfter, lastDeadline_ - environment_.scheduler.now());
  if (random.chance(kOnceShare)) {
    intent.idempotencyKey = "key-" + std::to_string(nextKey_++);
    intent.resendsLeft = kResends;
    if (random.chance(kExpiredShare)) {
      intent.issuedAt = environment_.scheduler.now() - kExpiredAge;
    }
    if (random.chance(kImpatientShare)) {
      CallerIntent twin = intent;
      twin.router = random.uniform(0, fleet_.routers.size() - 1);
      callersNear(twin.router).issue(twin, nullptr);
    }
  }
  callersNear(intent.router).issue(intent, nullptr);
}

void CallerWorkload::burst() {
  base::Random& random = environment_.random();
  // Any model with equal chance: most of them sleep.
  const std::string target = modelName(random.uniform(0, deployment_.models - 1));
  for (std::size_t router = 0; router < fleet_.routers.size(); ++router) {
    for (std::size_t count = 0; count < kBurstRequestsOfRouter; ++count) {
      CallerIntent intent;
      intent.router = router;
      intent.target = target;
      intent.maxTokens = drawTokens(random, false);
      intent.deadlineAfter = random.between(std::chrono::seconds(8), std::chrono::seconds(25));
      environment_.scheduler.after(
          random.between(base::Duration{0}, std::chrono::milliseconds(500)),
          [this, intent] { callersNear(intent.router).issue(intent, nullptr); });
    }
  }
}

void CallerWorkload::probe(std::size_t router, const std::string& target, base::Duration deadline,
                           std::function<void(CallerOutcome)> done) {
  CallerIntent intent;
  intent.router = router;
  intent.target = target;
  intent.maxTokens = 4;
  intent.deadlineAfter = deadline;
  intent.mayLeave = false;
  ++environment_.counters.probes;
  callersNear(router).issue(intent, std::move(done));
}

}  // namespace walnut::simulator
