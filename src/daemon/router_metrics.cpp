#include "daemon/router_metrics.h"

#include <limits>

namespace walnut::daemon {

namespace {

/// Seconds. From a warm engine next door to a load from the remote store.
const std::vector<double> kFirstTokenBounds = {0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5,
                                               1,     2.5,  5,     10,   30,  60,   120};
/// Seconds. An engine gives a token every few tens of milliseconds.
const std::vector<double> kTokenIntervalBounds = {0.001, 0.0025, 0.005, 0.01, 0.025, 0.05,
                                                  0.1,   0.25,   0.5,   1,    2.5,   5};

double seconds(base::Duration duration) {
  return std::chrono::duration_cast<std::chrono::duration<double>>(duration).count();
}

}  // namespace

RouterMetrics::RouterMetrics()
    : arrivals_(metrics_.counter("walnut_requests_total", "Requests of callers")),
      tokens_(metrics_.counter("walnut_tokens_total", "Tokens given to callers")),
      coldStarts_(metrics_.counter("walnut_cold_starts_total",
                                   "Answered requests that found no ready replica")),
      attempts_(metrics_.counter("walnut_attempts_total", "Attempts handed to engines")),
      retries_(metrics_.counter("walnut_retries_total",
                                "Attempts that were not the first of their request")),
      moves_(metrics_.counter("walnut_streams_moved_total",
                              "Attempts that went on from another engine's exported state")),
      parked_(metrics_.counter("walnut_streams_parked_total",
                               "Exported states that another engine holds until a replica is "
                               "ready")),
      holdsRefused_(metrics_.counter("walnut_holds_refused_total",
                                     "Engines that did not hold an exported state when asked")),
      kept_(metrics_.counter("walnut_states_kept_total",
                             "Exported states that this router kept, since no engine could")),
      firstToken_(metrics_.histogram("walnut_first_token_seconds",
                                     "From a request's arrival to its first token",
                                     kFirstTokenBounds)),
      coldFirstToken_(metrics_.histogram("walnut_cold_first_token_seconds",
                                         "As walnut_first_token_seconds, of cold starts alone",
                                         kFirstTokenBounds)),
      tokenInterval_(metrics_.histogram("walnut_token_interval_seconds",
                                        "Between two tokens of an answer", kTokenIntervalBounds)),
      queued_(metrics_.gauge("walnut_queued_requests", "Requests that wait for an engine")),
      running_(metrics_.gauge("walnut_running_requests", "Requests that an engine runs")),
      ready_(metrics_.gauge("walnut_ready", "1 while the configuration is confirmed")),
      configurationAge_(metrics_.gauge("walnut_configuration_age_seconds",
                                       "Since the configuration was last known to be current")),
      appliedIndex_(metrics_.gauge("walnut_applied_index",
                                   "Log index of the configuration in force at this router")),
      traffic_(metrics_) {}

prometheus::Counter& RouterMetrics::outcome(const std::string& name) {
  prometheus::Counter*& counter = outcomes_[name];
  if (counter == nullptr) {
    counter = &metrics_.counter("walnut_outcomes_total", "Terminal answers by outcome",
                                {{"outcome", name}});
  }
  return *counter;
}

prometheus::Counter& RouterMetrics::attemptFailure(base::ErrorCode code) {
  prometheus::Counter*& counter = attemptFailures_[code];
  if (counter == nullptr) {
    counter = &metrics_.counter("walnut_attempt_failures_total", "Failed attempts by error",
                                {{"error", base::errorCodeName(code)}});
  }
  return *counter;
}

void RouterMetrics::observeArrival() { arrivals_.Increment(); }

void RouterMetrics::observeFirstToken(base::Duration sinceArrival) {
  tokens_.Increment();
  firstToken_.Observe(seconds(sinceArrival));
}

void RouterMetrics::observeTokenInterval(base::Duration interval) {
  tokens_.Increment();
  tokenInterval_.Observe(seconds(interval));
}

void RouterMetrics::observeEnd(const routing::CallerEnded& ended, base::Duration firstToken) {
  outcome("answered").Increment();
  if (ended.cold) {
    coldStarts_.Increment();
    coldFirstToken_.Observe(seconds(firstToken));
  }
}

void RouterMetrics::observeRefusal(const routing::CallerRefused& refused) {
  outcome(base::errorCodeName(refused.error.code)).Increment();
}

void RouterMetrics::observeCallerGone() { outcome("caller_gone").Increment(); }

void RouterMetrics::observeAttempt(bool repeated) {
  attempts_.Increment();
  if (repeated) {
    retries_.Increment();
  }
}

void RouterMetrics::observeMove() { moves_.Increment(); }

void RouterMetrics::observeKept() { kept_.Increment(); }

void RouterMetrics::observeHold(bool held) { (held ? parked_ : holdsRefused_).Increment(); }

void RouterMetrics::observeAttemptFailure(const engine::GenerateFailed& failed) {
  attemptFailure(failed.error.code).Increment();
}

void RouterMetrics::observeStatus(base::TimePoint now, const routing::RouterStatus& status) {
  queued_.Set(static_cast<double>(status.queued));
  running_.Set(static_cast<double>(status.running));
  ready_.Set(status.ready ? 1 : 0);
  const bool neverConfirmed = status.confirmedAt == base::TimePoint();
  configurationAge_.Set(neverConfirmed ? std::numeric_limits<double>::infinity()
                                       : seconds(now - status.confirmedAt));
  appliedIndex_.Set(static_cast<double>(status.appliedIndex));
}

std::string RouterMetrics::text(const transport::TrafficCounters& traffic) {
  traffic_.update(traffic);
  return metrics_.text();
}

}  // namespace walnut::daemon
