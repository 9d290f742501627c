#include "routing/demand_reporter.h"

#include <algorithm>

namespace walnut::routing {

namespace {
/// Interval of complete reports, which correct any undetected difference. No known fault needs
/// them.
constexpr base::Duration kCompleteInterval = std::chrono::seconds(30);
/// Heartbeat interval: five reports within the leader's demandLifetime.
constexpr base::Duration kAliveInterval = std::chrono::seconds(1);
/// Interval for changes that only keep a replica from being unloaded as idle, which takes minutes.
constexpr base::Duration kSlowInterval = std::chrono::seconds(5);
/// Minimum change of the number of running requests that is reported at once. The planner converts
/// them to replicas of 16 requests each (control/target_planner), so smaller changes don't matter.
constexpr std::uint32_t kRunningStep = 4;
/// Minimum interval between urgent reports, so that a burst over many targets takes few messages.
constexpr base::Duration kUrgentSpacing = std::chrono::milliseconds(10);

bool waits(const protocol::Demand& demand) {
  return demand.waitingInteractive > 0 || demand.waitingBatch > 0;
}

bool isActive(const protocol::Demand& demand) { return waits(demand) || demand.running > 0; }

/// @return whether the number of running requests changed by at least one half and by kRunningStep.
bool runningChangedMuch(std::uint32_t former, std::uint32_t present) {
  const std::uint32_t difference = former < present ? present - former : former - present;
  return difference >= std::max(kRunningStep, former / 2);
}

}  // namespace

void DemandReporter::urgent(base::TimePoint now) {
  nextAt_ = std::min(nextAt_, std::max(now, sentAt_ + kUrgentSpacing));
}

void DemandReporter::leaderChanged(base::TimePoint now,
                                   const std::optional<LeaderSession>& leader) {
  if (leader_ == leader) {
    return;
  }
  leader_ = leader;
  if (leader_.has_value()) {
    completeAt_ = now;
    nextAt_ = now;
  }
}

std::optional<protocol::Demand> DemandReporter::entry(base::TimePoint now, const std::string& name,
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

DemandReporter::Due DemandReporter::dueOf(base::TimePoint now, const std::string& name,
                                          const protocol::Demand& demand) const {
  const auto found = reported_.find(name);
  if (found == reported_.end()) {
    return Due::now;
  }
  const protocol::Demand& former = found->second.demand;
  const bool waitingChanged = former.waitingInteractive != demand.waitingInteractive ||
                              former.waitingBatch != demand.waitingBatch;
  if (waitingChanged || runningChangedMuch(former.running, demand.running)) {
    return Due::now;
  }
  if (former.running == demand.running && former.lastArrival == demand.lastArrival) {
    return Due::never;
  }
  return now >= found->second.at + kSlowInterval ? Due::now : Due::later;
}

std::vector<protocol::Demand> DemandReporter::allActive(
    base::TimePoint now, const std::map<std::string, Target>& targets, const RequestQueue& queue,
    const ClusterView& view) {
  std::vector<protocol::Demand> entries;
  reported_.clear();
  changed_.clear();
  for (const auto& [name, target] : targets) {
    const std::optional<protocol::Demand> demand = entry(now, name, target, queue, view);
    if (!demand.has_value() || !isActive(*demand)) {
      continue;
    }
    entries.push_back(*demand);
    reported_[name] = Reported{*demand, now};
    if (waits(*demand)) {
      changed_.insert(name);
    }
  }
  return entries;
}

std::vector<protocol::Demand> DemandReporter::changedEntries(
    base::TimePoint now, const std::map<std::string, Target>& targets, const RequestQueue& queue,
    const ClusterView& view) {
  std::vector<protocol::Demand> entries;
  std::set<std::string> undecided;
  for (const std::string& name : changed_) {
    const auto target = targets.find(name);
    const std::optional<protocol::Demand> demand =
        target == targets.end() ? std::nullopt : entry(now, name, target->second, queue, view);
    if (!demand.has_value()) {
      // No longer served: a complete report removes the entry at the leader.
      completeAt_ = reported_.contains(name) ? now : completeAt_;
      continue;
    }
    const Due due = dueOf(now, name, *demand);
    if (due == Due::later || waits(*demand)) {
      undecided.insert(name);
    }
    if (due == Due::now) {
      entries.push_back(*demand);
      reported_[name] = Reported{*demand, now};
    }
  }
  changed_ = std::move(undecided);
  return entries;
}

void DemandReporter::addFormerVersions(const ClusterView& view, const RequestTable& requests,
                                       bool complete, std::vector<protocol::Demand>& entries) {
  std::map<resource::Servable, std::uint32_t> waiting = requests.waitingByPinnedServable();
  std::erase_if(waiting, [&](const auto& entry) {
    return view.resolve(targetName(entry.first)) == entry.first;
  });
  std::map<resource::Servable, std::uint32_t> told = waiting;
  for (const auto& [servable, count] : reportedFormer_) {
    told.try_emplace(servable, 0);  // Reports that none is waiting any more.
  }
  for (const auto& [servable, count] : told) {
    const auto known = reportedFormer_.find(servable);
    const bool same = known != reportedFormer_.end() && known->second == count;
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
  reportedFormer_ = std::move(waiting);
}

void DemandReporter::tick(base::TimePoint now, const std::map<std::string, Target>& targets,
                          const RequestQueue& queue, const ClusterView& view,
                          const RequestTable& requests, EngineSelector& selector,
                          std::vector<RouterAction>& actions) {
  if (now < nextAt_) {
    return;
  }
  nextAt_ = now + options_.demandInterval;
  if (!leader_.has_value()) {
    return;
  }
  protocol::DemandReport report;
  report.router = id_;
  report.complete = now >= completeAt_;
  report.entries = report.complete ? allActive(now, targets, queue, view)
                                   : changedEntries(now, targets, queue, view);
  addFormerVersions(view, requests, report.complete, report.entries);
  const bool news = !report.entries.empty() || report.complete || selector.hasFailures();
  if (!news && now < sentAt_ + kAliveInterval) {
    return;
  }
  if (report.complete) {
    completeAt_ = now + kCompleteInterval;
  }
  sentAt_ = now;
  report.outcomes = selector.takeOutcomes();
  report.sequence = ++sequence_;
  actions.emplace_back(SendToController{leader_->connection, std::move(report)});
}

}  // namespace walnut::routing
