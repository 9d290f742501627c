#include "daemon/controller_metrics.h"

namespace walnut::daemon {

namespace {

/// Seconds. From a disk with a write cache of its own to one that is failing.
const std::vector<double> kSyncBounds = {0.0001, 0.00025, 0.0005, 0.001, 0.0025, 0.005, 0.01,
                                         0.025,  0.05,    0.1,    0.25,  0.5,    1};
const std::vector<double> kInputBounds = {1, 2, 4, 8, 16, 32, 64, 128, 256, 512, 1024};

}  // namespace

ControllerMetrics::ControllerMetrics()
    : syncs_(metrics_.counter("walnut_syncs_total", "Batches written and synced")),
      entries_(metrics_.counter("walnut_log_entries_total", "Log entries written")),
      apiCalls_(metrics_.counter("walnut_api_calls_total", "Requests of the resource API")),
      syncSeconds_(
          metrics_.histogram("walnut_sync_seconds", "Writing and syncing one batch", kSyncBounds)),
      inputsPerSync_(metrics_.histogram("walnut_inputs_per_sync", "Inputs that one sync served",
                                        kInputBounds)),
      leader_(metrics_.gauge("walnut_leader", "1 while this server leads its cell")),
      knowsLeader_(metrics_.gauge("walnut_knows_leader", "1 while a leader is known")),
      term_(metrics_.gauge("walnut_term", "Present term")),
      firstIndex_(metrics_.gauge("walnut_log_first_index", "First index of the log")),
      lastIndex_(metrics_.gauge("walnut_log_last_index", "Last index of the log")),
      commitIndex_(metrics_.gauge("walnut_log_commit_index", "Last committed index")),
      members_(metrics_.gauge("walnut_members", "Servers of the cell, learners included")),
      traffic_(metrics_) {}

void ControllerMetrics::observeSync(base::Duration duration, std::size_t inputs,
                                    std::size_t entries) {
  syncs_.Increment();
  entries_.Increment(static_cast<double>(entries));
  syncSeconds_.Observe(std::chrono::duration_cast<std::chrono::duration<double>>(duration).count());
  inputsPerSync_.Observe(static_cast<double>(inputs));
}

void ControllerMetrics::observeApiCall() { apiCalls_.Increment(); }

template <class Value>
void ControllerMetrics::count(OutcomeCounters& counters, const char* name, const char* help,
                              const base::Result<Value>& result) {
  const std::string outcome = result ? "ok" : base::errorCodeName(result.error().code);
  prometheus::Counter*& counter = counters[outcome];
  if (counter == nullptr) {
    counter = &metrics_.counter(name, help, {{"outcome", outcome}});
  }
  counter->Increment();
}

void ControllerMetrics::observeEngineCall(const engine::CallResult& result) {
  count(engineCalls_, "walnut_engine_calls_total", "Orders and reports by outcome", result);
}

void ControllerMetrics::observePlatformRead(const base::Result<engine::PlatformList>& result) {
  count(platformReads_, "walnut_platform_reads_total", "Readings of the platform list by outcome",
        result);
}

void ControllerMetrics::observeStatus(const consensus::RaftStatus& status) {
  leader_.Set(status.role == consensus::Role::leader ? 1 : 0);
  knowsLeader_.Set(status.leader == base::ServerId{} ? 0 : 1);
  term_.Set(static_cast<double>(status.term));
  firstIndex_.Set(static_cast<double>(status.firstIndex));
  lastIndex_.Set(static_cast<double>(status.lastIndex));
  commitIndex_.Set(static_cast<double>(status.commitIndex));
  members_.Set(static_cast<double>(status.membership.members.size()));
}

std::string ControllerMetrics::text(const transport::TrafficCounters& traffic) {
  traffic_.update(traffic);
  return metrics_.text();
}

}  // namespace walnut::daemon
