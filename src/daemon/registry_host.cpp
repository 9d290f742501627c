#include "daemon/registry_host.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "daemon/guarded_run.h"
#include "walnut/registry/feature_level.h"
#include "walnut/runtime/clock.h"

namespace walnut::daemon {

namespace {

using runtime::LogEvent;

constexpr int kOk = 200;
constexpr std::string_view kMetricsPath = "/metrics";
constexpr base::Duration kStopCheckInterval = std::chrono::milliseconds(50);
/// A document of thousands of routes.
constexpr std::size_t kMaxCallBytes = 4U << 20U;
constexpr std::size_t kMaxWaitingMessages = 4;
/// A turn of the loop that is longer is told of: as long as the time between two heartbeats of a
/// leader, a fifth of its lease.
constexpr base::Duration kLongTurn = std::chrono::milliseconds(100);
/// Of a turn, for what the logic has to do: what is left then waits for the next turn, in which
/// other servers are heard first. A fifth of the time between two heartbeats of a leader.
constexpr base::Duration kInboxSlice = std::chrono::milliseconds(10);
constexpr base::Duration kSettleSlice = std::chrono::milliseconds(20);
constexpr base::Duration kLongTurnLogInterval = std::chrono::seconds(1);
/// Syncs that are longer are logged.
constexpr base::Duration kSlowSync = std::chrono::milliseconds(100);
/// Of log entries: on a slow disk one need not wait for the sync of an earlier one.
constexpr std::size_t kMaxBatchesInFlight = 3;
/// With some for votes and memberships, which don't wait for those.
constexpr std::size_t kMaxSyncs = 8;
/// One more than syncs: it may still be about to end its turn when the next batch comes.
constexpr std::size_t kStorageThreads = kMaxSyncs + 1;
constexpr std::size_t kStorageStackBytes = 256U << 10U;
constexpr base::Duration kRefusedCallLogInterval = std::chrono::seconds(1);
constexpr std::size_t kLoggedPathBytes = 64;

net::ServerLimits controlLimits() {
  net::ServerLimits limits;
  limits.maxBodyBytes = kMaxCallBytes;
  limits.idleTimeout = std::chrono::seconds(60);
  return limits;
}

net::ClientPoolOptions callOptions() {
  net::ClientPoolOptions options;
  options.timeouts.connect = std::chrono::milliseconds(500);
  return options;
}

registry::RegistryOptions withOverlappingBatches(registry::RegistryOptions options) {
  options.raft.maxBatchesInFlight = kMaxBatchesInFlight;
  return options;
}

}  // namespace

RegistryHost::RegistryHost(const RegistrySettings& settings, const RegistryDialects& dialects,
                           DataFolder folder, runtime::OutputLog& log)
    : settings_(settings),
      dialects_(dialects),
      self_(folder.recovered.self),
      log_(log),
      folder_(std::move(folder)),
      registry_(registry::makeRegistry(
          withOverlappingBatches(settings.logic), std::move(folder_.recovered),
          foundersOf(settings), dialects.document, log, runtime::randomSeed(), runtime::now())),
      client_(dispatcher_, callOptions()),
      wakeup_(dispatcher_.createTimer([this] { step(registry::Tick{}); })),
      stopTimer_(dispatcher_.createTimer([this] { checkStopped(); })),
      queue_(
          runtime::now,
          [this](const net::HttpRequest& request, net::ResponseSink& sink) {
            serveCall(request, sink);
          },
          [this](const net::HttpRequest& /*request*/, net::ResponseSink& sink) {
            metrics_.count("walnut_registry_calls_total", "given-up");
            sink.respond(dialects_.control.writeError(
                {base::ErrorCode::timedOut, "", "the call waited for too long"}));
          }),
      storageThreads_(kStorageThreads, kStorageStackBytes) {}

RegistryHost::~RegistryHost() = default;

base::Result<void> RegistryHost::start() {
  transport::TransportOptions options;
  options.hello.role = protocol::PeerRole::controller;
  options.hello.id = self_.value;
  options.hello.zone = settings_.logic.self.zone;
  options.hello.featureLevel = registry::kFeatureLevel;
  options.listenAddress = settings_.peer.address;
  options.listenPort = settings_.peer.port;
  BOOST_OUTCOME_TRY(
      transport, transport::makeTransport(options, [this](transport::Event event) {
        dispatcher_.post([this, event = std::move(event)]() mutable { takeEvent(event); });
      }));
  transport_ = std::move(transport);
  links_.emplace(*transport_, self_, runtime::randomSeed());
  BOOST_OUTCOME_TRY(control,
                    net::HttpServer::open(dispatcher_, settings_.listen, controlLimits(), *this));
  control_ = std::move(control);
  dispatcher_.setEndOfTurn([this] { settle(); });
  wakeup_->enableAt(dispatcher_.now());
  return base::success();
}

void RegistryHost::step(const registry::RegistryInput& input) {
  registry_->step(dispatcher_.now(), input);
}

void RegistryHost::takeEvent(transport::Event& event) {
  if (const auto* opened = std::get_if<transport::Opened>(&event)) {
    takeOpened(*opened);
  } else if (const auto* closed = std::get_if<transport::Closed>(&event)) {
    takeClosed(*closed);
  } else if (const auto* failed = std::get_if<transport::OpenFailed>(&event)) {
    takeOpenFailed(*failed);
  } else if (auto* received = std::get_if<transport::Received>(&event)) {
    registry::LinkReceived input{received->connection, std::move(received->message)};
    if (std::holds_alternative<consensus::Message>(input.message)) {
      step(input);
    } else {
      queue(std::move(input));
    }
  }
}

void RegistryHost::queue(registry::RegistryInput input) {
  inbox_.push_back(std::move(input));
  if (!std::exchange(inboxSoon_, true)) {
    dispatcher_.runSoon([this] { serveInbox(); });
  }
}

/// Votes and heartbeats of the cell never wait behind thousands of other messages.
void RegistryHost::serveInbox() {
  const base::TimePoint begin = runtime::now();
  while (!inbox_.empty() && runtime::now() < begin + kInboxSlice) {
    step(inbox_.front());
    inbox_.pop_front();
  }
  inboxSoon_ = !inbox_.empty();
  if (inboxSoon_) {
    dispatcher_.runSoon([this] { serveInbox(); });
  }
}

void RegistryHost::takeOpened(const transport::Opened& event) {
  const registry::LinkOpened input{event.connection, event.hello};
  if (event.hello.role != protocol::PeerRole::controller) {
    queue(input);
    return;
  }
  step(input);  // Before messages of consensus, which are not queued: they depend on the level.
  links_->opened(dispatcher_.now(), event);
  const auto found = endpointLinks_.find(event.remote);
  if (event.accepted || found == endpointLinks_.end()) {
    return;
  }
  found->second.connection = event.connection;
  found->second.opening = false;
  for (const protocol::Message& message : std::exchange(found->second.waiting, {})) {
    transport_->send(event.connection, message);
  }
}

void RegistryHost::takeClosed(const transport::Closed& event) {
  links_->closed(event);
  std::erase_if(endpointLinks_, [&event](const auto& entry) {
    return entry.second.connection == event.connection;
  });
  queue(registry::LinkClosed{event.connection});
}

void RegistryHost::takeOpenFailed(const transport::OpenFailed& event) {
  links_->openFailed(dispatcher_.now(), event);
  const auto found = endpointLinks_.find(event.remote);
  if (found != endpointLinks_.end() && found->second.opening) {
    endpointLinks_.erase(found);
  }
}

void RegistryHost::settle() {
  if (storageFailed_) {
    return;
  }
  const base::TimePoint begin = runtime::now();
  bool more = true;
  while (more && !storageFailed_ && runtime::now() < begin + kSettleSlice) {
    more = settleOnce();
  }
  if (!storageFailed_) {
    wakeup_->enableAt(more ? dispatcher_.now() : registry_->nextWakeup());
  }
  noteLongTurn();
  log_.flushIfDue(dispatcher_.now());
}

void RegistryHost::noteLongTurn() {
  const base::TimePoint now = runtime::now();
  const base::Duration turn = now - dispatcher_.now();
  if (turn < kLongTurn || now < longTurnLoggedAt_ + kLongTurnLogInterval) {
    return;
  }
  longTurnLoggedAt_ = now;
  const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(turn);
  log_.write(LogEvent::loopHeldUp,
             {{"millis", static_cast<std::uint64_t>(millis.count())},
              {"leading", registry_->raftStatus().role == consensus::Role::leader ? "yes" : "no"}});
}

bool RegistryHost::settleOnce() {
  registry::RegistryOutputs outputs = registry_->takeOutputs();
  if (outputs.unreadable) {
    noteStorageFailure(*outputs.unreadable);
    return false;
  }
  if (!outputs.persist.empty()) {
    beginPersist(std::move(outputs.persist));
  }
  for (const consensus::ElectionReport& election : outputs.elections) {
    metrics_.count("walnut_registry_elections_total",
                   std::string(consensus::electionEndName(election.end)));
  }
  for (const registry::JoinStep step : outputs.joinSteps) {
    noteJoinStep(step);
  }
  noteRecovery();
  for (registry::RegistryAction& action : outputs.actions) {
    std::visit([this](auto& body) { perform(body); }, action);
  }
  return !outputs.actions.empty();
}

/// Votes, heartbeats and calls are handled while the disk syncs. Storage writes the batches in the
/// order of their numbers, whichever thread begins first.
void RegistryHost::beginPersist(consensus::PersistBatch batch) {
  unwritten_.push_back(std::make_shared<const consensus::PersistBatch>(std::move(batch)));
  persistNext();
}

void RegistryHost::persistNext() {
  while (!unwritten_.empty() && syncing_ < kMaxSyncs && !storageFailed_) {
    const bool begun = storageThreads_.run([this, next = unwritten_.front()] {
      const base::TimePoint begin = runtime::now();
      const base::Result<void> outcome =
          callGuarded("persist", [&] { return folder_.storage->persist(*next); });
      const base::Duration duration = runtime::now() - begin;
      dispatcher_.post(
          [this, next, outcome, duration] { finishPersist(*next, outcome, duration); });
    });
    if (!begun) {
      noteStorageFailure({base::ErrorCode::internal, "persist", "no thread can be started"});
      return;
    }
    unwritten_.pop_front();
    ++syncing_;
  }
}

void RegistryHost::finishPersist(const consensus::PersistBatch& batch,
                                 const base::Result<void>& outcome, base::Duration duration) {
  --syncing_;
  persistNext();
  noteSync(batch, duration);
  if (outcome.has_error()) {
    noteStorageFailure(outcome.error());
    return;
  }
  registry_->step(runtime::now(), registry::Persisted{batch.number});
}

void RegistryHost::noteSync(const consensus::PersistBatch& batch, base::Duration duration) {
  metrics_.observe("walnut_registry_sync_seconds", duration);
  if (duration < kSlowSync) {
    return;
  }
  const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(duration);
  log_.write(LogEvent::syncSlow, {{"millis", static_cast<std::uint64_t>(millis.count())},
                                  {"entries", batch.entries.size()},
                                  {"vote", batch.hardState ? "yes" : "no"},
                                  {"snapshot", batch.snapshot ? "yes" : "no"}});
}

void RegistryHost::noteJoinStep(registry::JoinStep step) {
  const base::Duration sinceStart = runtime::now() - folder_.openedAt;
  const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(sinceStart);
  const std::string name(registry::joinStepName(step));
  log_.write(LogEvent::joinStepTaken, {{"step", name},
                                       {"millis", static_cast<std::uint64_t>(millis.count())},
                                       {"syncs", syncsSinceStart()}});
  metrics_.count("walnut_registry_join_steps_total", name);
  if (step == registry::JoinStep::voter) {
    metrics_.observe("walnut_registry_join_seconds", sinceStart);
  }
}

/// The recovery of a server ends once it follows a leader, or serves as one.
void RegistryHost::noteRecovery() {
  if (recovered_) {
    return;
  }
  const base::ServerId leader = registry_->raftStatus().leader;
  if (!leaderWasKnown_ && leader != base::ServerId{}) {
    leaderWasKnown_ = true;
    noteRecoveryStep("leader-known");
  }
  const bool isServing = registry_->isServing();
  if (isServing) {
    noteRecoveryStep("serving");
  }
  if (isServing || (leaderWasKnown_ && leader != base::ServerId{} && leader != self_)) {
    recovered_ = true;
    metrics_.observe("walnut_registry_recovery_seconds", runtime::now() - folder_.openedAt);
    metrics_.set("walnut_registry_recovery_syncs", static_cast<double>(syncsSinceStart()));
  }
}

void RegistryHost::noteRecoveryStep(const std::string& step) {
  const auto millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(runtime::now() - folder_.openedAt);
  log_.write(LogEvent::recoveryStepTaken, {{"step", step},
                                           {"millis", static_cast<std::uint64_t>(millis.count())},
                                           {"syncs", syncsSinceStart()}});
}

std::uint64_t RegistryHost::syncsSinceStart() const {
  return folder_.syncs == nullptr ? 0 : folder_.syncs->load();
}

void RegistryHost::noteStorageFailure(const base::Error& error) {
  log_.write(LogEvent::dependencyLost, {{"dependency", "storage"},
                                        {"error", base::errorCodeName(error.code)},
                                        {"field", error.field},
                                        {"detail", error.detail}});
  storageFailed_ = true;
  dispatcher_.stop();
}

void RegistryHost::perform(control::SendToServer& send) { links_->send(dispatcher_.now(), send); }

void RegistryHost::perform(control::SendToConnection& send) {
  transport_->send(send.connection, send.message);
}

void RegistryHost::perform(registry::SendToEndpoint& send) {
  EndpointLink& link = endpointLinks_[send.endpoint];
  if (link.connection) {
    transport_->send(*link.connection, send.message);
    return;
  }
  if (link.waiting.size() < kMaxWaitingMessages) {
    link.waiting.push_back(std::move(send.message));
  }
  if (!std::exchange(link.opening, true)) {
    transport_->open(send.endpoint);
  }
}

void RegistryHost::perform(registry::CallAnswered& answered) {
  const auto found = calls_.find(answered.call);
  if (found == calls_.end()) {
    return;
  }
  const OutsideCall call = std::move(found->second);
  calls_.erase(found);
  net::HttpResponse response = dialects_.control.writeAnswer(call.call, answered.answer);
  metrics_.count("walnut_registry_calls_total", std::to_string(response.head.status));
  call.sink->respond(std::move(response));
}

/// Answers to orders bear no id: on a connection of its own, an order can't take one more answer to
/// an earlier call for its own.
void RegistryHost::perform(registry::SendOrder& order) {
  if (!order.reason.empty()) {
    metrics_.count("walnut_registry_placements_total", std::string(order.reason));
  }
  const net::HttpRequest request = dialects_.worker.writeOrder(order);
  client_.call(
      order.worker.id.value, order.worker.endpoint, request, settings_.logic.orderTimeout,
      [this, number = order.order](const net::CallOutcome& outcome) {
        const registry::OrderOutcome result =
            outcome.response ? dialects_.worker.readOrderAnswer(outcome.response.value())
                             : registry::OrderOutcome::unclear;
        metrics_.count("walnut_registry_orders_total",
                       outcome.response ? std::to_string(outcome.response.value().head.status)
                                        : std::string("unclear"));
        step(registry::OrderFinished{number, result});
      },
      net::ConnectionUse::own);
}

/// A report needs no connection of its own: an answer to another call is unreadable as a report,
/// and one more copy of an earlier report is older by its order count or states what still holds.
void RegistryHost::perform(registry::ReadReport& read) {
  const net::HttpRequest request = dialects_.worker.writeReportCall(read.worker);
  client_.call(read.worker.id.value, read.worker.endpoint, request, settings_.logic.orderTimeout,
               [this, worker = read.worker.id](const net::CallOutcome& outcome) {
                 if (outcome.response.has_error()) {
                   step(registry::ReportFinished{worker, outcome.response.error()});
                   return;
                 }
                 step(registry::ReportFinished{
                     worker, dialects_.worker.readReport(outcome.response.value())});
               });
}

void RegistryHost::onRequest(net::HttpRequest request, net::ResponseSink& sink) {
  if (request.path() == kMetricsPath) {
    net::HttpResponse response;
    response.head.status = kOk;
    response.head.headers.add("Content-Type", "text/plain; version=0.0.4");
    constexpr double kPercent = 100;
    const registry::WorkerTimingMaxima maxima = registry_->timingMaxima();
    metrics_.set("walnut_registry_worker_slowness_max", maxima.slownessPercent / kPercent);
    metrics_.set("walnut_registry_prompt_share_max", maxima.promptSharePercent / kPercent);
    const registry::LeaderFigures figures = registry_->leaderFigures();
    metrics_.set("walnut_registry_workers", static_cast<double>(figures.workers));
    metrics_.set("walnut_registry_workers_orderable",
                 static_cast<double>(figures.orderableWorkers));
    metrics_.set("walnut_registry_voters_silent", static_cast<double>(figures.silentVoters));
    metrics_.set("walnut_registry_leader_known",
                 registry_->raftStatus().leader == base::ServerId{} ? 0 : 1);
    response.body = metrics_.text();
    sink.respond(std::move(response));
    return;
  }
  queue_.add(std::move(request), sink);
  if (!std::exchange(serveSoon_, true)) {
    dispatcher_.runSoon([this] { serveCalls(); });
  }
}

void RegistryHost::serveCalls() {
  serveSoon_ = queue_.serve();
  if (serveSoon_) {
    dispatcher_.runSoon([this] { serveCalls(); });
  }
}

void RegistryHost::serveCall(const net::HttpRequest& request, net::ResponseSink& sink) {
  auto call = dialects_.control.readCall(request);
  if (call.has_error()) {
    noteRefusedCall(request, call.error());
    sink.respond(dialects_.control.writeError(call.error()));
    return;
  }
  const std::uint64_t number = ++lastCall_;
  calls_[number] = {call.value(), &sink};
  sink.setGoneCallback([this, number] { calls_.erase(number); });
  step(registry::CallReceived{number, std::move(call.value())});
}

/// What other writers send is told of, and no more often than once a second.
void RegistryHost::noteRefusedCall(const net::HttpRequest& request, const base::Error& error) {
  ++refusedCalls_;
  const base::TimePoint now = dispatcher_.now();
  if (now < refusedCallLoggedAt_ + kRefusedCallLogInterval) {
    return;
  }
  refusedCallLoggedAt_ = now;
  log_.write(LogEvent::callRefused, {{"method", request.method},
                                     {"path", request.path().substr(0, kLoggedPathBytes)},
                                     {"error", base::errorCodeName(error.code)},
                                     {"field", error.field},
                                     {"detail", error.detail},
                                     {"calls", std::exchange(refusedCalls_, 0)}});
}

void RegistryHost::beginStop() {
  log_.write(LogEvent::processStopping, {{"reason", "signal"}});
  control_->announceClose();
  step(registry::PlannedShutdown{});
  stopDeadline_ = dispatcher_.now() + settings_.stopTimeout;
  checkStopped();
}

/// The process ends once another server leads and what came before is answered.
void RegistryHost::checkStopped() {
  const bool leading = registry_->raftStatus().role == consensus::Role::leader;
  const bool settled = !leading && calls_.empty() && queue_.size() == 0;
  if (settled || dispatcher_.now() >= stopDeadline_) {
    log_.write(LogEvent::processStopped, {{"leading", leading ? "yes" : "no"}});
    dispatcher_.stop();
    return;
  }
  stopTimer_->enableAt(dispatcher_.now() + kStopCheckInterval);
}

}  // namespace walnut::daemon
