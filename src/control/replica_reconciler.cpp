#include "control/replica_reconciler.h"

#include <algorithm>

namespace walnut::control {

using engine::HeldServable;
using engine::HeldState;
using resource::Replica;
using resource::ReplicaState;

namespace {

const HeldServable* findHeld(const engine::Report& report, const resource::Servable& servable,
                             base::AcceleratorIndex accelerator) {
  for (const HeldServable& held : report.held) {
    if (held.accelerator == accelerator && held.servable == servable) {
      return &held;
    }
  }
  return nullptr;
}

/// An adapter can only be loaded when its model is ready on the same accelerator.
bool baseIsReady(const engine::Report& report, const Replica& replica) {
  resource::Servable base = replica.servable;
  base.adapter.clear();
  const HeldServable* held = findHeld(report, base, replica.accelerator);
  return held != nullptr && held->state == HeldState::ready;
}

/// Returns true for refusals of a load that would repeat if it were ordered again.
bool isPermanentRefusal(base::ErrorCode code) {
  return code == base::ErrorCode::insufficientMemory || code == base::ErrorCode::engineLeaving ||
         code == base::ErrorCode::loadFailed || code == base::ErrorCode::outOfRange ||
         code == base::ErrorCode::malformedInput || code == base::ErrorCode::notFound;
}

engine::Order unloadOrder(const resource::Servable& servable, base::AcceleratorIndex accelerator,
                          base::Incarnation incarnation) {
  engine::Order order;
  order.incarnation = incarnation;
  order.action = engine::OrderAction::unload;
  order.servable = servable;
  order.accelerator = accelerator;
  return order;
}

}  // namespace

const engine::Report* ReplicaReconciler::currentReport(const base::EngineId& engine) const {
  const engine::Report* report = monitor_.report(engine);
  const auto record = state_.engines().find(engine);
  const bool same = report != nullptr && record != state_.engines().end() &&
                    record->second.incarnation == report->incarnation;
  return same ? report : nullptr;
}

const ReplicaReconciler::OrderRecord& ReplicaReconciler::lastOrder(const base::EngineId& engine,
                                                                   const HeldPlace& place) const {
  static const OrderRecord kNone;
  const auto orders = orders_.find(engine);
  if (orders == orders_.end()) {
    return kNone;
  }
  const auto found = orders->second.find(place);
  return found == orders->second.end() ? kNone : found->second;
}

void ReplicaReconciler::ledgerChanged(base::TimePoint now, const base::EngineId& engine) {
  std::erase_if(unloadAt_,
                [this](const auto& unload) { return ledger_.find(unload.first) == nullptr; });
  std::erase_if(neverReady_, [this](base::ReplicaId id) { return ledger_.find(id) == nullptr; });
  bool busy = false;
  for (const base::ReplicaId id : ledger_.onEngine(engine)) {
    const Replica& replica = *ledger_.find(id);
    busy = busy || replica.state != ReplicaState::ready;
    if (replica.state == ReplicaState::reserved) {
      neverReady_.insert(id);
    } else if (replica.state == ReplicaState::ready) {
      neverReady_.erase(id);
    } else {
      const base::TimePoint due = neverReady_.contains(id) ? now : now + options_.unloadGrace;
      if (unloadAt_.try_emplace(id, due).second) {
        gracePeriodEnds_.insert({due, engine});
      }
    }
  }
  monitor_.setBusy(now, engine, busy);
}

EngineReview ReplicaReconciler::review(const base::EngineId& engine, const ReplicaIds& changing) {
  EngineReview review;
  const engine::Report* report = currentReport(engine);
  if (report == nullptr) {
    return review;
  }
  recordUnledgered(engine, *report);
  for (const base::ReplicaId id : ledger_.onEngine(engine)) {
    const Replica& replica = *ledger_.find(id);
    const bool reportIsLater = report->greatestToken >= lastOrder(engine, placeOf(replica)).token;
    if (!changing.contains(id) && reportIsLater) {
      reviewReplica(replica, *report, review);
    }
  }
  return review;
}

void ReplicaReconciler::reviewReplica(const Replica& replica, const engine::Report& report,
                                      EngineReview& review) const {
  const HeldServable* held = findHeld(report, replica.servable, replica.accelerator);
  const bool failed = held != nullptr && held->state == HeldState::failed;
  switch (replica.state) {
    case ReplicaState::reserved: {
      const bool refused = held == nullptr && isLoadRefused(replica);
      if (held != nullptr && held->state == HeldState::ready) {
        review.proposals.emplace_back(MarkReplicaReady{replica.id});
      } else if (failed || refused) {
        review.proposals.emplace_back(BeginUnload{replica.id});
        review.failedLoads.push_back({replica.servable, replica.engine});
      }
      break;
    }
    case ReplicaState::ready:
      if (held == nullptr || failed || held->state == HeldState::unloading) {
        review.proposals.emplace_back(BeginUnload{replica.id});
      }
      break;
    case ReplicaState::unloading:
      if (held == nullptr) {
        review.proposals.emplace_back(ReleaseReplica{replica.id});
      }
      break;
  }
}

void ReplicaReconciler::recordUnledgered(const base::EngineId& engine,
                                         const engine::Report& report) {
  const AcceleratorPlace first{engine, base::AcceleratorIndex{0}};
  for (auto place = unledgered_.lower_bound(first);
       place != unledgered_.end() && place->engine == engine;) {
    place = unledgered_.erase(place);
  }
  for (const HeldServable& held : report.held) {
    const AcceleratorPlace place{engine, held.accelerator};
    if (!ledger_.holds(place, held.servable)) {
      unledgered_.insert(place);
    }
  }
}

void ReplicaReconciler::sendNextOrder(base::TimePoint now, const base::EngineId& engine) {
  if (!monitor_.canSendOrder(engine)) {
    return;
  }
  const std::optional<NeededOrder> needed = nextOrder(now, engine);
  if (!needed) {
    return;
  }
  const HeldPlace place{needed->order.accelerator, needed->order.servable};
  const engine::FencingToken token = monitor_.sendOrder(now, engine, needed->order);
  orders_[engine][place] = OrderRecord{token, needed->replica, false};
}

bool ReplicaReconciler::isLoadRefused(const Replica& replica) const {
  const OrderRecord& last = lastOrder(replica.engine, placeOf(replica));
  return last.refused && last.replica == replica.id;
}

std::optional<ReplicaReconciler::NeededOrder> ReplicaReconciler::nextOrder(
    base::TimePoint now, const base::EngineId& engine) const {
  const engine::Report* report = currentReport(engine);
  if (report == nullptr) {
    return std::nullopt;
  }
  for (const base::ReplicaId id : ledger_.onEngine(engine)) {
    auto order = nextOrderFor(now, *ledger_.find(id), *report);
    if (order) {
      return NeededOrder{id, *std::move(order)};
    }
  }
  auto order = nextOrderForUnledgered(engine, *report);
  if (!order) {
    return std::nullopt;
  }
  return NeededOrder{base::ReplicaId{}, *std::move(order)};
}

std::optional<engine::Order> ReplicaReconciler::nextOrderFor(base::TimePoint now,
                                                             const Replica& replica,
                                                             const engine::Report& report) const {
  const OrderRecord& last = lastOrder(replica.engine, placeOf(replica));
  if (report.greatestToken < last.token) {
    return std::nullopt;
  }
  const HeldServable* held = findHeld(report, replica.servable, replica.accelerator);
  if (replica.state == ReplicaState::reserved) {
    const bool absent = held == nullptr || held->state == HeldState::unloading;
    const bool possible = replica.servable.adapter.empty() || baseIsReady(report, replica);
    return absent && possible && !isLoadRefused(replica) ? loadOrder(replica) : std::nullopt;
  }
  const auto due = unloadAt_.find(replica.id);
  const bool mayUnload =
      replica.state == ReplicaState::unloading && due != unloadAt_.end() && due->second <= now;
  if (!mayUnload || held == nullptr || held->state == HeldState::unloading) {
    return std::nullopt;
  }
  return unloadOrder(replica.servable, replica.accelerator, replica.incarnation);
}

std::optional<engine::Order> ReplicaReconciler::nextOrderForUnledgered(
    const base::EngineId& engine, const engine::Report& report) const {
  for (const HeldServable& held : report.held) {
    const HeldPlace place{held.accelerator, held.servable};
    const bool known = ledger_.holds({engine, held.accelerator}, held.servable);
    const bool reportIsLater = report.greatestToken >= lastOrder(engine, place).token;
    if (!known && reportIsLater && held.state != HeldState::unloading) {
      return unloadOrder(held.servable, held.accelerator, report.incarnation);
    }
  }
  return std::nullopt;
}

/// @return the load order; empty if the resource was deleted meanwhile, in which case the replica
/// is given up.
std::optional<engine::Order> ReplicaReconciler::loadOrder(const Replica& replica) const {
  engine::Order order;
  order.incarnation = replica.incarnation;
  order.action = engine::OrderAction::load;
  order.servable = replica.servable;
  order.accelerator = replica.accelerator;
  order.acceleratorBytes = replica.bytes;
  if (replica.servable.adapter.empty()) {
    const auto* version = state_.findModelVersion(replica.servable.version);
    if (version == nullptr) {
      return std::nullopt;
    }
    order.checkpoint = version->checkpoint;
    order.checkpointBytes = version->checkpointBytes;
    return order;
  }
  const auto* adapter = state_.findAdapter(replica.servable.adapter);
  if (adapter == nullptr) {
    return std::nullopt;
  }
  order.checkpoint = adapter->checkpoint;
  order.checkpointBytes = adapter->checkpointBytes;
  return order;
}

void ReplicaReconciler::orderFinished(const FinishedCall& call) {
  if (!call.order || call.order->action != engine::OrderAction::load || !call.result.has_error()) {
    return;
  }
  const auto orders = orders_.find(call.engine);
  if (orders == orders_.end()) {
    return;
  }
  const auto record = orders->second.find({call.order->accelerator, call.order->servable});
  const bool same = record != orders->second.end() && record->second.token == call.order->token;
  if (same && isPermanentRefusal(call.result.error().code)) {
    record->second.refused = true;
  }
}

std::set<base::EngineId> ReplicaReconciler::takeDue(base::TimePoint now) {
  std::set<base::EngineId> due;
  while (!gracePeriodEnds_.empty() && gracePeriodEnds_.begin()->first <= now) {
    due.insert(gracePeriodEnds_.begin()->second);
    gracePeriodEnds_.erase(gracePeriodEnds_.begin());
  }
  return due;
}

base::TimePoint ReplicaReconciler::nextWakeup() const {
  return gracePeriodEnds_.empty() ? base::kNever : gracePeriodEnds_.begin()->first;
}

void ReplicaReconciler::forget(const base::EngineId& engine) {
  orders_.erase(engine);
  std::erase_if(unledgered_, [&](const AcceleratorPlace& place) { return place.engine == engine; });
}

}  // namespace walnut::control
