#include "routing/scenario_world.h"

#include <algorithm>

namespace walnut::routing::testing {

using base::ErrorCode;
using engine::GenerateFailed;

namespace {
constexpr base::Duration kFaultTime = std::chrono::seconds(20);
constexpr base::Duration kShutdownTime = std::chrono::seconds(15);
constexpr int kRequests = 60;
constexpr int kBurst = 60;

std::size_t controllerNumber(const base::Endpoint& endpoint) { return endpoint.port - 7000U; }
std::size_t engineNumber(const base::Endpoint& endpoint) { return endpoint.port - 9000U; }
}  // namespace

ScenarioWorld::ScenarioWorld(std::uint64_t seed) : random_(seed) {
  RouterOptions options;
  options.cell = kCell;
  options.zone = {"zone1"};
  options.controllers = {controllerEndpoint(0), controllerEndpoint(1)};
  options.maxRunningPerReplica = 4;
  options.maxQueuedPerTarget = 12;
  options.maxQueued = 16;
  options.startTimeout = std::chrono::seconds(2);
  options.tokenTimeout = std::chrono::seconds(1);
  options.retryBudgetRatio = 1.0;
  for (std::size_t number = 0; number < kEngines; ++number) {
    cell_.commit(protocol::EngineChanged{engineRecord(number)});
    cell_.commit(protocol::ReplicaChanged{replicaRecord(number + 1, "hot", number)});
  }
  cell_.commit(modelChange("hot", "v1"));
  cell_.commit(modelChange("cold", "v1"));
  router_ = makeRouter(options, {7}, seed, now_);
  lastReply_ = now_ - std::chrono::hours(1);
}

void ScenarioWorld::run() {
  at({}, [this] { tick(); });
  scheduleFaults();
  for (int count = 0; count < kRequests; ++count) {
    at(random_.between({}, kFaultTime), [this] { submitRequest(); });
  }
  const base::TimePoint burst = now_ + random_.between({}, kFaultTime);
  for (int count = 0; count < kBurst; ++count) {
    events_.emplace(burst + delay(0, 50), [this] { submitRequest(); });
  }
  at(kFaultTime, [this] {
    stopRequested_ = true;
    deliver(PlannedShutdown{});
  });
  const base::TimePoint end = now_ + kFaultTime + kShutdownTime;
  while (true) {
    const base::TimePoint wakeup = std::max(router_->nextWakeup(), frozenUntil_);
    const bool eventFirst = !events_.empty() && events_.begin()->first <= wakeup;
    const base::TimePoint next = eventFirst ? events_.begin()->first : wakeup;
    if (next > end) {
      break;
    }
    now_ = std::max(now_, next);
    if (!eventFirst) {
      stepRouter(Tick{});
      continue;
    }
    const Event event = std::move(events_.begin()->second);
    events_.erase(events_.begin());
    event();
  }
  oracle_.finish();
  CHECK_TRUE(stopped_);
}

void ScenarioWorld::tick() { stepRouter(Tick{}); }

void ScenarioWorld::scheduleFaults() {
  const auto sometime = [this] { return random_.between({}, kFaultTime); };
  at(sometime(), [this] { frozenUntil_ = now_ + delay(100, 8000); });
  at(sometime(), [this] { cellUnreachableUntil_ = now_ + delay(100, 8000); });
  at(sometime(), [this] { reclaim(0); });
  if (random_.chance(0.5)) {
    at(sometime(), [this] { reclaim(1); });
  }
  at(sometime(), [this] {
    const auto state = resource::ReplicaState::ready;
    cell_.commit(protocol::ReplicaChanged{replicaRecord(50, "cold", 3, state)});
    pushDeltas();
  });
  at(sometime(), [this] {
    cell_.commit(protocol::ResourceChanged{
        {{resource::Kind::drain, "engine2"}, 0, resource::DrainSpec{"maintenance"}}});
    pushDeltas();
  });
}

void ScenarioWorld::reclaim(std::size_t engine) {
  resource::Engine record = engineRecord(engine);
  record.status = resource::EngineStatus::leaving;
  record.reclaimAt = now_ + std::chrono::seconds(3);
  cell_.commit(protocol::EngineChanged{record});
  pushDeltas();
  at(std::chrono::seconds(3), [this, engine] {
    reclaimed_.insert(engine);
    std::vector<std::uint64_t> lost;
    for (const auto& [attempt, run] : running_) {
      if (run.engine == engine) {
        lost.push_back(attempt);
      }
    }
    for (const std::uint64_t attempt : lost) {
      failAttempt(attempt, ErrorCode::connectionLost, GenerateFailed::Started::unknown);
    }
  });
}

void ScenarioWorld::submitRequest() {
  CallerRequest caller;
  caller.request = {"r" + std::to_string(nextRequest_++)};
  caller.target = random_.chance(0.8) ? "hot" : "cold";
  caller.prompt = std::string(300, 'p');
  caller.maxTokens = static_cast<std::uint32_t>(random_.uniform(1, 150));
  caller.priority = random_.chance(0.5) ? engine::Priority::interactive : engine::Priority::batch;
  caller.deadline = now_ + delay(500, 10000);
  caller.repeatable = random_.chance(0.6);
  if (!caller.repeatable) {
    // Some keys are used by two requests.
    caller.idempotencyKey = "k" + std::to_string(random_.uniform(1, 2 * kRequests));
    caller.issuedAt = now_;
  }
  const base::TimePoint stepsAt = std::max(now_, frozenUntil_);
  const bool unconfirmed = stepsAt - lastReply_ >= std::chrono::seconds(3);
  oracle_.requested(caller, stepsAt, unconfirmed && frozenUntil_ <= now_);
  deliver(CallerRequested{caller});
  if (random_.chance(faults_.callerDisconnect)) {
    at(delay(0, 2000), [this, id = caller.request] {
      if (oracle_.live(id) && frozenUntil_ <= now_) {
        oracle_.gone(id);
        deliver(CallerDisconnected{id});
      }
    });
  }
}

void ScenarioWorld::deliver(RouterInput input) {
  if (frozenUntil_ > now_) {
    events_.emplace(frozenUntil_, [this, input] { stepRouter(input); });
    return;
  }
  stepRouter(input);
}

void ScenarioWorld::stepRouter(const RouterInput& input) {
  const auto* message = std::get_if<ControllerMessage>(&input);
  if (message != nullptr && std::holds_alternative<protocol::ProbeReply>(message->message)) {
    lastReply_ = now_;
  }
  router_->step(now_, input);
  const std::vector<RouterAction> actions = router_->takeActions();
  for (const RouterAction& action : actions) {
    execute(action);
  }
  lastStep_ = now_;
  CHECK_TRUE(router_->nextWakeup() > now_);
}

void ScenarioWorld::execute(const RouterAction& action) {
  if (const auto* token = std::get_if<CallerToken>(&action)) {
    oracle_.token(*token);
  } else if (const auto* ended = std::get_if<CallerEnded>(&action)) {
    oracle_.ended(*ended, lastStep_);
  } else if (const auto* refused = std::get_if<CallerRefused>(&action)) {
    oracle_.refused(*refused, lastStep_);
  } else if (const auto* start = std::get_if<StartAttempt>(&action)) {
    execute(*start);
  } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
    execute(*cancel);
  } else if (const auto* exporting = std::get_if<ExportAttempt>(&action)) {
    execute(*exporting);
  } else if (const auto* hold = std::get_if<HoldState>(&action)) {
    execute(*hold);
  } else if (const auto* keep = std::get_if<StoreState>(&action)) {
    execute(*keep);
  } else if (const auto* put = std::get_if<UploadState>(&action)) {
    execute(*put);
  } else if (const auto* drop = std::get_if<DiscardState>(&action)) {
    storedStates_.erase(drop->attempt.value);
  } else if (const auto* open = std::get_if<OpenController>(&action)) {
    execute(*open);
  } else if (const auto* close = std::get_if<CloseController>(&action)) {
    execute(*close);
  } else if (const auto* send = std::get_if<SendToController>(&action)) {
    execute(*send);
  } else {
    CHECK_TRUE(stopRequested_ && !stopped_);
    stopped_ = true;
  }
}

