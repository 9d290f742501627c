#pragma once
/// @file
/// A router in virtual time that the test advances, connected to a fake cell that answers at once.

#include <memory>
#include <string>
#include <vector>

#include "routing/fake_cell.h"
#include "walnut/factories.h"
#include "walnut/routing/router.h"

namespace walnut::routing::testing {

/// Runs one router. Answers the router's messages to the cell itself and records its other actions
/// for the test.
class RouterHarness {
 public:
  /// @param ready whether the model is loaded on the engine from the start.
  explicit RouterHarness(const RouterOptions& options = {}, bool ready = true,
                         std::uint64_t seed = 1) {
    RouterOptions used = options;
    used.cell = kCell;
    used.controllers = {controllerEndpoint(0), controllerEndpoint(1), controllerEndpoint(2)};
    cell.commit(protocol::EngineChanged{engineRecord(0)});
    if (ready) {
      cell.commit(protocol::ReplicaChanged{replicaRecord(1, "model", 0)});
    }
    cell.commit(modelChange("model", "v1"));
    router_ = makeRouter(used, {7}, seed, now_);
    advance(std::chrono::seconds(1));
  }

  /// Advances the time and runs all timers that become due.
  void advance(base::Duration duration) {
    const base::TimePoint end = now_ + duration;
    while (router_->nextWakeup() <= end) {
      now_ = std::max(now_ + base::Duration{1}, router_->nextWakeup());
      deliver(Tick{});
    }
    now_ = end;
    deliver(Tick{});
  }

  void deliver(const RouterInput& input) {
    router_->step(now_, input);
    for (const RouterAction& action : router_->takeActions()) {
      std::visit([this](const auto& body) { execute(body); }, action);
    }
  }

  /// Commits a change in the cell and sends it to the router.
  void commitChange(const protocol::Change& change) {
    const consensus::LogIndex before = cell.index();
    cell.commit(change);
    deliver(ControllerMessage{{1}, protocol::WatchDelta{before, cell.index(), {change}}});
  }

  void request(const std::string& id, base::Duration deadline, std::uint32_t maxTokens = 4) {
    CallerRequest caller;
    caller.request = {id};
    caller.target = "model";
    caller.prompt = "prompt";
    caller.maxTokens = maxTokens;
    caller.deadline = now_ + deadline;
    deliver(CallerRequested{caller});
  }

  /// Submits a request that must not be repeated; the cell grants its key.
  void requestNonRepeatable(const std::string& id, base::Duration deadline,
                            std::uint32_t maxTokens) {
    CallerRequest caller;
    caller.request = {id};
    caller.target = "model";
    caller.prompt = "prompt";
    caller.maxTokens = maxTokens;
    caller.deadline = now_ + deadline;
    caller.repeatable = false;
    caller.idempotencyKey = id;
    caller.issuedAt = now_;
    deliver(CallerRequested{caller});
  }

  void fail(const StartAttempt& start, base::ErrorCode code,
            engine::GenerateFailed::Started startedState) {
    engine::GenerateFailed failed;
    failed.request = start.generate.request;
    failed.attempt = start.generate.attempt;
    failed.error.code = code;
    failed.started = startedState;
    deliver(EngineEvent{failed});
  }

  base::TimePoint now() const { return now_; }
  const Router& router() const { return *router_; }

  FakeCell cell;
  bool cellAnswers = true;                      ///< If false, the cell's answers are lost.
  std::vector<ExportAttempt> exports;           ///< In order.
  std::vector<HoldState> holds;                 ///< In order.
  std::vector<StoreState> keeps;                ///< In order.
  std::vector<UploadState> puts;                ///< In order.
  std::vector<DiscardState> drops;              ///< In order.
  std::vector<CancelAttempt> cancels;           ///< In order.
  std::vector<StartAttempt> starts;             ///< Attempts, in order.
  std::vector<CallerRefused> refusals;          ///< In order.
  std::vector<protocol::Message> sentMessages;  ///< To controllers, in order.

 private:
  void execute(const StartAttempt& action) { starts.push_back(action); }
  void execute(const ExportAttempt& action) { exports.push_back(action); }
  void execute(const HoldState& action) { holds.push_back(action); }
  void execute(const StoreState& action) { keeps.push_back(action); }
  void execute(const UploadState& action) { puts.push_back(action); }
  void execute(const DiscardState& action) { drops.push_back(action); }
  void execute(const CancelAttempt& action) { cancels.push_back(action); }
  void execute(const CallerRefused& action) { refusals.push_back(action); }
  void execute(const OpenController& action) {
    const std::size_t number = action.endpoint.port - 7000U;
    deliver(ControllerConnected{{number + 1}, action.endpoint, controllerHello(number)});
  }
  void execute(const SendToController& action) {
    sentMessages.push_back(action.message);
    answer(action);
  }
  /// @name Not looked at
  /// @{
  void execute(const CallerToken&) {}
  void execute(const CallerEnded&) {}
  void execute(const CloseController&) {}
  void execute(const RouterStopped&) {}
  /// @}

  void answer(const SendToController& send) {
    if (!cellAnswers) {
      return;
    }
    const std::size_t controller = send.connection.value - 1;
    if (const auto* probe = std::get_if<protocol::ProbeRequest>(&send.message)) {
      deliver(ControllerMessage{send.connection, cell.probe(controller, probe->sequence)});
    } else if (const auto* claim = std::get_if<protocol::ClaimRequest>(&send.message)) {
      deliver(ControllerMessage{send.connection,
                                protocol::ClaimReply{claim->sequence, cell.claim(claim->claim)}});
    } else if (const auto* watch = std::get_if<protocol::WatchRequest>(&send.message)) {
      for (const protocol::Message& page : cell.watch(watch->fromIndex)) {
        deliver(ControllerMessage{send.connection, page});
      }
    }
  }

  base::TimePoint now_ = base::fromMicros(1'000'000'000);
  std::unique_ptr<Router> router_;
};

}  // namespace walnut::routing::testing
