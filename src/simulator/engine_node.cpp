#include "simulator/engine_node.h"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace walnut::simulator {

namespace {

/// Sabotage: share of tokens that are taken from another stream.
constexpr double kCrossedTokens = 0.2;
/// Sabotage: every n-th request (by its hash) is denied.
constexpr std::size_t kDeniedOf = 2;
/// Share of load orders that an intermediary delivers a second time, much later.
constexpr double kReplayedOrders = 0.1;
constexpr base::Duration kReplayAfterMin = std::chrono::seconds(5);
constexpr base::Duration kReplayAfterMax = std::chrono::seconds(60);

const char* stateName(engine::HeldState state) {
  switch (state) {
    case engine::HeldState::loading:
      return "loading";
    case engine::HeldState::ready:
      return "ready";
    case engine::HeldState::unloading:
      return "unloading";
    case engine::HeldState::failed:
      return "failed";
  }
  return "unknown";
}

std::pair<base::RequestId, base::AttemptId> keyOf(const engine::GenerateEvent& event) {
  return std::visit([](const auto& value) { return std::pair(value.request, value.attempt); },
                    event);
}

bool isTerminal(const engine::GenerateEvent& event) {
  return std::holds_alternative<engine::GenerateEnded>(event) ||
         std::holds_alternative<engine::GenerateFailed>(event);
}

}  // namespace

EngineNode::EngineNode(Environment& environment, const std::string& name, const std::string& zone,
                       base::Endpoint endpoint, std::string machineClass,
                       standin::EngineModelOptions options, WeightStoreNode& store)
    : Process(environment.network, name, zone),
      environment_(environment),
      endpoint_(std::move(endpoint)),
      machineClass_(std::move(machineClass)),
      options_(std::move(options)),
      baseName_(name),
      store_(store) {
  options_.id = base::EngineId{name};
  options_.sabotage.obeyStaleOrders = environment_.sabotage == Sabotage::engineObeysStaleOrders;
  options_.sabotage.loadWithoutOrder = environment_.sabotage == Sabotage::engineLoadsUnordered;
  options_.sabotage.dropLastToken = environment_.sabotage == Sabotage::engineDropsLastToken;
  environment_.engines[endpoint_] = this;
}

engine::PlatformMachine EngineNode::platformEntry() const {
  engine::PlatformMachine machine;
  machine.engine = options_.id;
  machine.endpoint = endpoint_;
  machine.zone = base::ZoneId{environment_.network.hostZone(host())};
  machine.machineClass = machineClass_;
  return machine;
}

void EngineNode::loseMachine() {
  machinePresent_ = false;
  kill();
}

void EngineNode::becomeNewMachine() {
  machinePresent_ = true;
  ++machineGeneration_;
  options_.id = base::EngineId{baseName_ + "-m" + std::to_string(machineGeneration_)};
  options_.cachedOnDisk.clear();
}

void EngineNode::onStart() {
  options_.incarnation = base::Incarnation{environment_.random().uniform(1, UINT64_MAX)};
  model_ = standin::makeEngineModel(options_);
  observedHoldings_.clear();
  observedViolations_ = 0;
  environment_.note(options_.id.value, "starts");
  settle();
}

void EngineNode::onKill() {
  model_.reset();
  streams_.clear();
  environment_.exchanges.resetAll(host());
  environment_.observe(EngineDied{options_.id.value});
}

engine::CallResult EngineNode::serveCall(const engine::Call& call) {
  const auto* order = std::get_if<engine::Order>(&call);
  engine::CallResult result = model_->call(localNow(), call);
  if (order != nullptr) {
    const bool load = order->action == engine::OrderAction::load;
    environment_.note(
        options_.id.value,
        std::string(load ? "load " : "unload ") + order->servable.version + " " +
            order->servable.adapter + " term " + std::to_string(order->token.term) +
            (result ? "" : std::string(" refused: ") + base::errorCodeName(result.error().code)));
    if (load && result) {
      replayOrderLater(*order);
    }
  }
  if (environment_.sabotage == Sabotage::engineOverstatesMemory && result) {
    if (auto* report = std::get_if<engine::Report>(&result.value())) {
      for (std::uint64_t& bytes : report->acceleratorBytes) {
        bytes *= 2;
      }
    }
  }
  settle();
  return result;
}