void ScenarioWorld::execute(const StartAttempt& action) {
  const engine::GenerateRequest& generate = action.generate;
  const CallerRequest& caller = oracle_.caller(generate.request);
  oracle_.started(generate);
  CHECK_TRUE(caller.repeatable || cell_.holds(caller.idempotencyKey, caller.request));
  const std::uint64_t attempt = generate.attempt.value;
  const std::size_t engine = engineNumber(action.endpoint);
  running_[attempt] = {generate, engine, generate.offset};
  const bool unreachable = reclaimed_.contains(engine) || random_.chance(faults_.connectFailure);
  const bool lostExport =
      generate.kvSource.has_value() && exports_.erase(generate.kvSource->handle) == 0;
  if (unreachable) {
    failAttempt(attempt, ErrorCode::connectFailed, GenerateFailed::Started::no);
  } else if (lostExport) {
    failAttempt(attempt, ErrorCode::notFound, GenerateFailed::Started::no);
  } else if (random_.chance(faults_.refusal)) {
    const ErrorCode codes[] = {ErrorCode::engineOverloaded, ErrorCode::modelNotLoaded};
    failAttempt(attempt, codes[random_.uniform(0, 1)], GenerateFailed::Started::no);
  } else {
    at(delay(5, 100), [this, attempt] {
      const auto run = running_.find(attempt);
      if (run == running_.end()) {
        return;
      }
      const engine::GenerateRequest generated = run->second.generate;
      at(delay(10, 40), [this, attempt] { sendEngineToken(attempt); });
      deliver(EngineEvent{engine::GenerateStarted{generated.request, {attempt}, {1}, {3, 1}}});
    });
  }
}

