/// @file
/// The part of a serving fleet that carries the gateways' messages to the leader.

#include "simulator/serving_caller.h"

namespace walnut::simulator {

void ServingFleet::toLeader(std::size_t gateway, registry::MessageBody message) {
  scheduler_.after(kLinkDelay, [this, gateway, message = std::move(message)] {
    if (leader_ == nullptr || scheduler_.now() < gatewayCutUntil_[gateway]) {
      return;
    }
    const protocol::ConnectionId connection{gateway + 1};
    if (const auto* request = std::get_if<registry::Subscribe>(&message)) {
      leader_->subscribe(connection, *request, {}, leaderLevel());
    } else if (const auto* taken = std::get_if<registry::DocumentPartAck>(&message)) {
      leader_->documentPartAcknowledged(connection, *taken);
    } else if (const auto* demand = std::get_if<registry::DemandUpdate>(&message)) {
      leader_->demand(connection, *demand, scheduler_.now());
    } else if (const auto* cuts = std::get_if<registry::CutReport>(&message)) {
      noteReports(*cuts);
      leader_->cutsReported(*cuts, scheduler_.now());
    } else if (const auto* parts = std::get_if<registry::CutPartsReport>(&message)) {
      leader_->cutPartsReported(*parts);
    } else if (const auto* answered = std::get_if<registry::PartsAnswered>(&message)) {
      leader_->partsAnswered(*answered, scheduler_.now());
    } else if (const auto* limits = std::get_if<registry::LimitReport>(&message)) {
      leader_->handleLimitReport(connection, *limits, scheduler_.now());
    } else if (const auto* shares = std::get_if<registry::ShareRequest>(&message)) {
      ++shareQuestions_;
      leader_->sharesRequested(connection, *shares, scheduler_.now());
    } else if (const auto* start = std::get_if<registry::StartingRetriesRequest>(&message)) {
      leader_->startingRetriesRequested(connection, *start, scheduler_.now());
    } else if (const auto* began = std::get_if<registry::StreamsBegan>(&message)) {
      leader_->streamsBegan(*began, scheduler_.now());
    } else if (const auto* question = std::get_if<registry::FindStreamOrigin>(&message)) {
      leader_->findStreamOrigin(connection, *question, scheduler_.now(), true);
    } else if (const auto* versions = std::get_if<registry::VersionDemand>(&message)) {
      leader_->versionDemand(connection, *versions);
    } else if (const auto* mark = std::get_if<registry::MarkView>(&message)) {
      leader_->markView(connection, *mark, scheduler_.now());
    }
  });
}

}  // namespace walnut::simulator
