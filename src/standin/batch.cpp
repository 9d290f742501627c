#include "standin/batch.h"

#include <algorithm>
#include <utility>

namespace walnut::standin {

namespace {

/// A cached prefix divides the delay of the first token by this.
constexpr int kPrefixSpeedup = 4;
/// Sabotage hits every attempt or token with this multiple as its number.
constexpr std::uint64_t kDeniedStride = 3;
constexpr std::uint64_t kCrossedStride = 3;

std::string answerPrefix(const engine::GenerateRequest& request) {
  std::string text;
  for (std::uint32_t offset = 0; offset < request.offset; ++offset) {
    text += expectedToken(request.servable, request.prompt, offset);
  }
  return text;
}

}  // namespace

Batch::Batch(const EngineModelOptions& options, Accelerators& accelerators, PrefixCache& prefixes)
    : options_(options),
      accelerators_(accelerators),
      prefixes_(prefixes),
      loads_(options.loadReportLag) {}

Batch::AttemptKey Batch::keyOf(const engine::GenerateRequest& request) {
  return {request.request, request.attempt};
}

bool Batch::isKnown(const AttemptKey& key) const {
  return running_.count(key) > 0 ||
         std::any_of(queue_.begin(), queue_.end(),
                     [&](const auto& queued) { return keyOf(queued.second.request) == key; });
}

bool Batch::isRunningElsewhere(const engine::GenerateRequest& request) const {
  const auto sameRequest = [&](const auto& entry) {
    return entry.second.request.request == request.request;
  };
  return std::any_of(running_.begin(), running_.end(), sameRequest) ||
         std::any_of(queue_.begin(), queue_.end(), sameRequest);
}

std::optional<base::Error> Batch::refusalOf(const engine::GenerateRequest& request,
                                            bool leaving) const {
  if (leaving) {
    return base::Error{base::ErrorCode::engineLeaving, "", "the engine takes no new work"};
  }
  if (request.maxTokens == 0) {
    return base::Error{base::ErrorCode::outOfRange, "max_tokens", "at least 1"};
  }
  const std::uint32_t count =
      expectedTokenCount(request.servable, request.prompt, request.maxTokens);
  if (request.offset > count) {
    return base::Error{base::ErrorCode::outOfRange, "offset", "past the end of the answer"};
  }
  if (running_.size() >= options_.maxRunning && queue_.size() >= options_.maxQueued) {
    return base::Error{base::ErrorCode::engineOverloaded, "", "the queue is full"};
  }
  return std::nullopt;
}

void Batch::checkSubmission(base::TimePoint now, const engine::GenerateRequest& request) {
  if (isRunningElsewhere(request)) {
    violations_.push_back({now, "same request running twice here: " + request.request.value});
  }
  if (request.delivered != answerPrefix(request)) {
    violations_.push_back(
        {now, "delivered text is not the answer's beginning: " + request.request.value});
  }
}

void Batch::submit(base::TimePoint now, const engine::GenerateRequest& request, bool leaving) {
  if (isKnown(keyOf(request))) {
    violations_.push_back({now, "same attempt sent twice: " + request.request.value});
    return;
  }
  std::optional<base::Error> refusal = refusalOf(request, leaving);
  std::optional<HeldKey> replica;
  if (!refusal) {
    replica = accelerators_.acquire(request.servable);
    if (!replica) {
      refusal = base::Error{base::ErrorCode::modelNotLoaded, "servable", "not ready here"};
    }
  }
  if (refusal) {
    events_.emplace_back(engine::GenerateFailed{request.request, request.attempt, *refusal,
                                                engine::GenerateFailed::Started::no});
    return;
  }
  checkSubmission(now, request);
  Attempt attempt;
  attempt.request = request;
  attempt.replica = *replica;
  attempt.nextOffset = request.offset;
  attempt.tokenCount = expectedTokenCount(request.servable, request.prompt, request.maxTokens);
  queue_.emplace(Place{request.priority == engine::Priority::batch, ++arrivals_},
                 std::move(attempt));
  startQueued(now);
  recordLoad(now);
}

void Batch::startQueued(base::TimePoint now) {
  while (!queue_.empty() && running_.size() < options_.maxRunning) {
    Attempt attempt = std::move(queue_.begin()->second);
    queue_.erase(queue_.begin());
    start(now, std::move(attempt));
  }
}

void Batch::start(base::TimePoint now, Attempt attempt) {
  const engine::GenerateRequest& request = attempt.request;
  const bool cachedPrefix = prefixes_.use(now, request.servable, request.prompt);
  base::Duration delay = options_.firstTokenDelay;
  if (request.kvSource) {
    delay = options_.tokenInterval;
  } else if (cachedPrefix) {
    delay = options_.firstTokenDelay / kPrefixSpeedup;
  }
  attempt.nextTokenAt = now + delay;
  ++starts_;
  attempt.denied = options_.sabotage.denyExecution && starts_ % kDeniedStride == 0;
  if (!attempt.denied) {
    events_.emplace_back(engine::GenerateStarted{request.request, request.attempt,
                                                 options_.incarnation, loads_.reported(now)});
  }
  const AttemptKey key = keyOf(request);
  const auto running = running_.emplace(key, std::move(attempt)).first;
  if (running->second.nextOffset == running->second.tokenCount) {
    finish(now, running);
  }
}

std::string Batch::tokenText(const AttemptKey& key, const Attempt& attempt) {
  const engine::GenerateRequest& request = attempt.request;
  ++tokens_;
  if (options_.sabotage.crossStreams && tokens_ % kCrossedStride == 0) {
    for (const auto& [otherKey, other] : running_) {
      if (otherKey.request != key.request) {
        return expectedToken(other.request.servable, other.request.prompt, other.nextOffset);
      }
    }
  }
  return expectedToken(request.servable, request.prompt, attempt.nextOffset);
}

void Batch::emitNext(base::TimePoint now, Running::iterator running) {
  Attempt& attempt = running->second;
  const engine::GenerateRequest& request = attempt.request;
  if (attempt.denied) {
    violations_.push_back({now, "denied an attempt that it ran: " + request.request.value});
    events_.emplace_back(engine::GenerateFailed{
        request.request, request.attempt,
        base::Error{base::ErrorCode::engineOverloaded, "", "the queue is full"},
        engine::GenerateFailed::Started::no});
    remove(now, running);
    return;
  }
  const bool last = attempt.nextOffset + 1 == attempt.tokenCount;
  if (last && options_.sabotage.dropLastToken) {
    attempt.tokenCount = attempt.nextOffset;
    finish(now, running);
    return;
  }
  events_.emplace_back(engine::GenerateToken{request.request, request.attempt, attempt.nextOffset,
                                             tokenText(running->first, attempt)});
  ++attempt.nextOffset;
  attempt.nextTokenAt += options_.tokenInterval;
  if (last) {
    finish(now, running);
  }
}

void Batch::finish(base::TimePoint now, Running::iterator running) {
  const Attempt& attempt = running->second;
  const bool limited = attempt.tokenCount == attempt.request.maxTokens;
  events_.emplace_back(engine::GenerateEnded{
      attempt.request.request, attempt.request.attempt, attempt.tokenCount,
      limited ? engine::FinishReason::length : engine::FinishReason::stop, loads_.reported(now)});
  remove(now, running);
}

void Batch::remove(base::TimePoint now, Running::iterator running) {
  const HeldKey replica = running->second.replica;
  running_.erase(running);
  accelerators_.release(now, replica);
  startQueued(now);
  recordLoad(now);
}

Batch::Queue::iterator Batch::findQueued(const AttemptKey& key) {
  return std::find_if(queue_.begin(), queue_.end(),
                      [&](const auto& queued) { return keyOf(queued.second.request) == key; });
}

void Batch::cancel(base::TimePoint now, const engine::CancelRequest& request) {
  if (options_.sabotage.runCancelledAttempts) {
    return;
  }
  const AttemptKey key{request.request, request.attempt};
  const auto running = running_.find(key);
  if (running != running_.end()) {
    remove(now, running);
    return;
  }
  const auto queued = findQueued(key);
  if (queued != queue_.end()) {
    accelerators_.release(now, queued->second.replica);
    queue_.erase(queued);
    recordLoad(now);
  }
}

engine::ExportResult Batch::exportKv(base::TimePoint now, const engine::ExportRequest& request) {
  const AttemptKey key{request.request, request.attempt};
  const auto running = running_.find(key);
  const auto queued = findQueued(key);
  if (running == running_.end() && queued == queue_.end()) {
    return base::Error{base::ErrorCode::unknownAttempt, "attempt", "not running here"};
  }
  engine::ExportReply reply;
  reply.handle =
      "kv-" + std::to_string(options_.incarnation.value) + "-" + std::to_string(++exports_);
  if (running != running_.end()) {
    reply.offset = running->second.nextOffset;
    remove(now, running);
  } else {
    reply.offset = queued->second.nextOffset;
    accelerators_.release(now, queued->second.replica);
    queue_.erase(queued);
    recordLoad(now);
  }
  return reply;
}

Batch::Running::iterator Batch::earliest() {
  return std::min_element(running_.begin(), running_.end(), [](const auto& a, const auto& b) {
    return a.second.nextTokenAt < b.second.nextTokenAt;
  });
}

void Batch::advance(base::TimePoint now) {
  for (auto next = earliest(); next != running_.end(); next = earliest()) {
    const base::TimePoint due = next->second.nextTokenAt;
    if (due > now) {
      return;
    }
    emitNext(due, next);
  }
}

base::TimePoint Batch::nextWakeup() const {
  base::TimePoint next = base::kNever;
  for (const auto& [key, attempt] : running_) {
    next = std::min(next, attempt.nextTokenAt);
  }
  return next;
}

void Batch::recordLoad(base::TimePoint now) {
  loads_.record(now, {static_cast<std::uint32_t>(running_.size()),
                      static_cast<std::uint32_t>(queue_.size())});
}

std::vector<engine::GenerateEvent> Batch::takeEvents() { return std::exchange(events_, {}); }

std::vector<Violation> Batch::takeViolations() { return std::exchange(violations_, {}); }

}  // namespace walnut::standin
