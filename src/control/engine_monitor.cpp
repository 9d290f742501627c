#include "control/engine_monitor.h"

#include <algorithm>

namespace walnut::control {

namespace {
/// Factor by which the report interval grows for an engine that holds nothing: the only news it can
/// report is that it is leaving.
constexpr int kEmptyEngineIntervalFactor = 2;
/// Number of report intervals without a report after which an engine gets no new replicas.
constexpr int kResponsiveIntervals = 6;
}  // namespace

void EngineMonitor::setDue(const base::EngineId& engine, Channel& channel, base::TimePoint at) {
  dueReports_.erase({channel.reportDueAt, engine});
  channel.reportDueAt = at;
  if (!channel.call) {
    dueReports_.insert({at, engine});
  }
}

void EngineMonitor::track(base::TimePoint now, const base::EngineId& engine,
                          const base::Endpoint& endpoint) {
  const auto [entry, added] = channels_.try_emplace(engine);
  Channel& channel = entry->second;
  if (!added && channel.endpoint == endpoint) {
    return;
  }
  if (channel.call) {
    callsInFlight_.erase(*channel.call);
    channel.call.reset();
    channel.order.reset();
  }
  channel.endpoint = endpoint;
  channel.report.reset();  // A different process may answer at the new endpoint.
  setDue(engine, channel, now);
}

std::set<base::EngineId> EngineMonitor::engines() const {
  std::set<base::EngineId> engines;
  for (const auto& [engine, channel] : channels_) {
    engines.insert(engines.end(), engine);
  }
  return engines;
}

void EngineMonitor::forget(const base::EngineId& engine) {
  const auto found = channels_.find(engine);
  if (found == channels_.end()) {
    return;
  }
  if (found->second.call) {
    callsInFlight_.erase(*found->second.call);
  }
  dueReports_.erase({found->second.reportDueAt, engine});
  failingEngines_.erase(engine);
  channels_.erase(found);
}

void EngineMonitor::setBusy(base::TimePoint now, const base::EngineId& engine, bool busy) {
  const auto found = channels_.find(engine);
  if (found == channels_.end()) {
    return;
  }
  Channel& channel = found->second;
  channel.busy = busy;
  const base::TimePoint soon = now + busyInterval();
  if (busy && soon < channel.reportDueAt) {
    setDue(engine, channel, soon);
  }
}

void EngineMonitor::tick(base::TimePoint now, bool mayCall) {
  mayCall_ = mayCall;
  while (mayCall_ && !dueReports_.empty() && dueReports_.begin()->first <= now) {
    const base::EngineId engine = dueReports_.begin()->second;
    Channel& channel = channels_.at(engine);
    dueReports_.erase(dueReports_.begin());
    send(engine, channel, engine::ReportRequest{nextToken()});
  }
}

base::TimePoint EngineMonitor::nextWakeup() const {
  return dueReports_.empty() || !mayCall_ ? base::kNever : dueReports_.begin()->first;
}

void EngineMonitor::send(const base::EngineId& engine, Channel& channel, engine::Call request) {
  const std::uint64_t call = nextCall_++;
  channel.call = call;
  callsInFlight_[call] = engine;
  actions_.emplace_back(EngineCall{call, engine, channel.endpoint, std::move(request)});
}

bool EngineMonitor::canSendOrder(const base::EngineId& engine) const {
  const auto found = channels_.find(engine);
  return mayCall_ && found != channels_.end() && found->second.report && !found->second.call &&
         !found->second.fencedOff;
}

engine::FencingToken EngineMonitor::sendOrder(base::TimePoint now, const base::EngineId& engine,
                                              engine::Order order) {
  Channel& channel = channels_.at(engine);
  order.token = nextToken();
  dueReports_.erase({channel.reportDueAt, engine});
  channel.reportDueAt = std::min(channel.reportDueAt, now + busyInterval());
  channel.order = order;
  send(engine, channel, order);
  return order.token;
}

base::Duration EngineMonitor::pollInterval(const Channel& channel) const {
  if (channel.busy) {
    return busyInterval();
  }
  const bool empty = channel.report && channel.report->held.empty();
  return options_.reportInterval * (empty ? kEmptyEngineIntervalFactor : 1);
}

std::optional<base::EngineId> EngineMonitor::engineOf(const EngineCallFinished& call) const {
  const auto known = callsInFlight_.find(call.call);
  return known == callsInFlight_.end() ? std::nullopt : std::optional(known->second);
}

std::optional<FinishedCall> EngineMonitor::callFinished(base::TimePoint now,
                                                        const EngineCallFinished& call) {
  const auto known = callsInFlight_.find(call.call);
  if (known == callsInFlight_.end()) {
    return std::nullopt;
  }
  const base::EngineId engine = known->second;
  callsInFlight_.erase(known);
  Channel& channel = channels_.at(engine);
  FinishedCall finished{engine, std::move(channel.order), call.result};
  channel.call.reset();
  channel.order.reset();
  base::TimePoint due = channel.reportDueAt;
  if (call.result.has_error()) {
    channel.fencedOff =
        channel.fencedOff || call.result.error().code == base::ErrorCode::staleOrder;
    due = now + pollInterval(channel);
  } else if (const auto* report = std::get_if<engine::Report>(&call.result.value())) {
    channel.report = *report;
    channel.reportedAt = now;
    due = now + pollInterval(channel);
  }
  setDue(engine, channel, due);
  return finished;
}

const engine::Report* EngineMonitor::report(const base::EngineId& engine) const {
  const auto found = channels_.find(engine);
  return found == channels_.end() || !found->second.report ? nullptr : &*found->second.report;
}

std::optional<base::TimePoint> EngineMonitor::reportedAt(const base::EngineId& engine) const {
  const auto found = channels_.find(engine);
  if (found == channels_.end() || !found->second.report) {
    return std::nullopt;
  }
  return found->second.reportedAt;
}

void EngineMonitor::setFailing(const base::EngineId& engine, bool failing) {
  if (failing) {
    failingEngines_.insert(engine);
  } else {
    failingEngines_.erase(engine);
  }
}

bool EngineMonitor::isResponsive(base::TimePoint now, const base::EngineId& engine) const {
  const auto at = reportedAt(engine);
  return at && now < *at + options_.reportInterval * kResponsiveIntervals;
}

std::optional<engine::CacheTier> EngineMonitor::nearestCacheTier(
    const base::EngineId& engine, const std::string& checkpoint) const {
  std::optional<engine::CacheTier> nearest;
  const engine::Report* known = report(engine);
  if (known == nullptr) {
    return nearest;
  }
  for (const engine::CachedCheckpoint& cached : known->cached) {
    if (cached.checkpoint == checkpoint) {
      nearest = std::min(nearest.value_or(cached.tier), cached.tier);
    }
  }
  return nearest;
}

}  // namespace walnut::control
