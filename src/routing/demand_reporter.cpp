#include "routing/demand_reporter.h"

#include <algorithm>

namespace walnut::routing {

namespace {
/// Interval of complete reports, which correct any undetected difference. No known fault needs
/// them.
constexpr base::Duration kCompleteInterval = std::chrono::seconds(30);
/// Heartbeat interval: five reports within the leader's demandLifetime.
constexpr base::Duration kHeartbeatInterval = std::chrono::seconds(1);
/// Interval for changes that only keep a replica from being unloaded as idle, which takes minutes.
constexpr base::Duration kLowPriorityInterval = std::chrono::seconds(5);
/// Minimum change of the number of running requests that is reported at once. The planner converts
/// them to replicas of 16 requests each (control/target_planner), so smaller changes don't matter.
constexpr std::uint32_t kMinRunningChange = 4;
/// Minimum interval between urgent reports, so that a burst over many targets takes few messages.
constexpr base::Duration kUrgentSpacing = std::chrono::milliseconds(10);

bool hasWaiting(const protocol::Demand& demand) {
  return demand.waitingInteractive > 0 || demand.waitingBatch > 0;
}

bool isActive(const protocol::Demand& demand) { return hasWaiting(demand) || demand.running > 0; }

/// @return whether the number of running requests changed by at least one half and by
/// kMinRunningChange.
bool runningChangedMuch(std::uint32_t previous, std::uint32_t current) {
  const std::uint32_t difference = previous < current ? current - previous : previous - current;
  return difference >= std::max(kMinRunningChange, previous / 2);
}

}  // namespace

void DemandReporter::requestUrgentReport(base::TimePoint now) {
  nextReportAt_ = std::min(nextReportAt_, std::max(now, lastSentAt_ + kUrgentSpacing));
}

void DemandReporter::setLeader(base::TimePoint now, const std::optional<LeaderSession>& leader) {
  if (leader_ == leader) {
    return;
  }
  leader_ = leader;
  if (leader_.has_value()) {
    nextCompleteAt_ = now;
    nextReportAt_ = now;
  }
}

std::optional<protocol::Demand> DemandReporter::makeEntry(base::TimePoint now,
                                                          const std::string& name,
                                                          const Target& target,
                                                          const RequestQueue& queue,
                                                          const ClusterView& view) const {
  const std::optional<resource::Servable> servable = view.resolve(name);
  if (!servable.has_value()) {
    return std::nullopt;
  }
  const TargetQueue& waiting = queue.target(name);
  const std::size_t batch = waiting.count(QueueRank::batch);
  const std::size_t interactive = waiting.size() - batch + target.needingReplica;
  protocol::Demand demand;
  demand.model = servable->model;
  demand.adapter = servable->adapter;
  demand.waitingInteractive = static_cast<std::uint32_t>(interactive);
  demand.waitingBatch = static_cast<std::uint32_t>(batch);
  if (now < target.refusedDemandUntil && !view.hasReadyReplica(*servable)) {
    std::uint32_t& refused = target.refusedPriority == engine::Priority::batch
                                 ? demand.waitingBatch
                                 : demand.waitingInteractive;
    refused = std::max(refused, 1U);
  }
  demand.running = target.running;
  demand.earliestDeadline = waiting.earliestDeadline();
  demand.lastArrival = target.lastArrival;
  return demand;
}

DemandReporter::Urgency DemandReporter::urgencyOf(base::TimePoint now, const std::string& name,
                                                  const protocol::Demand& demand) const {
  const auto found = reportedEntries_.find(name);
  if (found == reportedEntries_.end()) {
    return Urgency::now;
  }
  const protocol::Demand& previous = found->second.demand;
  const bool waitingChanged = previous.waitingInteractive != demand.waitingInteractive ||
                              previous.waitingBatch != demand.waitingBatch;
  if (waitingChanged || runningChangedMuch(previous.running, demand.running)) {
    return Urgency::now;
  }
  if (previous.running == demand.running && previous.lastArrival == demand.lastArrival) {
    return Urgency::never;
  }
  return now >= found->second.at + kLowPriorityInterval ? Urgency::now : Urgency::later;
}

std::vector<protocol::Demand> DemandReporter::allActive(
    base::TimePoint now, const std::map<std::string, Target>& targets, const RequestQueue& queue,
    const ClusterView& view) {
  std::vector<protocol::Demand> entries;
  reportedEntries_.clear();
  changedTargets_.clear();
  for (const auto& [name, target] : targets) {
    const std::optional<protocol::Demand> demand = makeEntry(now, name, target, queue, view);
    if (!demand.has_value() || !isActive(*demand)) {
      continue;
    }
    entries.push_back(*demand);
    reportedEntries_[name] = Reported{*demand, now};
    if (hasWaiting(*demand)) {
      changedTargets_.insert(name);
    }
  }
  return entries;
}

std::vector<protocol::Demand> DemandReporter::changedEntries(
    base::TimePoint now, const std::map<std::string, Target>& targets, const RequestQueue& queue,
    const ClusterView& view) {
  std::vector<protocol::Demand> entries;
  std::set<std::string> remaining;
  for (const std::string& name : changedTargets_) {
    const auto target = targets.find(name);
    const std::optional<protocol::Demand> demand =
        target == targets.end() ? std::nullopt : makeEntry(now, name, target->second, queue, view);
    if (!demand.has_value()) {
      // No longer served: a complete report removes the entry at the leader.
      nextCompleteAt_ = reportedEntries_.contains(name) ? now : nextCompleteAt_;
      continue;
    }
    const Urgency urgency = urgencyOf(now, name, *demand);
    if (urgency == Urgency::later || hasWaiting(*demand)) {
      remaining.insert(name);
    }
    if (urgency == Urgency::now) {
      entries.push_back(*demand);
      reportedEntries_[name] = Reported{*demand, now};
    }
  }
  changedTargets_ = std::move(remaining);
  return entries;
}

void DemandReporter::addPreviousVersions(const ClusterView& view, const RequestTable& requests,
                                         bool complete, std::vector<protocol::Demand>& entries) {
  std::map<resource::Servable, std::uint32_t> waiting = requests.waitingByPinnedServable();
  std::erase_if(waiting, [&](const auto& entry) {
    return view.resolve(targetName(entry.first)) == entry.first;
  });
  std::map<resource::Servable, std::uint32_t> reportable = waiting;
  for (const auto& [servable, count] : reportedPrevious_) {
    reportable.try_emplace(servable, 0);  // Reports that none is waiting any more.
  }
  for (const auto& [servable, count] : reportable) {
    const auto known = reportedPrevious_.find(servable);
    const bool same = known != reportedPrevious_.end() && known->second == count;
    if (same && !complete) {
      continue;
    }
    protocol::Demand demand;
    demand.model = servable.model;
    demand.adapter = servable.adapter;
    demand.version = servable.version;
    demand.waitingInteractive = count;
    entries.push_back(std::move(demand));
  }
  reportedPrevious_ = std::move(waiting);
}

void DemandReporter::tick(base::TimePoint now, const std::map<std::string, Target>& targets,
                          const RequestQueue& queue, const ClusterView& view,
                          const RequestTable& requests, EngineSelector& selector,
                          std::vector<RouterAction>& actions) {
  if (now < nextReportAt_) {
    return;
  }
  nextReportAt_ = now + options_.demandInterval;
  if (!leader_.has_value()) {
    return;
  }
  protocol::DemandReport report;
  report.router = id_;
  report.complete = now >= nextCompleteAt_;
  report.entries = report.complete ? allActive(now, targets, queue, view)
                                   : changedEntries(now, targets, queue, view);
  addPreviousVersions(view, requests, report.complete, report.entries);
  const bool hasContent = !report.entries.empty() || report.complete || selector.hasFailures();
  if (!hasContent && now < lastSentAt_ + kHeartbeatInterval) {
    return;
  }
  if (report.complete) {
    nextCompleteAt_ = now + kCompleteInterval;
  }
  lastSentAt_ = now;
  report.outcomes = selector.takeOutcomes();
  report.sequence = ++sequence_;
  actions.emplace_back(SendToController{leader_->connection, std::move(report)});
}

}  // namespace walnut::routing
