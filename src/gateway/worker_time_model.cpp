#include "gateway/worker_time_model.h"

#include <algorithm>
#include <cmath>

namespace walnut::gateway {

namespace {

constexpr double kMaxShare = 0.9;
/// Time over which the leader averages the prompt share. A prompt adds its reading time divided by
/// this to the share.
constexpr double kShareSeconds = 1;
/// Cost of the pauses relative to the time to the first event: a pause makes a stream late as a
/// late first event does.
constexpr double kHarmFactor = 1.5;
/// Part of the harm that doesn't depend on the number of running streams.
constexpr double kLeastHarmed = 0.5;
constexpr double kDefaultSlots = 8;
/// Coefficients until a stream of the service was measured.
constexpr registry::PromptTimeFit::Coefficients kUnmeasured{0.04, 40e-6};
/// Tokens assumed of a prompt whose length isn't known: the prompt share must count for it, too.
constexpr double kUnknownPrompt = 1000;
/// Bounds of the leader's estimates. Anything beyond them is not an estimate of its.
constexpr double kMinSlowness = 0.25;
constexpr double kMaxSlowness = 4;

double seconds(base::Duration duration) { return std::chrono::duration<double>(duration).count(); }

}  // namespace

WorkerTime expectedTime(const WorkerTimeFacts& facts) {
  const double perToken = facts.slowness * facts.usual.secondsPerToken;
  const double read = perToken * facts.promptTokens;
  const double added = (read + perToken * facts.ownTokens) / kShareSeconds;
  const double share = std::clamp(facts.promptShare + added, 0.0, kMaxShare);
  // Mean wait for the prompts ahead: that of a queue with random arrivals (M/D/1).
  const double ahead = read * share / (2 * (1 - share));
  const double slots = facts.slots == 0 ? kDefaultSlots : static_cast<double>(facts.slots);
  const double occupied = std::min(1.0, facts.running / slots);
  const double harmed = kLeastHarmed + (1 - kLeastHarmed) * occupied;
  return {facts.slowness * facts.usual.fixedSeconds + read + ahead,
          kHarmFactor * harmed * read / ((1 - share) * (1 - share))};
}

void WorkerTimeModel::timingsReceived(const registry::WorkerTimings& update, base::TimePoint now) {
  if (update.complete) {
    figures_.clear();
  }
  constexpr double kPercent = 100;
  for (const registry::WorkerTiming& timing : update.workers) {
    figures_[timing.worker] = {
        std::clamp(timing.slownessPercent / kPercent, kMinSlowness, kMaxSlowness),
        std::min(timing.promptSharePercent / kPercent, 1.0)};
  }
  leaderHeard(now);
}

void WorkerTimeModel::forget(const registry::WorkerId& worker) {
  figures_.erase(worker);
  ownPrompts_.erase(worker);
}

void WorkerTimeModel::promptSent(const registry::WorkerId& worker, std::uint64_t tokens,
                                 base::TimePoint now) {
  std::deque<Prompt>& prompts = ownPrompts_[worker];
  while (!prompts.empty() && prompts.front().sentAt + kOwnPromptTime <= now) {
    prompts.pop_front();
  }
  prompts.push_back({now, tokens});
}

void WorkerTimeModel::streamBegan(const std::string& service, const registry::WorkerId& worker,
                                  std::uint64_t promptTokens, base::Duration time,
                                  base::TimePoint now) {
  registry::PromptTimeFit& fit = fits_[service];
  const double usualTime = seconds(time) / slowness(worker, now);
  fit.add(1, static_cast<double>(promptTokens), usualTime, now);
}

/// Returns the weight of the leader's estimates: 1 while they are current, 0 once they are
/// outdated.
double WorkerTimeModel::weight(base::TimePoint now) const {
  return std::clamp(2 - seconds(now - heardAt_) / seconds(kLifetime), 0.0, 1.0);
}

double WorkerTimeModel::slowness(const registry::WorkerId& worker, base::TimePoint now) const {
  const auto found = figures_.find(worker);
  return found == figures_.end() ? 1 : std::pow(found->second.slowness, weight(now));
}

double WorkerTimeModel::promptShare(const registry::WorkerId& worker, base::TimePoint now) const {
  const auto found = figures_.find(worker);
  return found == figures_.end() ? 0 : found->second.promptShare * weight(now);
}

double WorkerTimeModel::ownTokens(const registry::WorkerId& worker, base::TimePoint now) const {
  const auto found = ownPrompts_.find(worker);
  if (found == ownPrompts_.end()) {
    return 0;
  }
  double sum = 0;
  for (const Prompt& prompt : found->second) {
    sum += prompt.sentAt + kOwnPromptTime > now ? static_cast<double>(prompt.tokens) : 0;
  }
  return sum;
}

WorkerTime WorkerTimeModel::timeAt(const std::string& service, const registry::WorkerId& worker,
                                   std::uint32_t running, std::uint32_t slots,
                                   std::uint64_t promptTokens, base::TimePoint now) const {
  const auto fit = fits_.find(service);
  WorkerTimeFacts facts;
  facts.slowness = slowness(worker, now);
  facts.promptShare = promptShare(worker, now);
  facts.running = running;
  facts.slots = slots;
  facts.ownTokens = ownTokens(worker, now);
  facts.promptTokens = promptTokens == 0 ? kUnknownPrompt : static_cast<double>(promptTokens);
  facts.usual =
      fit == fits_.end() || fit->second.empty() ? kUnmeasured : fit->second.coefficients();
  return expectedTime(facts);
}

}  // namespace walnut::gateway
