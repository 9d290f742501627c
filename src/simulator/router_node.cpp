#include "simulator/router_node.h"

#include <type_traits>
#include <utility>

#include "simulator/engine_node.h"
#include "walnut/factories.h"

namespace walnut::simulator {

namespace {

/// Sabotage: share of terminal answers that are dropped or doubled.
constexpr double kSabotagedAnswers = 0.2;
/// Sabotage: share of attempts that go to the leaving engine, or are resent.
constexpr double kSabotagedAttempts = 0.5;
/// Attempt numbers of resent calls, far from the router's own.
constexpr std::uint64_t kResentAttempts = 1ULL << 40U;
constexpr base::Duration kCacheEventInterval = std::chrono::seconds(2);

}  // namespace

RouterNode::RouterNode(Environment& environment, const std::string& name, const std::string& zone,
                       routing::RouterOptions options)
    : Process(environment.network, name, zone),
      environment_(environment),
      options_(std::move(options)) {}

void RouterNode::onStart() {
  stopping_ = false;
  const base::RouterId id{environment_.random().uniform(1, UINT64_MAX)};
  logic_ =
      routing::makeRouter(options_, id, environment_.random().uniform(1, UINT64_MAX), localNow());
  protocol::Hello hello;
  hello.role = protocol::PeerRole::router;
  hello.cell = options_.cell;
  hello.id = id.value;
  hello.zone = options_.zone;
  transport_ =
      std::make_shared<PeerTransport>(network(), environment_.peers, *this, hello, peerEvents());
  environment_.note(name(), "starts");
  pump();
  pollCacheEvents();
}

void RouterNode::onKill() {
  transport_->shutDown();
  transport_.reset();
  environment_.exchanges.resetAll(host());
  logic_.reset();
  controllers_.clear();
  requests_.clear();
  attempts_.clear();
  keptStates_.clear();
  cacheSequence_.clear();
}

PeerEvents RouterNode::peerEvents() {
  PeerEvents events;
  events.opened = [this](protocol::ConnectionId connection, const base::Endpoint& remote, bool,
                         const protocol::Hello& hello) {
    controllers_[remote] = connection;
    input(routing::ControllerConnected{connection, remote, hello});
  };
  events.closed = [this](protocol::ConnectionId connection, const base::Endpoint& remote) {
    const auto found = controllers_.find(remote);
    if (found != controllers_.end() && found->second == connection) {
      controllers_.erase(found);
      input(routing::ControllerDisconnected{remote});
    }
  };
  events.openFailed = [this](const base::Endpoint& remote) {
    input(routing::ControllerDisconnected{remote});
  };
  events.received = [this](protocol::ConnectionId connection, const protocol::Message& message) {
    receive(connection, message);
  };
  return events;
}

void RouterNode::receive(protocol::ConnectionId connection, const protocol::Message& message) {
  const auto* delta = std::get_if<protocol::WatchDelta>(&message);
  if (environment_.sabotage == Sabotage::edgeHidesConfiguration && delta != nullptr) {
    protocol::WatchDelta stripped = *delta;
    std::erase_if(stripped.changes, [](const protocol::Change& change) {
      const auto* changed = std::get_if<protocol::ResourceChanged>(&change);
      return changed != nullptr && changed->resource.key.kind == resource::Kind::adapter;
    });
    input(routing::ControllerMessage{connection, stripped});
    return;
  }
  input(routing::ControllerMessage{connection, message});
}

void RouterNode::input(const routing::RouterInput& value) {
  if (!logic_) {
    return;
  }
  environment_.trace.mix(scheduler().now(), host() * 32 + value.index());
  logic_->step(localNow(), value);
  pump();
}

void RouterNode::pump() {
  if (pumping_) {
    return;
  }
  pumping_ = true;
  const std::uint64_t thisLife = life();
  while (logic_ && life() == thisLife) {
    const std::vector<routing::RouterAction> actions = logic_->takeActions();
    if (actions.empty()) {
      break;
    }
    for (const routing::RouterAction& action : actions) {
      if (!logic_ || life() != thisLife) {
        break;
      }
      perform(action);
    }
  }
  pumping_ = false;
  if (logic_) {
    scheduleWakeup(logic_->nextWakeup(), [this] { input(routing::Tick{}); });
  }
}

void RouterNode::perform(const routing::RouterAction& action) {
  if (const auto* token = std::get_if<routing::CallerToken>(&action)) {
    const auto found = requests_.find(token->request);
    if (found != requests_.end()) {
      found->second.exchange->reply(
          [handler = found->second.handlers.token, token = *token] { handler(token); });
    }
  } else if (const auto* ended = std::get_if<routing::CallerEnded>(&action)) {
    performTerminal(ended->request,
                    [ended = *ended](const CallerHandlers& handlers) { handlers.ended(ended); });
  } else if (const auto* refused = std::get_if<routing::CallerRefused>(&action)) {
    performTerminal(refused->request, [refused = *refused](const CallerHandlers& handlers) {
      handlers.refused(refused);
    });
  } else if (const auto* start = std::get_if<routing::StartAttempt>(&action)) {
    startAttempt(*start);
  } else if (const auto* cancel = std::get_if<routing::CancelAttempt>(&action)) {
    cancelAttempt(*cancel);
  } else if (const auto* moved = std::get_if<routing::ExportAttempt>(&action)) {
    exportAttempt(*moved);
  } else if (const auto* hold = std::get_if<routing::HoldState>(&action)) {
    holdState(*hold);
  } else if (const auto* keep = std::get_if<routing::StoreState>(&action)) {
    keepState(*keep);
  } else if (const auto* put = std::get_if<routing::UploadState>(&action)) {
    putState(*put);
  } else if (const auto* drop = std::get_if<routing::DiscardState>(&action)) {
    keptStates_.erase({drop->request, drop->attempt});
  } else if (const auto* open = std::get_if<routing::OpenController>(&action)) {
    transport_->open(open->endpoint);
  } else if (const auto* close = std::get_if<routing::CloseController>(&action)) {
    const auto found = controllers_.find(close->endpoint);
    if (found != controllers_.end()) {
      const protocol::ConnectionId connection = found->second;
      controllers_.erase(found);
      transport_->close(connection);
    }
  } else if (const auto* send = std::get_if<routing::SendToController>(&action)) {
    transport_->send(send->connection, std::make_shared<const protocol::Message>(send->message));
  } else if (std::holds_alternative<routing::RouterStopped>(action)) {
    environment_.note(name(), "has stopped as planned");
    // Everything was answered: what is still open when the process exits is cut.
    scheduler().after(std::chrono::milliseconds(20), [this, thisLife = life()] {
      if (life() == thisLife) {
        kill();
      }
    });
  }
}

void RouterNode::performTerminal(const base::RequestId& request,
                                 const std::function<void(const CallerHandlers&)>& tell) {
  const auto found = requests_.find(request);
  if (found == requests_.end()) {
    return;
  }
  const OpenRequest open = std::move(found->second);
  requests_.erase(found);
  base::Random& random = environment_.random();
  if (environment_.sabotage == Sabotage::edgeSwallowsAnswers && random.chance(kSabotagedAnswers)) {
    return;
  }
  open.exchange->reply([handlers = open.handlers, tell] { tell(handlers); });
  if (environment_.sabotage == Sabotage::edgeAnswersTwice && random.chance(kSabotagedAnswers)) {
    open.exchange->reply([handlers = open.handlers, tell] { tell(handlers); });
  }
  open.exchange->finish();
}

void RouterNode::serveRequest(const CallerCall& call, std::shared_ptr<Exchange> exchange,
                              CallerHandlers handlers) {
  routing::CallerRequest request = call.request;
  request.deadline = localNow() + call.deadlineAfter;
  exchange->setServerClosed([this, id = request.request] {
    if (requests_.erase(id) > 0) {
      input(routing::CallerDisconnected{id});
    }
  });
  const bool abandoned = !exchange->open();
  requests_[request.request] = OpenRequest{std::move(exchange), std::move(handlers)};
  input(routing::CallerRequested{request});
  if (abandoned && requests_.erase(request.request) > 0) {
    input(routing::CallerDisconnected{request.request});
  }
}

void RouterNode::requestPlannedStop() {
  if (environment_.sabotage == Sabotage::routerKilledOnPlannedStop) {
    kill();
    return;
  }
  stopping_ = true;
  input(routing::PlannedShutdown{});
}

bool RouterNode::misroutes(const engine::GenerateRequest& generate) {
  // Once for a request that may be sent again: the refusal there then harms no other point.
  const bool once = generate.prompt.rfind("once", 0) == 0;
  return environment_.sabotage == Sabotage::edgeKeepsLeavingEngine &&
         environment_.drainedEngine != nullptr && !once &&
         environment_.random().chance(kSabotagedAttempts) &&
         misrouted_.insert(generate.request).second;
}

void RouterNode::startAttempt(const routing::StartAttempt& start) {
  EngineNode* target = environment_.findEngine(start.endpoint);
  if (misroutes(start.generate)) {
    target = environment_.drainedEngine;
  }
  const auto key = std::pair(start.generate.request, start.generate.attempt);
  const auto exchange =
      std::make_shared<Exchange>(network(), *this, target == nullptr ? host() : target->host(),
                                 [this, key](std::optional<base::Error> error) {
                                   attempts_.erase(key);
                                   if (!error) {
                                     return;
                                   }
                                   engine::GenerateFailed failed;
                                   failed.request = key.first;
                                   failed.attempt = key.second;
                                   failed.error = *error;
                                   failed.started = error->code == base::ErrorCode::connectFailed
                                                        ? engine::GenerateFailed::Started::no
                                                        : engine::GenerateFailed::Started::unknown;
                                   input(routing::EngineEvent{failed});
                                 });
  environment_.exchanges.add(exchange);
  attempts_[key] = exchange;
  if (target != nullptr) {
    environment_.observe(WorkSent{target->engineId().value, key.first});
  }
  exchange->begin(
      target, environment_.faults.generates, [this, target, exchange, generate = start.generate] {
        target->serveGenerate(generate, exchange,
                              [this](const auto& event) { input(routing::EngineEvent{event}); });
      });
  if (environment_.sabotage == Sabotage::networkResendsGenerate && target != nullptr &&
      environment_.random().chance(kSabotagedAttempts)) {
    engine::GenerateRequest resent = start.generate;
    resent.attempt.value += kResentAttempts;
    scheduler().after(std::chrono::milliseconds(5), [target, resent] {
      target->post(target->life(), [target, resent] {
        target->serveGenerate(resent, nullptr, [](const auto&) {});
      });
    });
  }
}

void RouterNode::cancelAttempt(const routing::CancelAttempt& cancel) {
  const auto found = attempts_.find({cancel.cancel.request, cancel.cancel.attempt});
  if (found != attempts_.end()) {
    found->second->closeByClient();
    attempts_.erase(found);
  }
  EngineNode* target = environment_.findEngine(cancel.endpoint);
  if (target == nullptr) {
    return;
  }
  const auto exchange = std::make_shared<Exchange>(network(), *this, target->host(),
                                                   [](const std::optional<base::Error>&) {});
  exchange->begin(target, ExchangeFaults{}, [target, exchange, request = cancel.cancel] {
    target->serveCancel(request);
    exchange->finish();
  });
}

void RouterNode::pollCacheEvents() {
  scheduler().after(kCacheEventInterval, [this, thisLife = life()] {
    if (life() != thisLife || !alive()) {
      return;
    }
    post(thisLife, [this] {
      for (const auto& [endpoint, engine] : environment_.engines) {
        const bool reachable = network().reachable(host(), engine->host()) &&
                               network().reachable(engine->host(), host());
        if (!engine->running() || !reachable || !environment_.random().chance(0.5)) {
          continue;
        }
        std::uint64_t& last = cacheSequence_[endpoint];
        const auto events = engine->cacheEvents(last);
        if (!events.empty()) {
          last = events.back().sequence;
          input(routing::CacheEventsRead{engine->engineId(), events});
        }
      }
    });
    pollCacheEvents();
  });
}

}  // namespace walnut::simulator
