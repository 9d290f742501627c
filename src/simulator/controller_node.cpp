#include "simulator/controller_node.h"

#include <type_traits>
#include <utility>
#include <variant>

#include "simulator/engine_node.h"
#include "walnut/factories.h"

namespace walnut::simulator {

namespace {

/// Small, so that runs of minutes roll segments.
constexpr std::uint64_t kSegmentBytes = 64U << 10U;
constexpr base::Duration kSyncMin = std::chrono::microseconds(300);
constexpr base::Duration kSyncMax = std::chrono::milliseconds(4);
/// A crash during persist falls after at most this many file operations.
constexpr std::uint64_t kMaxOperationsBeforeCrash = 3;
/// The driver's limit for reading the platform list.
constexpr base::Duration kPlatformReadTimeout = std::chrono::seconds(2);
/// Sabotage: share of writes that are acknowledged and dropped.
constexpr double kDroppedWrites = 0.3;

}  // namespace

ControllerNode::ControllerNode(Environment& environment, ControllerNodeOptions options,
                               PlatformNode& platform, base::ServerId identity)
    : Process(environment.network, options.name, options.zone.value),
      environment_(environment),
      options_(std::move(options)),
      platform_(platform),
      disk_(environment.random().uniform(1, UINT64_MAX)),
      identity_(identity) {
  environment_.peers.setHost(options_.peerEndpoint, host());
}

void ControllerNode::onStart() {
  storage_ = storage::makeLogStorage(disk_, kSegmentBytes);
  auto recovered = storage_->recover(identity_);
  if (!recovered) {
    environment_.extras.add(scheduler().now(), Point::consensus,
                            name() +
                                " can't recover: " + base::errorCodeName(recovered.error().code) +
                                " " + recovered.error().field + " " + recovered.error().detail);
    kill();
    return;
  }
  identity_ = recovered.value().self;
  environment_.consensus.recovered(scheduler().now(), recovered.value());
  environment_.note(name(), "starts as server " + std::to_string(identity_.value) + ", log to " +
                                std::to_string(recovered.value().entries.empty()
                                                   ? 0
                                                   : recovered.value().entries.back().index));
  protocol::Hello hello;
  hello.role = protocol::PeerRole::controller;
  hello.cell = options_.cell;
  hello.id = identity_.value;
  hello.zone = options_.zone;
  controller_ =
      control::makeController(options_.logic, options_.cell, std::move(recovered.value()),
                              bootstrap_, environment_.random().uniform(1, UINT64_MAX), localNow());
  transport_ =
      std::make_shared<PeerTransport>(network(), environment_.peers, *this, hello, peerEvents());
  environment_.peers.listen(options_.peerEndpoint, transport_.get());
  lastRole_ = consensus::Role::follower;
  pump();
}

void ControllerNode::onKill() {
  if (transport_) {
    environment_.peers.unlisten(options_.peerEndpoint);
    transport_->shutDown();
    transport_.reset();
  }
  environment_.exchanges.resetAll(host());
  controller_.reset();
  storage_.reset();
  const std::uint64_t tornBefore = disk_.tornWrites();
  disk_.crash();
  if (disk_.tornWrites() > tornBefore) {
    ++environment_.counters.faults["torn-write"];
  }
  links_.clear();
  inputs_.clear();
  replies_.clear();
  watches_.clear();
  syncing_ = false;
  armedCrash_.reset();
}

void ControllerNode::loseDisk(base::ServerId freshIdentity) {
  disk_.lose();
  identity_ = freshIdentity;
  bootstrap_ = consensus::Membership{};
}

void ControllerNode::crash(CrashPoint point) {
  if (point == CrashPoint::now) {
    kill();
  } else {
    armedCrash_ = point;
  }
}

void ControllerNode::requestPlannedStop() { input(control::PlannedShutdown{}); }

PeerEvents ControllerNode::peerEvents() {
  PeerEvents events;
  events.opened = [this](protocol::ConnectionId connection, const base::Endpoint& remote,
                         bool accepted, const protocol::Hello& hello) {
    if (!accepted) {
      PeerLink& link = links_[remote];
      link.opening = false;
      (link.primary ? link.secondary : link.primary) = connection;
    }
    input(control::PeerOpened{connection, hello});
  };
  events.closed = [this](protocol::ConnectionId connection, const base::Endpoint& remote) {
    PeerLink& link = links_[remote];
    if (link.primary == connection) {
      link.primary = std::exchange(link.secondary, std::nullopt);
    } else if (link.secondary == connection) {
      link.secondary.reset();
    }
    input(control::PeerClosed{connection});
  };
  events.openFailed = [this](const base::Endpoint& remote) { links_[remote].opening = false; };
  events.received = [this](protocol::ConnectionId connection, const protocol::Message& message) {
    input(control::PeerMessage{connection, message});
  };
  return events;
}

void ControllerNode::input(control::ControllerInput value) {
  if (!controller_) {
    return;
  }
  inputs_.push_back(std::move(value));
  pump();
}

void ControllerNode::pump() {
  if (pumping_ || syncing_ || !controller_) {
    return;
  }
  pumping_ = true;
  const std::uint64_t thisLife = life();
  while (alive() && life() == thisLife && !syncing_) {
    while (!inputs_.empty()) {
      environment_.trace.mix(scheduler().now(), host() * 32 + inputs_.front().index());
      controller_->step(localNow(), inputs_.front());
      inputs_.pop_front();
    }
    control::ControllerOutputs outputs = controller_->takeOutputs();
    environment_.consensus.batch(scheduler().now(), outputs.persist, identity_);
    if (outputs.persist.snapshot && outputs.persist.discardLog) {
      ++environment_.counters.snapshotsInstalled;
    }
    checkInvariants();
    if (!outputs.persist.empty()) {
      beginPersist(std::move(outputs));
    } else if (outputs.actions.empty() || !perform(outputs.actions)) {
      break;
    }
  }
  pumping_ = false;
  if (alive() && !syncing_) {
    scheduleTick();
  }
}

base::Duration ControllerNode::drawSyncTime() {
  base::Random& random = environment_.random();
  base::Duration time = random.between(kSyncMin, kSyncMax);
  if (random.chance(environment_.faults.diskSlow)) {
    time += random.between(base::Duration{0}, environment_.faults.diskSlowMax);
  }
  return time;
}

void ControllerNode::beginPersist(control::ControllerOutputs outputs) {
  syncing_ = true;
  scheduler().after(drawSyncTime(), [this, thisLife = life(), outputs = std::move(outputs)] {
    post(thisLife, [this, outputs] { finishPersist(outputs); });
  });
}

void ControllerNode::finishPersist(const control::ControllerOutputs& outputs) {
  if (armedCrash_ == CrashPoint::beforePersist) {
    kill();
    return;
  }
  if (armedCrash_ == CrashPoint::duringPersist) {
    disk_.armFailure(environment_.random().uniform(0, kMaxOperationsBeforeCrash));
  }
  const auto persisted = storage_->persist(outputs.persist);
  disk_.disarm();
  const bool dies =
      armedCrash_ == CrashPoint::duringPersist || armedCrash_ == CrashPoint::afterPersist;
  if (!persisted || dies) {
    if (!dies) {
      environment_.extras.add(scheduler().now(), Point::consensus,
                              name() + " can't persist: " + persisted.error().detail);
    }
    kill();
    return;
  }
  syncing_ = false;
  if (!perform(outputs.actions)) {
    return;
  }
  controller_->step(localNow(), control::Persisted{});
  checkInvariants();
  pump();
}

bool ControllerNode::perform(const std::vector<control::ControllerAction>& actions) {
  const bool dies = armedCrash_ == CrashPoint::duringActions && !actions.empty();
  const std::size_t count =
      dies ? environment_.random().uniform(0, actions.size() - 1) : actions.size();
  const std::uint64_t thisLife = life();
  for (std::size_t index = 0; index < count; ++index) {
    performOne(actions[index]);
    if (!alive() || life() != thisLife) {
      return false;
    }
  }
  if (dies) {
    kill();
    return false;
  }
  return true;
}

void ControllerNode::performOne(const control::ControllerAction& action) {
  if (const auto* toServer = std::get_if<control::SendToServer>(&action)) {
    sendToServer(*toServer);
  } else if (const auto* back = std::get_if<control::SendToConnection>(&action)) {
    transport_->send(back->connection, std::make_shared<const protocol::Message>(back->message));
  } else if (const auto* answer = std::get_if<control::ApiAnswer>(&action)) {
    const auto handler = replies_.find(answer->call);
    if (handler != replies_.end()) {
      const ReplyHandler reply = std::move(handler->second);
      replies_.erase(handler);
      reply(answer->reply);
    }
  } else if (const auto* events = std::get_if<control::ApiWatchEvents>(&action)) {
    const auto handler = watches_.find(events->call);
    if (handler != watches_.end()) {
      handler->second(*events);
    }
  } else if (const auto* call = std::get_if<control::EngineCall>(&action)) {
    callEngine(*call);
  } else if (std::holds_alternative<control::ReadPlatformList>(action)) {
    readPlatformList();
  } else if (std::holds_alternative<control::ControllerStopped>(action)) {
    environment_.note(name(), "has stopped as planned");
    kill();
  }
}

void ControllerNode::sendToServer(const control::SendToServer& send) {
  PeerLink& link = links_[send.endpoint];
  base::Random& random = environment_.random();
  const EdgeFaults& faults = environment_.faults;
  const bool wantsSecondary = faults.raftReorder > 0 || faults.raftDuplicate > 0;
  const bool missing = !link.primary || (wantsSecondary && !link.secondary);
  if (missing && !link.opening) {
    link.opening = true;
    transport_->open(send.endpoint);
  }
  if (!link.primary) {
    return;
  }
  const auto message = std::make_shared<const protocol::Message>(send.message);
  const bool isConsensus = std::holds_alternative<consensus::Message>(send.message);
  if (!isConsensus || !link.secondary) {
    transport_->send(*link.primary, message);
    return;
  }
  const bool duplicate = random.chance(faults.raftDuplicate);
  const bool second = random.chance(faults.raftReorder);
  if (!second || duplicate) {
    transport_->send(*link.primary, message);
  }
  if (second || duplicate) {
    // The second connection is the slower one, so that its messages arrive out of order.
    const base::Duration late = random.between(base::Duration{0}, std::chrono::milliseconds(300));
    scheduler().after(late, [transport = transport_, connection = *link.secondary, message] {
      transport->send(connection, message);
    });
  }
}

std::shared_ptr<Exchange> ControllerNode::makeCall(HostIndex server, std::uint64_t call) {
  auto exchange = std::make_shared<Exchange>(
      network(), *this, server, [this, call](std::optional<base::Error> error) {
        if (error) {
          input(control::EngineCallFinished{call, engine::CallResult(*error)});
        }
      });
  environment_.exchanges.add(exchange);
  exchange->setTimeout(options_.logic.callTimeout);
  return exchange;
}

void ControllerNode::callEngine(const control::EngineCall& call) {
  EngineNode* engine = environment_.findEngine(call.endpoint);
  const HostIndex server = engine == nullptr ? host() : engine->host();
  const auto exchange = makeCall(server, call.call);
  exchange->begin(
      engine, environment_.faults.engineCalls,
      [this, exchange, engine, id = call.call, request = call.request] {
        const engine::CallResult result = engine->serveCall(request);
        exchange->reply([this, id, result] { input(control::EngineCallFinished{id, result}); });
        exchange->finish();
      });
}

void ControllerNode::readPlatformList() {
  auto exchange = std::make_shared<Exchange>(
      network(), *this, platform_.host(), [this](std::optional<base::Error> error) {
        if (error) {
          input(control::PlatformListRead{base::Result<engine::PlatformList>(*error)});
        }
      });
  environment_.exchanges.add(exchange);
  exchange->setTimeout(kPlatformReadTimeout);
  exchange->begin(&platform_, environment_.faults.platformReads, [this, exchange] {
    const engine::PlatformList list = platform_.serveList();
    exchange->reply([this, list] {
      input(control::PlatformListRead{base::Result<engine::PlatformList>(list)});
    });
    exchange->finish();
  });
}

void ControllerNode::scheduleTick() {
  scheduleWakeup(controller_->nextWakeup(), [this] { input(control::Tick{}); });
}

void ControllerNode::checkInvariants() {
  const consensus::RaftStatus status = controller_->raftStatus();
  environment_.consensus.status(scheduler().now(), status);
  if (status.role == lastRole_) {
    return;
  }
  if (status.role == consensus::Role::leader) {
    ++environment_.counters.leaderChanges;
    environment_.note(name(), "leads in term " + std::to_string(status.term));
  } else if (lastRole_ == consensus::Role::leader) {
    environment_.note(name(), "no longer leads, term " + std::to_string(status.term));
  }
  lastRole_ = status.role;
}

void ControllerNode::serveCall(const protocol::ApiRequest& request, ReplyHandler reply) {
  const auto* put = std::get_if<control::PutResource>(&request);
  if (environment_.sabotage == Sabotage::edgeAcknowledgesEarly && put != nullptr &&
      put->expectedVersion.value_or(0) != 0 && environment_.random().chance(kDroppedWrites)) {
    protocol::ApiReply early;
    early.version = *put->expectedVersion + 1;
    reply(early);
    return;
  }
  const std::uint64_t call = nextCall_++;
  replies_[call] = std::move(reply);
  input(control::ApiCall{call, request});
}

std::uint64_t ControllerNode::openWatch(std::optional<resource::Kind> kind, resource::Version from,
                                        WatchHandler handler) {
  const std::uint64_t call = nextCall_++;
  watches_[call] = std::move(handler);
  input(control::ApiWatchOpened{call, kind, from});
  return call;
}

void ControllerNode::closeWatch(std::uint64_t call) {
  if (watches_.erase(call) > 0) {
    input(control::ApiWatchClosed{call});
  }
}

}  // namespace walnut::simulator
