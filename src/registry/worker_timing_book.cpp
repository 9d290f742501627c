#include "registry/worker_timing_book.h"

#include <algorithm>
#include <utility>

namespace walnut::registry {

namespace {

/// @name Time constants of the decay
/// The recent mean follows a slowness that lasts 600 ms; the lasting one averages over many of
/// them.
/// @{
constexpr double kLastingSeconds = 10;
constexpr double kRecentSeconds = 0.7;
constexpr double kTokenSeconds = 1;
/// @}
/// @name Weight of the priors, in samples
/// Two streams in half a second at 2.5 times the usual time raise the estimate above 1.4; one
/// stream alone, however slow, doesn't raise it to 1.5.
/// @{
constexpr double kLastingPrior = 8;
constexpr double kRecentPrior = 2;
/// @}
/// Bound of the factor by which one sample counts as slower or faster than expected: a single
/// stream may have waited for something else than its worker.
const double kMaxLogRatio = std::log(2.5);
/// Least deviation from the estimate, as a logarithm, of a sample that may show a changed speed.
const double kMinOutlier = std::log(1.5);
constexpr double kMinSlowness = 0.25;
constexpr double kMaxSlowness = 4;
constexpr double kMaxShare = 0.99;
/// Bound of the prompt share in the expected queueing time, which grows without limit towards 1.
constexpr double kMaxQueueingShare = 0.8;
/// Prompt share from which on samples count less: the variance of the queueing time grows with it.
constexpr double kCrowdedShare = 0.2;
constexpr double kMinSampleWeight = 0.25;
/// @name Smallest changes that are published
/// @{
constexpr double kMinChange = 0.15;
constexpr double kMinShareChangePercent = 5;
/// @}
constexpr double kLoggedFactor = 1.5;
constexpr base::Duration kMaxTime = std::chrono::minutes(1);
/// Maximum prompt tokens of one stream that are possible at all.
constexpr std::uint64_t kMaxTokens = 100'000'000;

double seconds(base::Duration duration) { return std::chrono::duration<double>(duration).count(); }

std::uint32_t percent(double value) {
  constexpr double kPercent = 100;
  return static_cast<std::uint32_t>(std::lround(kPercent * value));
}

bool isPossible(const WorkerTimingSample& sample) {
  return sample.streams > 0 && sample.promptTokens > 0 &&
         sample.promptTokens <= kMaxTokens * sample.streams &&
         sample.firstEvents >= base::Duration::zero() &&
         sample.firstEvents <= kMaxTime * sample.streams;
}

/// Returns the mean wait for other prompts in units of the time to read one: that of a queue with
/// random arrivals and equal service times (M/D/1).
double queueingFactor(double share) {
  const double bounded = std::min(share, kMaxQueueingShare);
  return bounded / (2 * (1 - bounded));
}

bool differs(std::uint32_t value, std::uint32_t former, double least) {
  const double limit = std::max(least, kMinChange * former);
  return std::abs(static_cast<double>(value) - former) > limit;
}

}  // namespace

WorkerTimingBook::Taken WorkerTimingBook::report(const WorkerTimingReport& report,
                                                 const ServiceOf& serviceOf, base::TimePoint now) {
  Taken taken;
  if (report.span < base::Duration::zero() || report.span > kMaxSpan) {
    taken.tooOld = true;
    return taken;
  }
  for (const WorkerTimingSample& sample : report.samples) {
    if (!isPossible(sample)) {
      ++taken.impossible;
    } else if (const std::string* service = serviceOf(sample.worker)) {
      add(sample, *service, now);
    }
  }
  return taken;
}

void WorkerTimingBook::add(const WorkerTimingSample& sample, const std::string& service,
                           base::TimePoint now) {
  Estimate& estimate = estimates_[sample.worker];
  estimate.service = service;
  estimate.samples += sample.streams;
  estimate.pauses += sample.pauses;
  const auto tokens = static_cast<double>(sample.promptTokens);
  if (sample.firstEvents > base::Duration::zero()) {
    const auto streams = static_cast<double>(sample.streams);
    double time = seconds(sample.firstEvents);
    PromptTimeFit& fit = fits_[service];
    if (fit.empty()) {
      fit.add(streams, tokens, time, now);
    }
    const PromptTimeFit::Coefficients usual = fit.coefficients();
    const double share = promptShare(estimate, now);
    const double expected =
        usual.fixedSeconds * streams + usual.secondsPerToken * tokens * (1 + queueingFactor(share));
    const double ratio = std::clamp(std::log(time / expected), -kMaxLogRatio, kMaxLogRatio);
    const double weight =
        streams * std::clamp((1 - share) / (1 - kCrowdedShare), kMinSampleWeight, 1.0);
    addRecent(estimate, ratio, weight, now);
    estimate.lasting.add(ratio, weight, now, kLastingSeconds);
    if (fit.settled()) {
      time = std::min(time, expected * kMaxSlowness);
    }
    fit.add(streams, tokens, time, now);
  }
  estimate.tokens.add(tokens, 1, now, kTokenSeconds);
}

/// Adds a sample to the recent mean. Two samples in a row that differ from the estimate in the same
/// direction replace the earlier ones: the speed has changed.
void WorkerTimingBook::addRecent(Estimate& estimate, double ratio, double weight,
                                 base::TimePoint now) {
  const double deviation = ratio - logSlowness(estimate, now);
  const std::optional<Outlier> former = std::exchange(estimate.outlier, std::nullopt);
  if (std::abs(deviation) > kMinOutlier) {
    estimate.outlier = {ratio, weight, deviation > 0, now};
    if (former && former->above == estimate.outlier->above) {
      estimate.recent = {};
      estimate.recent.add(former->ratio, former->weight, former->at, kRecentSeconds);
    }
  }
  estimate.recent.add(ratio, weight, now, kRecentSeconds);
}

void WorkerTimingBook::forget(const WorkerId& worker) { estimates_.erase(worker); }

void WorkerTimingBook::forgetServices(const std::function<bool(const std::string&)>& measured) {
  for (auto entry = estimates_.begin(); entry != estimates_.end();) {
    entry = measured(entry->second.service) ? std::next(entry) : estimates_.erase(entry);
  }
  for (auto entry = fits_.begin(); entry != fits_.end();) {
    entry = measured(entry->first) ? std::next(entry) : fits_.erase(entry);
  }
}

/// Returns the logarithm of the slowness relative to the fit.
double WorkerTimingBook::logSlowness(const Estimate& estimate, base::TimePoint now) {
  const double lasting = estimate.lasting.mean(now, kLastingSeconds, 0, kLastingPrior);
  return estimate.recent.mean(now, kRecentSeconds, lasting, kRecentPrior);
}

double WorkerTimingBook::promptShare(const Estimate& estimate, base::TimePoint now) const {
  const auto fit = fits_.find(estimate.service);
  if (fit == fits_.end()) {
    return 0;
  }
  const double tokensPerSecond = estimate.tokens.sum(now, kTokenSeconds) / kTokenSeconds;
  const double secondsPerToken = fit->second.coefficients().secondsPerToken;
  return std::min(kMaxShare,
                  tokensPerSecond * secondsPerToken * std::exp(logSlowness(estimate, now)));
}

std::map<std::string, double> WorkerTimingBook::medians(base::TimePoint now) const {
  std::map<std::string, std::vector<double>> logs;
  for (const auto& [id, estimate] : estimates_) {
    logs[estimate.service].push_back(estimate.lasting.mean(now, kLastingSeconds, 0, kLastingPrior));
  }
  std::map<std::string, double> medians;
  for (auto& [service, values] : logs) {
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    medians[service] = *middle;
  }
  return medians;
}

std::vector<WorkerTimingBook::Change> WorkerTimingBook::review(base::TimePoint now) {
  nextReview_ = now + kInterval;
  ++revision_;
  const std::map<std::string, double> medianOf = medians(now);
  std::vector<Change> changes;
  for (auto& [id, estimate] : estimates_) {
    const double slowness =
        std::clamp(std::exp(logSlowness(estimate, now) - medianOf.at(estimate.service)),
                   kMinSlowness, kMaxSlowness);
    const WorkerTiming timing{id, percent(slowness), percent(promptShare(estimate, now))};
    publish(estimate, timing);
    const double factor = static_cast<double>(timing.slownessPercent) / estimate.loggedPercent;
    const bool logged = factor >= kLoggedFactor || factor <= 1 / kLoggedFactor;
    if (logged && now >= estimate.loggedAt + kLogInterval) {
      changes.push_back({timing, estimate.loggedPercent, estimate.samples, estimate.pauses});
      estimate.loggedPercent = timing.slownessPercent;
      estimate.loggedAt = now;
      estimate.samples = 0;
      estimate.pauses = 0;
    }
  }
  return changes;
}

void WorkerTimingBook::publish(Estimate& estimate, const WorkerTiming& timing) {
  const bool changed = !estimate.published ||
                       differs(timing.slownessPercent, estimate.published->slownessPercent, 0) ||
                       differs(timing.promptSharePercent, estimate.published->promptSharePercent,
                               kMinShareChangePercent);
  if (changed) {
    estimate.published = timing;
    estimate.revision = revision_;
  }
}

std::optional<WorkerTimings> WorkerTimingBook::takeUpdate(std::uint64_t& revision) const {
  WorkerTimings update;
  update.complete = revision == 0;
  for (const auto& [id, estimate] : estimates_) {
    if (estimate.published && estimate.revision > revision) {
      update.workers.push_back(*estimate.published);
    }
  }
  if (update.workers.empty()) {
    return std::nullopt;  // A gateway keeps the figures of a former leader until there are new
                          // ones.
  }
  revision = revision_;
  return update;
}

WorkerTimingMaxima WorkerTimingBook::maxima() const {
  WorkerTimingMaxima maxima;
  for (const auto& [id, estimate] : estimates_) {
    if (estimate.published) {
      maxima.slownessPercent =
          std::max(maxima.slownessPercent, estimate.published->slownessPercent);
      maxima.promptSharePercent =
          std::max(maxima.promptSharePercent, estimate.published->promptSharePercent);
    }
  }
  return maxima;
}

}  // namespace walnut::registry