void ScenarioWorld::failAttempt(std::uint64_t attempt, ErrorCode code,
                                GenerateFailed::Started started) {
  const auto run = running_.find(attempt);
  const base::RequestId request = run->second.generate.request;
  running_.erase(run);
  if (started == GenerateFailed::Started::no) {
    oracle_.reportedNotStarted(request, {attempt});
  }
  at(delay(1, 10), [this, request, attempt, code, started] {
    deliver(EngineEvent{GenerateFailed{request, {attempt}, {code, "", ""}, started}});
  });
}

void ScenarioWorld::sendEngineToken(std::uint64_t attempt) {
  const auto found = running_.find(attempt);
  if (found == running_.end()) {
    return;
  }
  Running& run = found->second;
  const base::RequestId request = run.generate.request;
  if (run.next >= run.generate.maxTokens) {
    const engine::GenerateEnded ended{
        request, {attempt}, run.next, engine::FinishReason::stop, {2, 0}};
    running_.erase(found);
    deliver(EngineEvent{ended});
    return;
  }
  if (random_.chance(faults_.connectionLoss / 20)) {
    failAttempt(attempt, ErrorCode::connectionLost, GenerateFailed::Started::unknown);
    return;
  }
  if (random_.chance(faults_.stall / 20)) {
    running_.erase(found);
    return;
  }
  if (random_.chance(faults_.missingToken / 20)) {
    ++run.next;
  }
  const std::uint32_t offset = run.next++;
  const engine::GenerateToken token{
      request, {attempt}, offset, ScenarioOracle::tokenText(request, offset)};
  at(delay(10, 40), [this, attempt] { sendEngineToken(attempt); });
  deliver(EngineEvent{token});
  if (random_.chance(faults_.duplicateToken)) {
    deliver(EngineEvent{token});
  }
  if (random_.chance(faults_.crossedToken)) {
    engine::GenerateToken crossed = token;
    crossed.request = {"r" + std::to_string(random_.uniform(1, nextRequest_))};
    if (crossed.request != token.request) {
      deliver(EngineEvent{crossed});
    }
  }
}

void ScenarioWorld::execute(const CancelAttempt& action) {
  running_.erase(action.cancel.attempt.value);
}

void ScenarioWorld::execute(const ExportAttempt& action) {
  const std::uint64_t attempt = action.exportRequest.attempt.value;
  const base::RequestId request = action.exportRequest.request;
  at(delay(5, 50), [this, attempt, request] {
    const auto run = running_.find(attempt);
    if (run == running_.end() || random_.chance(0.1)) {
      const base::Error error{ErrorCode::unknownAttempt, "", ""};
      deliver(EngineExported{request, {attempt}, engine::ExportResult(error)});
      return;
    }
    const engine::ExportReply reply{"kv" + std::to_string(attempt), run->second.next};
    exports_[reply.handle] = reply.offset;
    running_.erase(run);
    oracle_.exported(request, {attempt});
    deliver(EngineExported{request, {attempt}, engine::ExportResult(reply)});
  });
}

