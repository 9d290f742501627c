/// @file
/// The callers of a serving fleet.

#include <algorithm>
#include <cmath>
#include <utility>

#include "simulator/serving_caller.h"
#include "simulator/serving_document.h"

namespace walnut::simulator {

namespace {

/// Callers wait for one part in so many of their time left, at most.
constexpr int kShareOfTimeLeft = 3;

}  // namespace

void ServingFleet::ask() {
  const double pause = -std::log(1 - scheduler_.random().unit()) / options_.requestsPerSecond;
  scheduler_.after(std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(pause)),
                   [this] {
                     Caller first(*this);
                     first.repeatable = !scheduler_.random().chance(options_.unrepeatableShare);
                     first.target = drawTarget();
                     first.retries = options_.retries;
                     first.counting = counting_;
                     first.firstSentAt = scheduler_.now();
                     first.body = "body " + std::to_string(++lastBody_);
                     if (options_.promptParts) {
                       first.parts = drawParts();
                     }
                     ServedCount& count = counts_[first.target];
                     count.firstAt = count.asked == 0 ? scheduler_.now() : count.firstAt;
                     count.lastAt = scheduler_.now();
                     ++count.asked;
                     send(first);
                     ask();
                   });
}

std::string ServingFleet::drawTarget() {
  if (options_.plain) {
    return {};
  }
  base::Random& random = scheduler_.random();
  if (!random.chance(options_.popularShare)) {
    return servingModelName(random.uniform(options_.popularModels, options_.models - 1));
  }
  const std::size_t model = random.uniform(0, options_.popularModels - 1);
  const std::size_t adapter = random.uniform(0, options_.adapters);
  return model != 0 || adapter == 0 ? servingModelName(model)
                                    : servingModelName(model) + "/a" + std::to_string(adapter);
}

void ServingFleet::send(const Caller& from) {
  callers_.push_back(std::make_unique<Caller>(from));
  Caller& caller = *callers_.back();
  net::HttpRequest request;
  request.method = "POST";
  request.target = caller.repeatable ? "/again/x" : "/once/x";
  request.headers.add("Host", "host");
  const char* const kind = caller.crashingPart ? "p" : caller.crashing ? "c" : "r";
  caller.id = kind + std::to_string(++lastRequest_);
  request.headers.add("Id", caller.id);
  if (caller.crashing) {
    request.headers.add(kCrashingField, std::to_string(*caller.crashing));
  }
  if (caller.crashingPart) {
    request.headers.add(kCrashingPartField, std::to_string(*caller.crashingPart));
  }
  if (!caller.parts.empty()) {
    request.headers.add(kPartsField, joinParts(caller.parts));
  }
  // Of each caller a body of its own, the same in all its tries.
  request.body = caller.body;
  bodies_[caller.id] = caller.body;
  const base::Duration deadline = options_.callersTakeUp ? timeLeft(caller) : kCallerDeadline;
  request.headers.add(
      "Deadline-Ms",
      std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(deadline).count()));
  request.headers.add("Model", caller.target);
  if (caller.stream.lastId() > 0) {
    request.headers.add("Resume", std::to_string(caller.stream.lastId()));
    request.headers.add("Stream", caller.firstId);
  }
  caller.sentAt = scheduler_.now();
  retryAccount_.requested(caller.sentAt);
  if (std::all_of(gateways_.begin(), gateways_.end(),
                  [](const auto& gateway) { return gateway->hasEnded(); })) {
    caller.end(false);
    return;
  }
  std::size_t drawn = 0;
  do {
    drawn = scheduler_.random().uniform(0, gateways_.size() - 1);
  } while (gateways_[drawn]->hasEnded());
  ServingGateway& gateway = *gateways_[drawn];
  caller.gateway = &gateway;
  caller.gatewayIndex = drawn;
  noteStreamSent(caller);
  noteSoundSent(caller);
  gateway.request(std::move(request), caller);
  scheduler_.after(kGivesUpAfter, [this, &caller] {
    if (!caller.begun) {
      leave(caller);
    }
  });
}

/// The caller has waited too long.
void ServingFleet::leave(Caller& caller) {
  if (std::exchange(caller.over, true)) {
    return;
  }
  returns_.tries += caller.returns && caller.counting == counting_ ? 1 : 0;
  if (caller.crashing) {
    comeAgain(*caller.crashing);
  }
  noteFirstTry(caller, false);
  count(caller, false);
  caller.gateway->run([&caller] {
    if (caller.gone && !caller.answered) {
      caller.gone();
    }
  });
}

void ServingFleet::ended(const Caller& caller, bool served) {
  noteFirstTry(caller, served);
  if (caller.crashing) {
    comeAgain(*caller.crashing);
    return;
  }
  if (caller.returns && caller.counting == counting_) {
    ++returns_.tries;
    returns_.served += served ? 1 : 0;
  }
  const bool isLate = options_.callersTakeUp && timeLeft(caller) <= retryPause(caller);
  if (served || caller.retries == 0 || isLate) {
    count(caller, served);
    return;
  }
  Caller next(*this);
  next.target = caller.target;
  next.repeatable = caller.repeatable;
  next.body = caller.body;
  next.parts = caller.parts;
  next.crashingPart = caller.crashingPart;
  next.retries = caller.retries - 1;
  next.counting = caller.counting;
  next.firstSentAt = caller.firstSentAt;
  next.returns = caller.retryAfter.has_value();
  if (options_.callersTakeUp && caller.repeatable) {
    next.stream = caller.stream;
    next.firstId = caller.firstId;
  }
  scheduler_.after(retryPause(caller), [this, next = std::move(next)] { send(next); });
}

base::Duration ServingFleet::retryPause(const Caller& caller) const {
  if (!options_.callersHeedRetryAfter || !caller.retryAfter) {
    return kRetryPause;
  }
  return std::min(*caller.retryAfter, timeLeft(caller) / kShareOfTimeLeft);
}

base::Duration ServingFleet::timeLeft(const Caller& caller) const {
  return caller.firstSentAt + kCallerDeadline - scheduler_.now();
}

void ServingFleet::count(const Caller& caller, bool served) {
  if (caller.counting == counting_ && !caller.crashing && !caller.crashingPart) {
    ServedCount& count = counts_[caller.target];
    ++(served ? count.served : count.lost);
    if (served) {
      decisions_.erase(caller.body);
    } else if (tracesCallers_) {
      lost_.push_back({caller.target, caller.body});
    }
  }
}

}  // namespace walnut::simulator
