#include "simulator/serving_fleet.h"

#include <algorithm>
#include <sstream>
#include <utility>
#include <variant>

#include "simulator/serving_caller.h"
#include "simulator/serving_document.h"
#include "walnut/registry/feature_level.h"

namespace walnut::simulator {

namespace {

constexpr base::ServerId kSelf{1};
/// Term of a cell without a leader yet.
constexpr consensus::Term kFoundingTerm = 1;
const char* const kFirstVersion = "v1";  ///< Of the workers' software.
/// Start of the first workers by their clocks.
constexpr std::uint64_t kFirstBornMillis = 1;
/// How often a leader looks for what is due.
constexpr base::Duration kLeaderTurn = std::chrono::milliseconds(10);

const base::Error kConnectFailed{base::ErrorCode::connectFailed, "", ""};

}  // namespace

ServingFleet::ServingFleet(const ServingFleetOptions& options)
    : options_(options),
      scheduler_(options.seed),
      startedAt_(scheduler_.now()),
      reader_(std::make_unique<Reader>(options)),
      documents_(*reader_),
      turns_(scheduler_.now()),
      retryAccount_(options.retryRatio, options.retrySlack) {
  registryOptions_.ordersFenced = true;
  state_.apply(registry::StoreDocument{documentVersion_, std::to_string(documentVersion_)});
  if (options.promptParts) {
    state_.apply(registry::RaiseFeatureLevel{registry::kCellFeatureLevel});
  }
  for (std::size_t index = 0; index < options.workers; ++index) {
    const std::string name = "w" + std::to_string(index);
    registry::WorkerRecord record;
    record.id = {name};
    record.service = kServingService;
    record.endpoint = {"10.1.0.1", static_cast<std::uint16_t>(index + 1)};
    record.slots = options.worker.slots;
    record.softwareVersion = kFirstVersion;
    record.bornMillis = kFirstBornMillis;
    state_.apply(registry::StoreWorker{record});
    workers_.push_back(std::make_unique<ServingWorker>(record, options.worker, scheduler_));
  }
  term_ = kFoundingTerm;
  lead();
  gateways_.resize(options.gateways);
  gatewayDisturbedAt_.resize(options.gateways);
  gatewayCutUntil_.resize(options.gateways);
  gatewayLives_.resize(options.gateways);
  workerCuts_.resize(options.gateways);
  for (std::size_t index = 0; index < options.gateways; ++index) {
    startGateway(index);
  }
  for (std::size_t index = 0; index < workers_.size(); ++index) {
    beat(index);
  }
  runLeader();
  ask();
}

ServingFleet::~ServingFleet() = default;

void ServingFleet::lead() {
  leader_ = std::make_unique<registry::LeaderDuties>(registryOptions_, documents_, state_, ++term_,
                                                     kSelf, log_, scheduler_.now(), turns_);
}

std::uint32_t ServingFleet::leaderLevel() const {
  return options_.leaderSharesLimits ? registry::kFeatureLevel
                                     : registry::feature::kHeartbeatBatches;
}

void ServingFleet::startGateway(std::size_t index) {
  gateway::GatewayOptions options;
  options.selection.seed = scheduler_.random().uniform(1, 1'000'000);
  options.retryRatio = options_.retryRatio;
  options.retrySlack = options_.retrySlack;
  ++gatewayLives_[index];
  ServingGatewayLinks& links = *this;
  gateways_[index] =
      std::make_unique<ServingGateway>(index, scheduler_, links, options, leaderLevel());
  gateways_[index]->start();
}

void ServingFleet::run(base::Duration duration) {
  scheduler_.runUntil(scheduler_.now() + duration);
}

std::vector<std::size_t> ServingFleet::failWorkers(std::size_t count, WorkerFault fault) {
  std::vector<std::size_t> sound;
  for (std::size_t index = 0; index < workers_.size(); ++index) {
    if (workers_[index]->fault() == WorkerFault::none) {
      sound.push_back(index);
    }
  }
  std::vector<std::size_t> drawn;
  while (drawn.size() < count && !sound.empty()) {
    const std::size_t place = scheduler_.random().uniform(0, sound.size() - 1);
    drawn.push_back(sound[place]);
    workers_[sound[place]]->setFault(fault);
    sound.erase(sound.begin() + static_cast<std::ptrdiff_t>(place));
  }
  return drawn;
}

void ServingFleet::failWorkers(base::Duration begin, base::Duration end, std::size_t count,
                               WorkerFault fault) {
  scheduler_.after(begin, [this, healAfter = end - begin, count, fault] {
    scheduler_.after(healAfter, [this, failed = failWorkers(count, fault)] {
      for (const std::size_t index : failed) {
        workers_[index]->setFault(WorkerFault::none);
      }
    });
  });
}

// The leader and the workers

void ServingFleet::runLeader() {
  scheduler_.after(kLeaderTurn, [this] { runLeader(); });
  if (leader_ == nullptr) {
    return;
  }
  leader_->run(scheduler_.now(), {true, true}, {});
  for (const registry::Command& command : leader_->takeCommands()) {
    state_.apply(command);
    leader_->stateChanged(scheduler_.now());
  }
  for (const registry::RegistryAction& action : leader_->takeActions()) {
    carryOut(action);
  }
}

void ServingFleet::carryOut(const registry::RegistryAction& action) {
  if (const auto* send = std::get_if<control::SendToConnection>(&action)) {
    const std::size_t gateway = send->connection.value - 1;
    const auto* message = std::get_if<registry::RegistryMessage>(&send->message);
    scheduler_.after(kLinkDelay, [this, gateway, term = term_, copy = *message] {
      if (term == term_ && scheduler_.now() >= gatewayCutUntil_[gateway]) {
        gateways_[gateway]->received(copy);
      }
    });
  } else if (const auto* sent = std::get_if<registry::SendOrder>(&action)) {
    order(*sent);
  } else if (const auto* read = std::get_if<registry::ReadReport>(&action)) {
    scheduler_.after(2 * kLinkDelay, [this, term = term_, id = read->worker.id] {
      if (term == term_ && leader_ != nullptr) {
        const ServingWorker* worker = find(id);
        leader_->reportFinished(
            {id, worker == nullptr ? base::Result<registry::WorkerReport>(kConnectFailed)
                                   : worker->report()},
            scheduler_.now());
      }
    });
  }
}

void ServingFleet::order(const registry::SendOrder& order) {
  scheduler_.after(kLinkDelay, [this, order, term = term_] {
    ServingWorker* const worker = find(order.worker.id);
    const registry::OrderOutcome outcome =
        worker == nullptr ? registry::OrderOutcome::unclear
                          : worker->order(order, [this, worker, model = order.model] {
                              if (worker->holds(model)) {
                                noteLoaded(model);
                              }
                              heard(*worker);
                            });
    if (outcome == registry::OrderOutcome::accepted && order.adapter.empty()) {
      noteModelOrder(order, *worker);
    }
    scheduler_.after(kLinkDelay, [this, term, number = order.order, outcome] {
      if (term == term_ && leader_ != nullptr) {
        leader_->orderFinished({number, outcome}, scheduler_.now());
      }
    });
  });
}

double ServingFleet::sinceStart(base::TimePoint time) const {
  return std::chrono::duration<double>(time - startedAt_).count();
}

void ServingFleet::noteModelOrder(const registry::SendOrder& order, const ServingWorker& worker) {
  ++modelOrders_;
  const bool fromStore = order.load && !worker.hasCopy(order.model);
  const char* const source = fromStore ? " store " : " disk ";
  std::ostringstream text;
  text << " " << sinceStart(scheduler_.now()) << "s" << (order.load ? source : " unload ")
       << worker.record().id.value;
  loads_[order.model] += text.str();
  if (!fromStore) {
    return;
  }
  const auto elsewhere = [this](auto has) {
    return std::any_of(workers_.begin(), workers_.end(),
                       [&has](const auto& other) { return !other->crashed() && has(*other); });
  };
  ++storeAccount_.loads;
  const bool onDiskElsewhere =
      elsewhere([&order](const ServingWorker& other) { return other.hasCopy(order.model); });
  storeAccount_.onDiskElsewhere += onDiskElsewhere;
  storeAccount_.whileOthersNeededIt += onDiskElsewhere && othersNeedTheStore();
  storeAccount_.servedElsewhere +=
      elsewhere([&order](const ServingWorker& other) { return other.holds(order.model); });
}

void ServingFleet::heard(ServingWorker& worker) {
  if (leader_ == nullptr || worker.crashed()) {
    return;
  }
  if (leader_->heartbeat(worker.heartbeat(), scheduler_.now())) {
    state_.apply(registry::StoreWorker{worker.record()});
    leader_->stateChanged(scheduler_.now());
  }
}

void ServingFleet::beat(std::size_t worker) {
  heard(*workers_[worker]);
  const base::Duration interval = registryOptions_.heartbeatInterval;
  scheduler_.after(scheduler_.random().between(interval * 9 / 10, interval),
                   [this, worker] { beat(worker); });
}

/// @return the worker that takes what is sent to that one: itself, or a later incarnation under the
/// same name at the same endpoint.
ServingWorker* ServingFleet::find(const registry::WorkerId& id) {
  const std::string name = id.value.substr(0, id.value.find('#'));
  const auto found = std::find_if(workers_.begin(), workers_.end(), [&](const auto& worker) {
    const registry::WorkerRecord& record = worker->record();
    return (record.id == id || record.calledName() == name) && !worker->crashed();
  });
  return found == workers_.end() ? nullptr : found->get();
}

// Links of the gateways

bool ServingFleet::isUp(const registry::WorkerId& process) const {
  return std::any_of(workers_.begin(), workers_.end(), [&process](const auto& worker) {
    return worker->record().id == process && !worker->crashed();
  });
}

void ServingFleet::toWorker(std::size_t gateway, const registry::WorkerRecord& record,
                            std::shared_ptr<ServingCall> call) {
  call->sentAt = scheduler_.now();
  call->gateway = gateway;
  if (isCutFromWorkers(gateway)) {
    failCall(gateway, call);
    return;
  }
  ServingGateway* const sender = gateways_[gateway].get();
  scheduler_.after(kLinkDelay, [this, gateway, sender, inTouch = inTouch(gateway), id = record.id,
                                call = std::move(call)] {
    if (!call->cancelled) {
      arrived(gateway, call, id, inTouch,
              [sender](const std::function<void()>& input) { sender->run(input); });
    }
  });
}

void ServingFleet::arrived(std::size_t gateway, const std::shared_ptr<ServingCall>& call,
                           const registry::WorkerId& id, bool inTouch,
                           const ServingWorker::InLoop& inLoop) {
  ServingWorker* const worker = find(id);
  if (worker == nullptr) {
    inLoop([call] {
      if (!call->cancelled) {
        call->callbacks->onResponseFailure(kConnectFailed, false);
      }
    });
    return;
  }
  call->connection->process = worker->record().id;
  noteLimitedArrival(gateway, call, *worker);
  retryAccount_.arrived(*call->request.headers.find("Id"), scheduler_.now());
  if (const auto crashing = call->request.headers.findNumber(kCrashingField)) {
    arrivedCrashing(*crashing, call, *worker, inTouch, inLoop);
    return;
  }
  if (arrivedWithCrashingPart(call, *worker, inTouch && undisturbed(gateway), inLoop)) {
    return;
  }
  requestsToFailing_ += worker->fault() == WorkerFault::none ? 0 : 1;
  noteFault(*call, *worker);
  const auto [model, adapter] = splitTarget(*call->request.headers.find("Model"));
  worker->receive(call, model, adapter, inLoop);
}

}  // namespace walnut::simulator