void ScenarioWorld::execute(const HoldState& action) {
  at(delay(5, 50), [this, action] {
    const std::string handle = "held" + std::to_string(action.hold.attempt.value);
    const auto found = exports_.find(action.hold.source.handle);
    const bool answered = exports_.contains(handle);
    engine::HoldResult result = engine::HoldReply{handle};
    if (random_.chance(0.2)) {
      result = base::Error{ErrorCode::engineOverloaded, "", ""};
    } else if (!answered && found == exports_.end()) {
      result = base::Error{ErrorCode::unknownAttempt, "", ""};
    } else if (!answered) {
      exports_[handle] = found->second;
      exports_.erase(action.hold.source.handle);
    }
    deliver(StateHoldAnswered{action.engine, action.hold.request, action.hold.attempt, result});
  });
}

void ScenarioWorld::execute(const StoreState& action) {
  at(delay(5, 50), [this, action] {
    const auto found = exports_.find(action.source.handle);
    base::Result<void> result = base::success();
    if (found == exports_.end()) {
      result = base::Error{ErrorCode::unknownAttempt, "", ""};
    } else {
      storedStates_[action.attempt.value] = found->second;
      exports_.erase(found);
    }
    deliver(StateStored{action.request, action.attempt, result});
  });
}

void ScenarioWorld::execute(const UploadState& action) {
  at(delay(5, 50), [this, action] {
    const std::string handle = "held" + std::to_string(action.put.attempt.value);
    engine::HoldResult result = engine::HoldReply{handle};
    if (random_.chance(0.2) || !storedStates_.contains(action.put.attempt.value)) {
      result = base::Error{ErrorCode::engineOverloaded, "", ""};
    } else {
      exports_[handle] = storedStates_.at(action.put.attempt.value);
    }
    deliver(StateHoldAnswered{action.engine, action.put.request, action.put.attempt, result});
  });
}

void ScenarioWorld::execute(const OpenController& action) {
  const std::size_t controller = controllerNumber(action.endpoint);
  at(delay(1, 20), [this, controller, endpoint = action.endpoint] {
    if (random_.chance(0.1)) {
      deliver(ControllerDisconnected{endpoint});
      return;
    }
    connections_[controller] = {nextConnection_++};
    deliver(ControllerConnected{connections_[controller], endpoint, controllerHello(controller)});
  });
}

void ScenarioWorld::execute(const CloseController& action) {
  connections_.erase(controllerNumber(action.endpoint));
  watchIndexes_.erase(controllerNumber(action.endpoint));
}

void ScenarioWorld::disconnect(std::size_t controller) {
  connections_.erase(controller);
  watchIndexes_.erase(controller);
  deliver(ControllerDisconnected{controllerEndpoint(controller)});
}

void ScenarioWorld::execute(const SendToController& action) {
  for (const auto& [controller, connection] : connections_) {
    if (connection == action.connection) {
      at(delay(1, 5),
         [this, controller = controller, connection = connection, message = action.message] {
           const auto open = connections_.find(controller);
           if (open != connections_.end() && open->second == connection &&
               now_ >= cellUnreachableUntil_) {
             controllerReceives(controller, connection, message);
           }
         });
      return;
    }
  }
}

void ScenarioWorld::controllerReceives(std::size_t controller, protocol::ConnectionId connection,
                                       const protocol::Message& message) {
  if (const auto* probe = std::get_if<protocol::ProbeRequest>(&message)) {
    if (random_.chance(faults_.disconnect)) {
      disconnect(controller);
      return;
    }
    deliver(ControllerMessage{connection, cell_.probe(controller, probe->sequence)});
  } else if (const auto* watch = std::get_if<protocol::WatchRequest>(&message)) {
    watchIndexes_[controller] = cell_.index();
    for (const protocol::Message& answer : cell_.watch(watch->fromIndex)) {
      deliver(ControllerMessage{connection, answer});
    }
  } else if (const auto* claim = std::get_if<protocol::ClaimRequest>(&message)) {
    const control::ClaimOutcome outcome = cell_.claim(claim->claim);
    if (!random_.chance(faults_.claimReplyLoss)) {
      deliver(ControllerMessage{connection, protocol::ClaimReply{claim->sequence, outcome}});
    }
  }
}

void ScenarioWorld::pushDeltas() {
  const auto watchIndexes = watchIndexes_;
  for (const auto& [controller, index] : watchIndexes) {
    if (now_ < cellUnreachableUntil_ || random_.chance(0.1)) {
      continue;  // The delta is lost: the router has to detect that this controller lags.
    }
    watchIndexes_[controller] = cell_.index();
    for (const protocol::Message& message : cell_.watch(index)) {
      deliver(ControllerMessage{connections_.at(controller), message});
    }
  }
}

}  // namespace walnut::routing::testing
