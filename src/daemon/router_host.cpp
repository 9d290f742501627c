#include "daemon/router_host.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "walnut/factories.h"
#include "walnut/runtime/clock.h"
#include "walnut/runtime/log.h"

namespace walnut::daemon {

namespace {

std::string hexadecimal(std::uint64_t value) {
  constexpr std::size_t kDigitsAndEnd = 17;
  char text[kDigitsAndEnd] = {};
  std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(value));
  return text;
}

transport::TransportOptions transportOptionsOf(const routing::RouterOptions& logic,
                                               base::RouterId id) {
  transport::TransportOptions options;
  options.hello = {protocol::kProtocolVersion, protocol::PeerRole::router, logic.cell, id.value,
                   logic.zone};
  options.listen = false;
  return options;
}

}  // namespace

RouterHost::RouterHost(const RouterSettings& settings, base::RouterId id, std::uint64_t seed)
    : settings_(settings),
      id_(id),
      requestPrefix_(hexadecimal(id.value) + "-"),
      router_(routing::makeRouter(settings.logic, id, seed, runtime::now())),
      cachePoller_(settings.cachePollInterval, seed) {}

RouterHost::~RouterHost() {
  if (loop_.joinable()) {
    inbox_.push(ShutDown{});
    loop_.join();
  }
}

base::Result<void> RouterHost::start() {
  auto transport =
      transport::makeTransport(transportOptionsOf(settings_.logic, id_),
                               [this](transport::Event event) { inbox_.push(std::move(event)); });
  if (!transport) {
    return transport.error();
  }
  transport_ = std::move(transport.value());
  links_.emplace(*transport_);
  executor_ = std::make_unique<CallExecutor>(settings_.calls);
  engineClient_ = std::make_unique<EngineClient>(*executor_, settings_.callTimeout);
  streams_ = std::make_unique<StreamRunner>(settings_.streams, [this](engine::GenerateEvent event) {
    inbox_.push(routing::RouterInput(routing::EngineEvent{std::move(event)}));
  });
  loop_ = std::thread([this] { run(); });
  return base::success();
}

void RouterHost::beginStop() {
  if (!stopping_.exchange(true)) {
    inbox_.push(routing::RouterInput(routing::PlannedShutdown{}));
  }
}

base::RequestId RouterHost::nextRequestId() {
  return {requestPrefix_ + std::to_string(nextRequest_.fetch_add(1))};
}

void RouterHost::submit(routing::CallerRequest request, std::shared_ptr<http::AnswerQueue> answer) {
  inbox_.push(Submission{std::move(request), std::move(answer)});
}

void RouterHost::callerGone(const base::RequestId& request) {
  inbox_.push(routing::RouterInput(routing::CallerDisconnected{request}));
}

std::vector<routing::ServedName> RouterHost::servedNames() {
  const std::lock_guard lock(publishedMutex_);
  return publishedNames_;
}

bool RouterHost::ready() {
  const std::lock_guard lock(publishedMutex_);
  return publishedReady_ && !stopping_;
}

std::string RouterHost::metricsText() { return metrics_.text(transport_->counters()); }

void RouterHost::run() {
  while (!shutDown_) {
    const base::TimePoint wakeup = std::min(router_->nextWakeup(), cachePoller_.nextWakeup());
    std::vector<LoopInput> batch = inbox_.waitUntil(wakeup);
    now_ = runtime::now();
    if (batch.empty()) {
      router_->step(now_, routing::Tick{});
    }
    for (LoopInput& input : batch) {
      std::visit([this](auto& body) { take(std::move(body)); }, input);
    }
    performAll();
    pollCaches();
    publish();
  }
}

void RouterHost::take(routing::RouterInput input) {
  if (const auto* event = std::get_if<routing::EngineEvent>(&input)) {
    noteAttemptEvent(event->event);
  } else if (const auto* gone = std::get_if<routing::CallerDisconnected>(&input)) {
    noteCallerGone(gone->request);
  } else if (const auto* held = std::get_if<routing::StateHoldAnswered>(&input)) {
    metrics_.observeHold(held->result.has_value());
  }
  router_->step(now_, input);
}

void RouterHost::take(Submission submission) {
  metrics_.observeArrival();
  OpenRequest& open = requests_[submission.request.request];
  open.answer = std::move(submission.answer);
  open.arrivedAt = now_;
  router_->step(now_, routing::CallerRequested{std::move(submission.request)});
}

void RouterHost::take(const transport::Event& event) {
  const auto input = links_->take(event);
  if (input) {
    router_->step(now_, *input);
  }
}

void RouterHost::take(CachePolled polled) {
  const bool any = polled.events && !polled.events.value().empty();
  cachePoller_.answered(polled.engine, any ? polled.events.value().back().sequence : 0);
  if (any) {
    router_->step(now_, routing::CacheEventsRead{polled.engine, std::move(polled.events.value())});
  }
}

void RouterHost::take(StateFetched fetched) {
  const auto kept = keptStates_.find({fetched.request, fetched.attempt});
  if (kept == keptStates_.end()) {
    return;  // Not needed any more.
  }
  base::Result<void> result = base::success();
  if (fetched.state) {
    kept->second = std::move(fetched.state.value());
    metrics_.observeKept();
  } else {
    result = fetched.state.error();
  }
  router_->step(now_, routing::StateStored{fetched.request, fetched.attempt, result});
}

void RouterHost::take(const ShutDown&) { shutDown_ = true; }

