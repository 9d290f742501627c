#include "daemon/router_settings.h"

#include <algorithm>

#include "daemon/arguments.h"

namespace walnut::daemon {

namespace {

constexpr std::int64_t kMaxCellNumber = 65535;
constexpr std::int64_t kSecond = 1000;  ///< In milliseconds, as all bounds of times here.
constexpr std::int64_t kMinute = 60 * kSecond;
constexpr std::int64_t kHour = 60 * kMinute;
constexpr std::int64_t kMaxThreads = 16384;
constexpr std::int64_t kMaxQueue = 1'000'000;

template <class Value>
std::int64_t asInteger(Value value) {
  return static_cast<std::int64_t>(value);
}

}  // namespace

RouterSettingsBinder::RouterSettingsBinder()
    : keys_("walnut-router", "Takes requests of callers and hands them to model engines."),
      maxQueuedPerTarget_(asInteger(settings_.logic.maxQueuedPerTarget)),
      maxQueued_(asInteger(settings_.logic.maxQueued)),
      maxRunningPerReplica_(settings_.logic.maxRunningPerReplica),
      maxAttempts_(settings_.logic.maxAttempts),
      breakerFailures_(settings_.logic.breakerFailures),
      maxKeptStates_(settings_.logic.maxStoredStates),
      maxConnections_(settings_.api.maxConnections),
      maxStreams_(asInteger(settings_.streams.maxStreams)),
      callThreads_(asInteger(settings_.calls.threads)),
      callsPerEngine_(asInteger(settings_.calls.perEndpoint)) {
  settings_.api.listen = {"127.0.0.1", 0};
  declarePlace();
  declareFreshness();
  declareAdmission();
  declareAttempts();
  declareEdges();
}

void RouterSettingsBinder::declarePlace() {
  keys_.addEndpointList("controllers", settings_.logic.controllers,
                        "Servers of the cell (peer addresses) to begin with; one is enough");
  keys_.addEndpoint("listen", settings_.api.listen,
                    "Address of the callers' API; port 0: picked by the kernel");
  keys_.addString("zone", zone_, "Availability zone of this process");
  keys_.addInteger("region", region_, 0, kMaxCellNumber, "Region of the cell");
  keys_.addInteger("cell", cell_, 0, kMaxCellNumber, "Number of the cell within the region");
  keys_.addString("ready-file", settings_.readyFile,
                  "File that gets the ready line once the router listens");
}

void RouterSettingsBinder::declareFreshness() {
  routing::RouterOptions& logic = settings_.logic;
  keys_.addChoice("when-unconfirmed", whenUnconfirmed_, {"refuse", "serve"},
                  "New requests while the configuration can't be confirmed as current");
  keys_.addMillis("probe-interval-ms", logic.probeInterval, 10, kMinute,
                  "Between two probes of the controllers");
  keys_.addMillis("freshness-limit-ms", logic.freshnessLimit, 100, kHour,
                  "Age of the last confirmation from which when-unconfirmed rules");
  keys_.addMillis("demand-interval-ms", logic.demandInterval, 10, kMinute,
                  "Between two reports of demand to the leader");
}

void RouterSettingsBinder::declareAdmission() {
  routing::RouterOptions& logic = settings_.logic;
  keys_.addMillis("default-deadline-ms", logic.defaultDeadline, 1, 24 * kHour,
                  "Deadline of a request that has none");
  keys_.addMillis("max-deadline-ms", logic.maxDeadline, 1, 24 * kHour, "Latest deadline accepted");
  keys_.addInteger("max-queued-per-target", maxQueuedPerTarget_, 1, kMaxQueue,
                   "Requests that may wait for one model or adapter");
  keys_.addInteger("max-queued", maxQueued_, 1, kMaxQueue, "Requests that may wait in all");
  keys_.addInteger("max-running-per-replica", maxRunningPerReplica_, 1, kMaxQueue,
                   "Requests that this router runs on one replica at once");
  keys_.addMillis("initial-load-estimate-ms", logic.initialLoadEstimate, 1, kHour,
                  "Estimate of a load's time until one was seen");
  keys_.addMillis("claim-timeout-ms", logic.claimTimeout, 10, kMinute,
                  "Wait for the claim of an idempotency key");
  keys_.addMillis("claim-window-ms", logic.claimWindow, kSecond, 24 * kHour,
                  "How long the cell keeps claims; as the controllers' setting");
}

void RouterSettingsBinder::declareAttempts() {
  routing::RouterOptions& logic = settings_.logic;
  keys_.addInteger("max-attempts", maxAttempts_, 1, 100, "Attempts for one request");
  keys_.addReal("retry-budget-ratio", logic.retryBudgetRatio, 0, 10,
                "Retries for each first attempt");
  keys_.addMillis("retry-backoff-min-ms", logic.retryBackoffMin, 1, kMinute, "First backoff");
  keys_.addMillis("retry-backoff-max-ms", logic.retryBackoffMax, 1, kMinute, "Longest backoff");
  keys_.addInteger("breaker-failures", breakerFailures_, 1, 1000,
                   "Consecutive failures that open an engine's circuit breaker");
  keys_.addMillis("breaker-open-ms", logic.breakerOpenFor, 1, kHour,
                  "How long an open circuit breaker keeps requests away");
  keys_.addInteger("max-kept-states", maxKeptStates_, 0, 1024,
                   "Exported states kept here while no engine can hold them");
  keys_.addInteger("max-state-megabytes", maxStateMegabytes_, 4, 65536,
                   "Largest exported state that is kept here, in MiB");
  keys_.addMillis("start-timeout-ms", logic.startTimeout, 1, kHour,
                  "From handing over an attempt to its start");
  keys_.addMillis("token-timeout-ms", logic.tokenTimeout, 1, kHour, "Between events of a stream");
}

void RouterSettingsBinder::declareEdges() {
  keys_.addMillis("connect-timeout-ms", settings_.calls.connectTimeout, 1, kMinute,
                  "Connecting to an engine");
  keys_.addMillis("call-timeout-ms", settings_.callTimeout, 1, kMinute,
                  "Calls of engines, generations excluded");
  keys_.addMillis("cache-poll-interval-ms", settings_.cachePollInterval, 50, kHour,
                  "Between polls of the prefix cache events of an engine in use");
  keys_.addMillis("stop-timeout-ms", settings_.stopTimeout, 0, 24 * kHour,
                  "Longest time that a planned stop waits for requests in flight");
  keys_.addInteger("max-connections", maxConnections_, 1, kMaxThreads,
                   "Connections of callers served at once, a thread each");
  keys_.addInteger("max-streams", maxStreams_, 1, kMaxThreads, "Attempts at once, a thread each");
  keys_.addInteger("call-threads", callThreads_, 1, 1024, "Threads for calls of engines");
  keys_.addInteger("calls-per-engine", callsPerEngine_, 1, 64, "Calls to one engine at once");
}

base::Result<void> RouterSettingsBinder::resolve() {
  routing::RouterOptions& logic = settings_.logic;
  if (logic.controllers.empty()) {
    return base::Error{base::ErrorCode::missingField, "controllers", "at least one is required"};
  }
  if (logic.retryBackoffMax < logic.retryBackoffMin) {
    return base::Error{base::ErrorCode::outOfRange, "retry-backoff-max-ms",
                       "accepted: at least retry-backoff-min-ms"};
  }
  logic.cell = {static_cast<std::uint16_t>(region_), static_cast<std::uint16_t>(cell_)};
  logic.zone = {zone_};
  logic.unconfirmedPolicy = whenUnconfirmed_ == "serve" ? routing::UnconfirmedPolicy::serve
                                                        : routing::UnconfirmedPolicy::refuse;
  logic.maxQueuedPerTarget = static_cast<std::size_t>(maxQueuedPerTarget_);
  logic.maxQueued = static_cast<std::size_t>(maxQueued_);
  logic.maxRunningPerReplica = static_cast<std::uint32_t>(maxRunningPerReplica_);
  logic.maxAttempts = static_cast<std::uint32_t>(maxAttempts_);
  logic.breakerFailures = static_cast<std::uint32_t>(breakerFailures_);
  logic.maxStoredStates = static_cast<std::uint32_t>(maxKeptStates_);
  settings_.calls.maxReplyBytes = static_cast<std::size_t>(maxStateMegabytes_) << 20U;
  settings_.api.maxConnections = static_cast<int>(maxConnections_);
  settings_.streams.maxStreams = static_cast<std::size_t>(maxStreams_);
  settings_.streams.stream.connectTimeout = settings_.calls.connectTimeout;
  // Frees the thread of an attempt that the logic has given up without a cancel.
  settings_.streams.stream.silenceTimeout = 2 * std::max(logic.startTimeout, logic.tokenTimeout);
  settings_.calls.threads = static_cast<std::size_t>(callThreads_);
  settings_.calls.perEndpoint = static_cast<std::size_t>(callsPerEngine_);
  return base::success();
}

runtime::Settings::Parsed RouterSettingsBinder::parse(int argc, char** argv) {
  Arguments arguments(argc, argv);
  return arguments.parse(keys_, "walnut-router", [this] { return resolve(); });
}

}  // namespace walnut::daemon