void EngineNode::replayOrderLater(const engine::Order& order) {
  const bool always = environment_.sabotage == Sabotage::engineObeysStaleOrders;
  if (!always && !environment_.random().chance(kReplayedOrders)) {
    return;
  }
  const base::Duration late = environment_.random().between(kReplayAfterMin, kReplayAfterMax);
  scheduler().after(late, [this, thisLife = life(), order] {
    post(thisLife, [this, order] {
      const engine::CallResult result = model_->call(localNow(), order);
      environment_.note(options_.id.value, std::string("replayed load of ") +
                                               order.servable.version +
                                               (result ? " accepted" : " refused"));
      settle();
    });
  });
}

void EngineNode::serveGenerate(const engine::GenerateRequest& request,
                               std::shared_ptr<Exchange> stream, EventHandler handler) {
  Stream opened{request, std::move(stream), std::move(handler), false};
  if (!request.kvSource) {
    startGenerate(std::move(opened));
    return;
  }
  importThenStart(std::move(opened));
}

void EngineNode::startGenerate(Stream stream) {
  const engine::GenerateRequest request = stream.request;
  const AttemptKey key{request.request, request.attempt};
  if (stream.exchange) {
    stream.exchange->setServerClosed([this, request] {
      if (streams_.contains({request.request, request.attempt})) {
        serveCancel(engine::CancelRequest{request.request, request.attempt});
      }
    });
  }
  const bool abandoned = stream.exchange && !stream.exchange->open();
  streams_[key] = std::move(stream);
  model_->generate(localNow(), request);
  settle();
  if (abandoned && streams_.contains(key)) {
    // The caller went away before the call was read: noticed at the first write.
    serveCancel(engine::CancelRequest{request.request, request.attempt});
  }
}

void EngineNode::serveCancel(const engine::CancelRequest& request) {
  streams_.erase({request.request, request.attempt});
  model_->cancel(localNow(), request);
  settle();
}

engine::ExportResult EngineNode::serveExport(const engine::ExportRequest& request) {
  engine::ExportResult result = model_->exportKv(localNow(), request);
  settle();
  return result;
}

bool EngineNode::serveImport(const std::string& handle) {
  const bool found = model_->importKv(localNow(), handle);
  settle();
  return found;
}

void EngineNode::setLeaving(bool leaving) {
  if (!alive()) {
    return;
  }
  model_->setLeaving(leaving);
  if (leaving) {
    environment_.observe(LeavingVisible{options_.id.value, LeavingSource::engine});
  }
  settle();
}

std::vector<engine::HeldServable> EngineNode::held() const {
  return model_ ? model_->held() : std::vector<engine::HeldServable>{};
}

std::vector<engine::CacheEvent> EngineNode::cacheEvents(std::uint64_t after) const {
  return model_->cacheEvents(after);
}

void EngineNode::settle() {
  for (const standin::EngineAction& action : model_->takeActions()) {
    if (const auto* read = std::get_if<standin::ReadFromStore>(&action)) {
      readFromStore(*read);
    } else {
      perform(std::get<engine::GenerateEvent>(action));
    }
  }
  observeHoldings();
  const auto& violations = model_->violations();
  for (; observedViolations_ < violations.size(); ++observedViolations_) {
    const std::string& what = violations[observedViolations_].what;
    environment_.note(options_.id.value, "stand-in reports: " + what);
    if (what.find("overcommit") != std::string::npos) {
      environment_.observe(EngineViolation{options_.id.value, what});
    }
  }
  scheduleWakeup(model_->nextWakeup(), [this] {
    model_->tick(localNow());
    settle();
  });
}