void RouterHost::noteAttemptEvent(const engine::GenerateEvent& event) {
  if (const auto* started = std::get_if<engine::GenerateStarted>(&event)) {
    const auto found = attemptEngines_.find(started->attempt);
    if (found != attemptEngines_.end()) {
      cachePoller_.incarnationSeen(found->second, started->incarnation);
    }
  } else if (const auto* failed = std::get_if<engine::GenerateFailed>(&event)) {
    metrics_.observeAttemptFailure(*failed);
    attemptEngines_.erase(failed->attempt);
  } else if (const auto* ended = std::get_if<engine::GenerateEnded>(&event)) {
    attemptEngines_.erase(ended->attempt);
  }
}

void RouterHost::noteCallerGone(const base::RequestId& request) {
  if (requests_.erase(request) > 0) {
    metrics_.observeCallerGone();
  }
}

void RouterHost::performAll() {
  std::vector<routing::RouterAction> actions = router_->takeActions();
  for (routing::RouterAction& action : actions) {
    std::visit([this](auto& body) { perform(body); }, action);
  }
}

void RouterHost::perform(routing::CallerToken& token) {
  const auto found = requests_.find(token.request);
  if (found == requests_.end()) {
    return;
  }
  OpenRequest& open = found->second;
  if (open.hasTokens) {
    metrics_.observeTokenInterval(now_ - open.lastTokenAt);
  } else {
    open.hasTokens = true;
    open.firstToken = now_ - open.arrivedAt;
    metrics_.observeFirstToken(open.firstToken);
  }
  open.lastTokenAt = now_;
  open.answer->push(std::move(token));
}

void RouterHost::perform(routing::CallerEnded& ended) {
  const auto found = requests_.find(ended.request);
  if (found == requests_.end()) {
    return;
  }
  metrics_.observeEnd(ended, found->second.firstToken);
  found->second.answer->push(std::move(ended));
  requests_.erase(found);
}

void RouterHost::perform(routing::CallerRefused& refused) {
  const auto found = requests_.find(refused.request);
  if (found == requests_.end()) {
    return;
  }
  metrics_.observeRefusal(refused);
  runtime::logEvent("request-refused", {{"request", refused.request.value},
                                        {"error", base::errorCodeName(refused.error.code)},
                                        {"detail", refused.error.detail},
                                        {"executed", http::executedName(refused.executed)}});
  found->second.answer->push(std::move(refused));
  requests_.erase(found);
}

void RouterHost::perform(routing::StartAttempt& start) {
  const auto found = requests_.find(start.generate.request);
  if (found != requests_.end()) {
    metrics_.observeAttempt(found->second.attempts++ > 0);
  }
  if (start.generate.kvSource) {
    metrics_.observeMove();
  }
  attemptEngines_[start.generate.attempt] = start.engine;
  cachePoller_.used(now_, start.engine, start.endpoint);
  streams_->start(start.endpoint, start.generate);
}

void RouterHost::perform(routing::CancelAttempt& cancel) {
  streams_->cancel(cancel.cancel.attempt);
  attemptEngines_.erase(cancel.cancel.attempt);
  engineClient_->cancel(cancel.endpoint, cancel.cancel);
}

void RouterHost::perform(routing::ExportAttempt& request) {
  const engine::ExportRequest& wanted = request.exportRequest;
  engineClient_->exportKv(
      request.endpoint, wanted, [this, wanted](const engine::ExportResult& result) {
        inbox_.push(
            routing::RouterInput(routing::EngineExported{wanted.request, wanted.attempt, result}));
      });
}

void RouterHost::perform(routing::HoldState& request) {
  const engine::HoldRequest& wanted = request.hold;
  engineClient_->holdKv(request.endpoint, wanted,
                        [this, wanted, engine = request.engine](const engine::HoldResult& result) {
                          inbox_.push(routing::RouterInput(routing::StateHoldAnswered{
                              engine, wanted.request, wanted.attempt, result}));
                        });
}

void RouterHost::perform(routing::StoreState& request) {
  keptStates_[{request.request, request.attempt}].clear();
  engineClient_->fetchState(request.source, [this, id = request.request, attempt = request.attempt](
                                                base::Result<std::string> state) {
    inbox_.push(StateFetched{id, attempt, std::move(state)});
  });
}

void RouterHost::perform(routing::UploadState& request) {
  const engine::PutRequest& put = request.put;
  engineClient_->putState(request.endpoint, put, keptStates_[{put.request, put.attempt}],
                          [this, put, engine = request.engine](const engine::HoldResult& result) {
                            inbox_.push(routing::RouterInput(routing::StateHoldAnswered{
                                engine, put.request, put.attempt, result}));
                          });
}

void RouterHost::perform(routing::DiscardState& request) {
  keptStates_.erase({request.request, request.attempt});
}

void RouterHost::perform(routing::OpenController& open) { links_->open(open.endpoint); }

void RouterHost::perform(routing::CloseController& close) { links_->close(close.endpoint); }

void RouterHost::perform(routing::SendToController& send) {
  transport_->send(send.connection, send.message);
}

void RouterHost::perform(routing::RouterStopped&) { stopped_.set(); }

void RouterHost::pollCaches() {
  for (const CachePoll& poll : cachePoller_.takeDue(now_)) {
    engineClient_->readCacheEvents(
        poll.endpoint, poll.after,
        [this, engine = poll.engine](base::Result<std::vector<engine::CacheEvent>> events) {
          inbox_.push(CachePolled{engine, std::move(events)});
        });
  }
}

void RouterHost::publish() {
  const routing::RouterStatus status = router_->status(now_);
  metrics_.observeStatus(now_, status);
  const std::lock_guard lock(publishedMutex_);
  publishedReady_ = status.ready;
  if (publishedNamesIndex_ != status.namesIndex) {
    publishedNamesIndex_ = status.namesIndex;
    publishedNames_ = router_->servedNames();
  }
}

}  // namespace walnut::daemon
