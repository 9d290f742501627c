/// @file
/// The part of a gateway that reports the demand for models and the load on workers to the leader.

#include <algorithm>
#include <utility>

#include "gateway/gateway.h"
#include "walnut/registry/feature_level.h"

namespace walnut::gateway {

namespace {

/// @name Minimum time between reports of whether a model is in use: a leader processes a few
/// hundred reports a second from all gateways together
/// @{
constexpr base::Duration kUseReportSpacing = std::chrono::milliseconds(50);
constexpr base::Duration kUseReportSpacingPerGateway = std::chrono::milliseconds(4);
/// @}
/// Time between two empty reports: well below the time after which a server considers an idle
/// connection lost.
constexpr base::Duration kEmptyReportInterval = std::chrono::seconds(3);

}  // namespace

void Gateway::waitBegan(const std::string& service, const RequestFacts& facts,
                        const catalog::Route& route) {
  if (facts.model.empty()) {
    return;
  }
  demand_.waitBegan(service, facts.model, facts.adapter, urgencyOf(facts, route));
  reportDemandSoon();
}

void Gateway::reportDemandSoon() {
  if (!std::exchange(demandSoon_, true)) {
    scheduler_.runSoon([this] { reportDemand(); });
  }
}

void Gateway::waitEnded(const std::string& service, const RequestFacts& facts) {
  if (!facts.model.empty()) {
    demand_.waitEnded(service, facts.model, facts.adapter);
  }
}

void Gateway::versionWaitBegan(const std::string& service, const RequestFacts& facts,
                               const std::string& version) {
  demand_.versionWaitBegan(service, facts.model, facts.adapter, version);
}

void Gateway::versionWaitEnded(const std::string& service, const RequestFacts& facts,
                               const std::string& version) {
  demand_.versionWaitEnded(service, facts.model, facts.adapter, version);
}

void Gateway::reportVersionDemand() {
  if (!session_.followingWith(registry::feature::kSoftwareVersions)) {
    return;
  }
  if (std::optional<registry::VersionDemand> demand = demand_.takeVersionDemand()) {
    session_.send(std::move(*demand));
  }
}

void Gateway::reportDemand() {
  demandSoon_ = false;
  demandReportedAt_ = scheduler_.now();
  demandDueAt_ = demandReportedAt_ + options_.demandInterval;
  demandTimer_->enableAt(demandDueAt_);
  reportTimings();
  if (!session_.following()) {
    demand_.dropOutcomes();
    return;
  }
  registry::DemandUpdate update = demand_.takeUpdate(directory_);
  if (!update.empty() || scheduler_.now() >= nextEmptyReportAt_) {
    nextEmptyReportAt_ =
        update.empty() ? scheduler_.now() + kEmptyReportInterval : base::TimePoint();
    session_.send(std::move(update));
  }
  reportVersionDemand();
  reportPartsAnswered();
}

void Gateway::attemptBegan(Worker& worker, const RequestFacts& facts) {
  worker.requestBegan(facts.model);
  recordPromptSent(worker, facts);
  reportUseSoon(worker, facts.model);
}

void Gateway::attemptEnded(Worker& worker, const RequestFacts& facts) {
  worker.requestEnded(facts.model);
  reportUseSoon(worker, facts.model);
}

/// Reports soon if a model has begun or ceased to be in use, since that decides which models are
/// evicted to free memory for others; a change of the amount of use may wait. The spacing grows
/// with the number of gateways, so that the rate of all reports together does not.
void Gateway::reportUseSoon(const Worker& worker, const std::string& model) {
  const auto running = worker.runningByModel.find(model);
  const bool changed = running == worker.runningByModel.end() || running->second == 1;
  if (!model.empty() && changed) {
    reportWithinSpacing();
  }
}

void Gateway::reportWithinSpacing() {
  const base::Duration spacing =
      std::max(kUseReportSpacing, kUseReportSpacingPerGateway * gatewayCount_.value());
  const base::TimePoint due = std::max(scheduler_.now(), demandReportedAt_ + spacing);
  if (due < demandDueAt_) {
    demandDueAt_ = due;
    demandTimer_->enableAt(due);
  }
}

}  // namespace walnut::gateway
