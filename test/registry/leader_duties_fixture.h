#pragma once
/// @file
/// Fixture of LeaderDuties tests, which simulate the workers and gateways.

#include <algorithm>
#include <initializer_list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "registry/leader_duties.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

namespace walnut::registry::testing {

using namespace std::chrono_literals;

inline constexpr base::ServerId kSelf{7};
inline constexpr base::ServerId kFormer{3};
inline constexpr consensus::Term kTerm = 2;
inline constexpr base::Duration kLease = 3s;
inline constexpr protocol::ConnectionId kGateway{1};

/// Returns a document with a service "svc" and models a and b, whatever the text.
class EngineReader : public DocumentReader {
 public:
  base::Result<catalog::Document> read(const std::string& /*text*/) const override {
    catalog::Document document;
    document.version = 1;
    catalog::Service service;
    service.name = "svc";
    service.engine.emplace();
    service.engine->slots = 4;
    service.engine->weightsMegabytes = 100;
    service.engine->adapterSlots = 2;
    service.engine->storeLoadsPerSecond = 1;
    for (const char* name : {"a", "b"}) {
      catalog::ModelSpec model;
      model.name = name;
      model.weightsMegabytes = 40;
      model.storeLoadTime = 2s;
      model.adapters = 2;
      service.engine->models.push_back(model);
    }
    document.services.push_back(service);
    return document;
  }
};

/// Records the events written to the log, without their fields.
struct EventNames : runtime::EventLog {
  std::vector<runtime::LogEvent> lines;
  void write(runtime::LogEvent event, std::initializer_list<runtime::EventField>) override {
    lines.push_back(event);
  }
};

/// Base class of test groups: runs a leader in virtual time.
class LeaderDutiesFixture : public Utest {
 public:
  EngineReader reader;
  DocumentCache documents{reader};
  EventNames log;
  RegistryOptions options;
  CellState state;
  base::TimePoint now = base::TimePoint(100s);
  OrderTimes turns{base::TimePoint(0s)};
  std::unique_ptr<LeaderDuties> duties;
  std::vector<RegistryAction> actions;
  bool leaseValid = true;
  bool recordsOrders = true;  ///< True if the log commits proposed orders.
  std::uint64_t sequence = 0;
  std::map<WorkerId, Holdings> holdings;  ///< Holdings in the last heartbeats.
  ViewDecoder decoder;
  std::map<WorkerId, bool> publishedFailing;

  void setup() override {
    options.orderLease = kLease;
    options.ordersFenced = true;
    state.apply(StoreDocument{1, "text"});
    state.apply(StoreOrderHolder{kFormer});
    for (const char* id : {"w1", "w2"}) {
      state.apply(StoreWorker{
          {{id}, "svc", {"10.0.1.1", static_cast<std::uint16_t>(id[1])}, {}, 4, false}});
    }
  }

  void lead(std::optional<base::TimePoint> lastTakeoverAt = std::nullopt) {
    duties = std::make_unique<LeaderDuties>(options, documents, state, kTerm, kSelf, log, now,
                                            turns, lastTakeoverAt);
  }
  /// Runs the leader and applies its commands immediately.
  void run(base::Duration duration) {
    const base::TimePoint end = now + duration;
    for (; now < end; now += 10ms) {
      duties->run(now, {true, true}, {});
      for (const Command& command : duties->takeCommands()) {
        commit(command);
      }
      for (RegistryAction& action : duties->takeActions()) {
        actions.push_back(std::move(action));
      }
    }
  }
  void commit(const Command& command) {
    state.apply(command);
    if (const auto* ordered = std::get_if<StoreOrderedWorkers>(&command)) {
      turns.ordered(ordered->workers, now);
      if (ordered->server == kSelf && recordsOrders) {
        duties->ordersRecorded(ordered->batch, now, leaseValid);
      }
    }
    duties->stateChanged(now);
  }
  /// @return the workers that were sent orders, in order.
  std::vector<std::string> ordered() const {
    std::vector<std::string> workers;
    for (const RegistryAction& action : actions) {
      if (const auto* order = std::get_if<SendOrder>(&action)) {
        workers.push_back(order->worker.id.value);
      }
    }
    return workers;
  }
  /// Runs the leader and answers its requests for reports immediately.
  void runAnswering(base::Duration duration) {
    for (const base::TimePoint end = now + duration; now < end;) {
      run(50ms);
      std::vector<RegistryAction> kept;
      for (RegistryAction& action : std::exchange(actions, {})) {
        if (const auto* read = std::get_if<ReadReport>(&action)) {
          WorkerReport report;
          report.holdings = holdings[read->worker.id];
          duties->reportFinished({read->worker.id, report}, now);
        } else {
          kept.push_back(std::move(action));
        }
      }
      actions = std::move(kept);
    }
  }
  void demandModel(const char* model) { demandModels({model}); }
  void demandModels(std::initializer_list<const char*> models) {
    DemandUpdate update;
    for (const char* model : models) {
      update.demands.push_back({"svc", model, "", 1, 1});
    }
    duties->demand(kGateway, update, now);
  }
  void answerReports() {
    for (const RegistryAction& action : std::exchange(actions, {})) {
      if (const auto* read = std::get_if<ReadReport>(&action)) {
        duties->reportFinished({read->worker.id, WorkerReport{}}, now);
      }
    }
  }
  /// Sends a heartbeat of the worker that holds the model.
  void hold(const char* worker, const char* model, std::vector<std::string> adapters = {}) {
    Heartbeat heartbeat;
    heartbeat.worker = *state.findWorker({worker});
    heartbeat.sequence = ++sequence;
    heartbeat.holdingsKnown = true;
    heartbeat.holdings.models = {{model, 1, std::move(adapters)}};
    holdings[heartbeat.worker.id] = heartbeat.holdings;
    duties->heartbeat(heartbeat, now);
  }
  /// @return true if the worker is failing according to the last view with it.
  bool publishedAsFailing(const WorkerId& worker) {
    for (const RegistryAction& action : std::exchange(actions, {})) {
      const auto* sent = std::get_if<control::SendToConnection>(&action);
      const auto* packed =
          sent == nullptr ? nullptr
                          : std::get_if<PackedView>(&std::get<RegistryMessage>(sent->message).body);
      if (packed != nullptr) {
        const ViewUpdate update = decoder.decode(packed->bytes).value();
        for (const WorkerView& view : update.changed) {
          publishedFailing[view.record.id] = view.failing;
        }
      }
    }
    return publishedFailing[worker];
  }
  template <class Action>
  std::size_t count() const {
    return static_cast<std::size_t>(std::count_if(
        actions.begin(), actions.end(),
        [](const RegistryAction& action) { return std::holds_alternative<Action>(action); }));
  }
};

}  // namespace walnut::registry::testing