void EngineNode::perform(const engine::GenerateEvent& original) {
  engine::GenerateEvent event = original;
  const AttemptKey key = keyOf(event);
  const auto found = streams_.find(key);
  if (found == streams_.end()) {
    return;  // Cancelled, or an event of nobody.
  }
  Stream& stream = found->second;
  environment_.trace.mix(scheduler().now(), host() * 32 + 16 + event.index());
  bool deny = false;
  if (std::holds_alternative<engine::GenerateStarted>(event)) {
    environment_.observe(
        RunStarted{options_.id.value, key.first, stream.request.offset, stream.imported});
    // A request that may not be repeated is left alone, so that only one point is violated.
    deny = environment_.sabotage == Sabotage::engineDeniesExecution &&
           stream.request.prompt.rfind("once", 0) != 0 &&
           std::hash<std::string>{}(key.first.value) % kDeniedOf == 0;
  }
  auto* token = std::get_if<engine::GenerateToken>(&event);
  if (token != nullptr && environment_.sabotage == Sabotage::engineCrossesStreams &&
      environment_.random().chance(kCrossedTokens)) {
    token->text = standin::expectedToken(stream.request.servable, "another", token->offset + 1);
  }
  if (deny) {
    engine::GenerateFailed failed;
    failed.request = key.first;
    failed.attempt = key.second;
    failed.error = base::Error{base::ErrorCode::engineOverloaded, "", "planted denial"};
    failed.started = engine::GenerateFailed::Started::no;
    event = failed;
    model_->cancel(localNow(), engine::CancelRequest{key.first, key.second});
  }
  if (stream.exchange) {
    stream.exchange->reply([handler = stream.handler, event] { handler(event); });
  }
  if (isTerminal(event)) {
    const auto exchange = stream.exchange;
    streams_.erase(found);
    if (exchange) {
      exchange->finish();
    }
  }
}

void EngineNode::readFromStore(const standin::ReadFromStore& read) {
  const auto exchange = std::make_shared<Exchange>(
      network(), *this, store_.host(),
      [this, checkpoint = read.checkpoint](const std::optional<base::Error>& error) {
        if (error) {
          model_->storeRead(localNow(), standin::StoreRead{checkpoint, false});
          settle();
        }
      });
  environment_.exchanges.add(exchange);
  WeightStoreNode& store = store_;
  exchange->begin(&store, environment_.faults.storeReads, [this, &store, exchange, read] {
    const standin::ReadId id =
        store.read(read.checkpoint, read.bytes, [this, exchange, read](bool ok) {
          exchange->reply([this, read, ok] {
            model_->storeRead(localNow(), standin::StoreRead{read.checkpoint, ok});
            settle();
          });
          exchange->finish();
        });
    exchange->setServerClosed([&store, id] { store.abandon(id); });
  });
}

void EngineNode::observeHoldings() {
  std::vector<engine::HeldServable> held = model_->held();
  const bool same = std::equal(
      held.begin(), held.end(), observedHoldings_.begin(), observedHoldings_.end(),
      [](const engine::HeldServable& left, const engine::HeldServable& right) {
        return left.servable == right.servable && left.accelerator == right.accelerator &&
               left.bytes == right.bytes && left.state == right.state;
      });
  if (same) {
    return;
  }
  for (const engine::HeldServable& now : held) {
    const bool known = std::any_of(
        observedHoldings_.begin(), observedHoldings_.end(), [&](const engine::HeldServable& old) {
          return old.servable == now.servable && old.accelerator == now.accelerator &&
                 old.state == now.state;
        });
    if (!known) {
      environment_.note(options_.id.value, now.servable.version + " " + now.servable.adapter +
                                               " is " + stateName(now.state));
      environment_.counters.loads += now.state == engine::HeldState::ready ? 1 : 0;
      environment_.counters.unloads += now.state == engine::HeldState::unloading ? 1 : 0;
    }
  }
  environment_.observe(EngineHoldings{options_.id.value, options_.acceleratorBytes, held});
  observedHoldings_ = std::move(held);
}

}  // namespace walnut::simulator
