#include "scale/local_engines.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace walnut::scale {

LocalEngines::LocalEngines(const CellSize& size, std::uint32_t activeRequests)
    : activeRequests_(activeRequests) {
  for (std::size_t number = 0; number < size.engines; ++number) {
    const resource::Engine record = engineRecord(number, base::Endpoint{});
    engine::Report report;
    report.incarnation = record.incarnation;
    report.acceleratorBytes = record.acceleratorBytes;
    states_[record.id] = std::move(report);
    platform_.machines.push_back(
        {record.id, record.endpoint, record.zone, record.machineClass, false, std::nullopt});
  }
  for (std::size_t number = 0; number < size.replicas; ++number) {
    const resource::Replica replica = replicaRecord(size, number);
    states_.at(replica.engine)
        .held.push_back({replica.servable, replica.accelerator, replica.bytes,
                         engine::HeldState::ready, activeRequests_});
  }
}

control::EngineCallFinished LocalEngines::answer(const control::EngineCall& call) {
  engine::Report& report = states_.at(call.engine);
  if (const auto* order = std::get_if<engine::Order>(&call.request)) {
    ++orders_;
    carryOut(*order, report);
    return {call.call, engine::OrderAccepted{order->token}};
  }
  ++reports_;
  report.greatestToken = std::get<engine::ReportRequest>(call.request).token;
  return {call.call, report};
}

void LocalEngines::carryOut(const engine::Order& order, engine::Report& report) const {
  report.greatestToken = order.token;
  if (order.action == engine::OrderAction::load) {
    report.held.push_back({order.servable, order.accelerator, order.acceleratorBytes,
                           engine::HeldState::ready, activeOf(order.servable)});
    return;
  }
  std::erase_if(report.held, [&](const engine::HeldServable& held) {
    return held.servable == order.servable && held.accelerator == order.accelerator;
  });
}

std::uint32_t LocalEngines::activeOf(const resource::Servable& servable) const {
  return idle_.contains(servable) ? 0 : activeRequests_;
}

void LocalEngines::setIdle(const resource::Servable& servable) {
  idle_.insert(servable);
  for (auto& [id, report] : states_) {
    for (engine::HeldServable& held : report.held) {
      held.activeRequests = held.servable == servable ? 0 : held.activeRequests;
    }
  }
}

engine::PlatformList LocalEngines::list(base::TimePoint now) const {
  engine::PlatformList list = platform_;
  list.asOf = now;
  return list;
}

}  // namespace walnut::scale
