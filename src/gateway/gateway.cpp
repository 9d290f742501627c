#include "gateway/gateway.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

#include "gateway/retry_after.h"
#include "walnut/registry/feature_level.h"

namespace walnut::gateway {

namespace {

using runtime::LogEvent;

constexpr int kNotFound = 404;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;
/// Time that early requests wait for the first document after a start: little more than an election
/// takes.
/// Time after a view for which the records in it count as current: twice the interval in which
/// leaders send views, and less than a load of a model takes.
constexpr base::Duration kViewValidity = std::chrono::milliseconds(500);
/// Between two marks: with the time that a view takes, well below kViewValidity.
constexpr base::Duration kMarkInterval = std::chrono::milliseconds(200);
/// Time from the start of a worker after which views have its record.
constexpr base::Duration kRegistrationTime = std::chrono::seconds(1);
constexpr base::Duration kEarlyRequestTimeout = std::chrono::milliseconds(1500);
constexpr std::size_t kMaxEarlyRequests = 256;

/// Returns the duration of a document lease. The lease counts from the time of its request, so that
/// no part of it has to be reserved for message delays; a tenth is reserved for clock drift.
base::Duration leaseDuration(base::Duration revocation) {
  constexpr int kTenths = 9;
  return revocation * kTenths / 10;
}

}  // namespace

Gateway::Gateway(const GatewayOptions& options, event::Scheduler& scheduler,
                 const RequestDialect& dialect, AttemptLauncher& launcher, RegistrySession& session,
                 runtime::EventLog& log, runtime::MetricsSink& metrics)
    : options_(options),
      scheduler_(scheduler),
      dialect_(dialect),
      launcher_(launcher),
      session_(session),
      log_(log),
      metrics_(metrics),
      buffers_(options.bufferLimitBytes),
      lease_(leaseDuration(options.revocation)),
      leaseTimer_(scheduler.createTimer([this] { renewLease(); })),
      markTimer_(scheduler.createTimer([this] { markView(); })),
      quotaTimer_(scheduler.createTimer([this] { reviewQuota(); })),
      limits_(options.selection.seed),
      shareTimer_(scheduler.createTimer([this] { reviewShares(); })),
      timingRecorder_(scheduler.now()),
      selector_(
          directory_, options.selection,
          [&launcher](const registry::WorkerId& id) { return launcher.connected(id); }, this,
          &timeModel_),
      lateStarts_(scheduler, directory_, selector_, options.selection.seed),
      streamOrigins_(scheduler, session, metrics),
      demandTimer_(scheduler.createTimer([this] { reportDemand(); })),
      startedAt_(scheduler.now()),
      earlyTimer_(scheduler.createTimer([this] { refuseExpiredEarly(); })) {
  prepareBuffers();
  // Answered along with the subscription: where servers are slow, each exchange takes seconds.
  session_.setConfirmationSource([this]() -> std::optional<registry::ConfirmDocument> {
    return needsConfirmation() ? std::optional(lease_.makeRequest(scheduler_.readClock()))
                               : std::nullopt;
  });
}

Gateway::~Gateway() = default;

void Gateway::start() {
  demandDueAt_ = scheduler_.now() + options_.demandInterval;
  demandTimer_->enableAt(demandDueAt_);
  renewLease();
}

std::shared_ptr<const catalog::Document> Gateway::document() const { return document_; }

std::uint64_t Gateway::documentVersion() const {
  return document_ == nullptr ? 0 : document_->version;
}

void Gateway::viewReceived(const registry::ViewUpdate& update) {
  noteViewAge(update);
  directory_.apply(update);
  applyLimits(update);
  refreshTimings(update);
  gatewaysAnnounced(update.gateways);
  recordNewestVersion(update.documentVersion);
  if (update.complete || !update.changed.empty()) {
    wakeWaiting();
  }
  lateStarts_.viewReceived(gatewayCount_.value());
  if (update.complete) {
    reportDemandSoon();
  }
}

void Gateway::suspectsReceived(const registry::SuspectList& list) {
  quarantine_.take(list, scheduler_.now());
  log_.write(LogEvent::suspectsTaken, {{"requests", std::uint64_t{list.requests.size()}}});
  forEachExchange(&Exchange::suspectsChanged);
}

void Gateway::suspectPartsReceived(const registry::SuspectPartList& list) {
  partQuarantine_.take(list, scheduler_.now());
  log_.write(LogEvent::suspectPartsTaken, {{"parts", std::uint64_t{list.parts.size()}}});
  forEachExchange(&Exchange::suspectsChanged);
  reportPartsAnswered();
}

void Gateway::lateModelsReceived(const registry::LateModels& late) {
  availability_.take(late, scheduler_.now());
  if (!late.models.empty()) {
    wakeWaiting();
  }
}

void Gateway::forecastsReceived(const registry::ModelForecasts& forecasts) {
  availability_.take(forecasts, scheduler_.now());
  if (!forecasts.models.empty()) {
    wakeWaiting();
  }
}

std::optional<ModelAvailability> Gateway::availabilityOf(const std::string& service,
                                                         const std::string& model) const {
  return session_.following() ? availability_.find(service, model, scheduler_.now()) : std::nullopt;
}

void Gateway::leaderFollowed(bool gotSuspects, bool gotSuspectParts) {
  quarantine_.leaderFollowed(gotSuspects);
  partQuarantine_.leaderFollowed(gotSuspectParts);
  reportCutsSoon();
  nextEmptyReportAt_ = {};
  quota_.leaderLost();
  limits_.leaderFollowed();
  streamOrigins_.leaderFollowed();
  renewLease();
  markView();
  requestQuota(true);
  requestStartingRetries();
}

std::optional<RequestQuarantine::Classification> Gateway::classificationOf(
    const registry::RequestDigest& request) const {
  return quarantine_.find(request, scheduler_.now());
}

void Gateway::requestCut(const Worker& worker, const registry::RequestDigest& request,
                         const std::vector<registry::PromptPartDigest>& parts, bool begun) {
  quarantine_.addCut(request, parts, worker.view.record.id, begun, scheduler_.now());
  reportCutsSoon();
}

/// A worker that restarts is empty until the leader has it load a model, so that it writes no
/// stream before the leader knows it.
bool Gateway::isRecordCurrent(const Worker& worker) const {
  return scheduler_.readClock() <= viewKnownAt_ + kViewValidity ||
         launcher_.connectedSince(worker.view.record.id, viewKnownAt_ - kRegistrationTime);
}

/// A view may be read long after it was sent: it waits in the socket of a process that stands
/// still, and on a cut link. Leaders that repeat no marks are taken to send what they know now.
void Gateway::noteViewAge(const registry::ViewUpdate& update) {
  if (!session_.followingWith(registry::feature::kViewMarks)) {
    viewKnownAt_ = scheduler_.readClock();
  } else if (const auto sentAt = viewMarks_.sentAt(update.mark)) {
    viewKnownAt_ = *sentAt;
  } else if (update.complete) {
    viewKnownAt_ = std::max(viewKnownAt_, session_.subscribedAt());
  }
}

/// Asks the leader for a view with the next mark. Only streams that may be resumed depend on the
/// age of views.
void Gateway::markView() {
  const bool needsMarks =
      document_ != nullptr &&
      std::any_of(document_->routes.begin(), document_->routes.end(), [](const auto& route) {
        return route.kind == catalog::RouteKind::streaming && route.resumable;
      });
  if (!needsMarks || !session_.followingWith(registry::feature::kViewMarks)) {
    markTimer_->disable();
    return;
  }
  session_.send(registry::MarkView{viewMarks_.next(scheduler_.readClock())});
  markTimer_->enableAt(scheduler_.now() + kMarkInterval);
}

void Gateway::suspectAnswered(const registry::RequestDigest& request) {
  quarantine_.addAnswered(request);
  reportCutsSoon();
}

/// Schedules one report for all requests that were cut together, such as by the end of their
/// worker.
void Gateway::reportCutsSoon() {
  if (!std::exchange(cutsSoon_, true)) {
    scheduler_.runSoon([this] { reportCuts(); });
  }
}

/// Reports cut requests. Without a leader they are kept and reported to the next one.
void Gateway::reportCuts() {
  cutsSoon_ = false;
  if (!session_.following()) {
    return;
  }
  const bool supported = session_.followingWith(registry::feature::kPromptParts);
  if (auto report = quarantine_.takeReport(scheduler_.now())) {
    if (supported && !report->parts.cuts.empty()) {
      session_.send(std::move(report->parts));
    }
    session_.send(std::move(report->cuts));
  }
  reportPartsAnswered();
}

void Gateway::partsAnswered(const std::vector<registry::PromptPartDigest>& parts) {
  if (partQuarantine_.addAnswered(parts, scheduler_.now())) {
    reportCutsSoon();
  }
}

void Gateway::reportPartsAnswered() {
  if (!session_.followingWith(registry::feature::kPromptParts)) {
    return;
  }
  if (auto report = partQuarantine_.takeReport(scheduler_.now())) {
    session_.send(std::move(*report));
  }
}

void Gateway::recordNewestVersion(std::uint64_t version) {
  if (version <= newestVersion_) {
    return;
  }
  newestVersion_ = version;
  newestSince_ = scheduler_.now();
  if (version > documentVersion()) {
    log_.write(LogEvent::documentBehind, {{"newest", version}, {"held", documentVersion()}});
  }
}

bool Gateway::documentReceived(std::shared_ptr<const catalog::Document> document) {
  const std::uint64_t previous = documentVersion();
  if (document->version <= previous) {
    return false;
  }
  const auto behind =
      std::chrono::duration_cast<std::chrono::milliseconds>(scheduler_.now() - newestSince_);
  log_.write(LogEvent::documentTaken, {{"version", document->version},
                                       {"former", previous},
                                       {"newest", newestVersion_},
                                       {"millis", static_cast<std::uint64_t>(behind.count())}});
  document_ = std::move(document);
  lateStarts_.documentApplied(*document_);
  routes_ = std::make_unique<catalog::RouteTable>(document_);
  keys_ = std::make_unique<KeyTable>(document_);
  refreshTimedServices();
  markView();
  const bool isConfirmed = lease_.documentApplied(document_->version);
  if (!isConfirmed || previous == 0) {
    renewLease();
  }
  if (!early_.empty() && isPrepared()) {
    scheduler_.runSoon([this] { routeEarly(); });
  }
  wakeWaiting();
  return true;
}

bool Gateway::isPrepared() const {
  return routes_ != nullptr && (!document_->keyed || lease_.age(scheduler_.now()).has_value());
}

bool Gateway::ready() const {
  return isPrepared() && !stopsAt_ && (!document_->keyed || lease_.valid(scheduler_.readClock()));
}

void Gateway::refuseAll() {
  if (std::exchange(refusingAll_, true)) {
    return;
  }
  forEachExchange(&Exchange::stopWaiting);
  for (EarlyRequest& early : std::exchange(early_, {})) {
    early.sink->setGoneCallback(nullptr);
    refuse(*early.sink, dialect_.readRequest(early.request).requestId, kUnavailable, "stopping");
  }
  reviewQuota();
}

void Gateway::cancelAll() { forEachExchange(&Exchange::cancel); }

void Gateway::wakeWaiting() { forEachExchange(&Exchange::viewChanged); }

void Gateway::forEachExchange(void (Exchange::*method)()) {
  std::vector<std::uint64_t> all;
  all.reserve(exchanges_.size());
  for (const auto& [number, exchange] : exchanges_) {
    all.push_back(number);
  }
  for (const std::uint64_t number : all) {
    const auto found = exchanges_.find(number);
    if (found != exchanges_.end()) {
      (*found->second.*method)();
    }
  }
}

void Gateway::onRequest(net::HttpRequest request, net::ResponseSink& sink) {
  if (!isPrepared()) {
    queueEarly(std::move(request), sink);
  } else {
    routeRequest(std::move(request), sink, base::Duration::zero());
  }
}

/// Queues a request that comes before the first document, which arrives within moments of the start
/// of a gateway. Refuses it if the queue is full.
void Gateway::queueEarly(net::HttpRequest request, net::ResponseSink& sink) {
  if (refusingAll_ || early_.size() >= kMaxEarlyRequests) {
    refuse(sink, dialect_.readRequest(request).requestId, kUnavailable,
           refusingAll_ ? "stopping" : "no document is known");
    return;
  }
  BufferBudget::Share held = shareOf(request);
  early_.push_back({std::move(request), &sink, scheduler_.now(), std::move(held)});
  const auto entry = std::prev(early_.end());
  sink.setGoneCallback([this, entry] { early_.erase(entry); });
  earlyTimer_->enableAt(early_.front().arrivedAt + kEarlyRequestTimeout);
}

void Gateway::routeEarly() {
  for (EarlyRequest& early : std::exchange(early_, {})) {
    early.sink->setGoneCallback(nullptr);
    routeRequest(std::move(early.request), *early.sink, scheduler_.now() - early.arrivedAt);
  }
}

void Gateway::refuseExpiredEarly() {
  while (!early_.empty() && early_.front().arrivedAt + kEarlyRequestTimeout <= scheduler_.now()) {
    const EarlyRequest early = std::move(early_.front());
    early_.pop_front();
    refuse(*early.sink, dialect_.readRequest(early.request).requestId, kUnavailable,
           "no document is known");
  }
  if (!early_.empty()) {
    earlyTimer_->enableAt(early_.front().arrivedAt + kEarlyRequestTimeout);
  }
}

void Gateway::routeRequest(net::HttpRequest request, net::ResponseSink& sink,
                           base::Duration waited) {
  RequestFacts facts = dialect_.readRequest(request);
  if (facts.deadline) {
    *facts.deadline -= std::min(waited, *facts.deadline);
  }
  const std::string* host = request.headers.find("Host");
  const catalog::Route* route = host == nullptr ? nullptr : routes_->find(*host, request.path());
  if (route == nullptr) {
    refuse(sink, facts.requestId, kNotFound, "no such route");
    return;
  }
  const bool stream = route->kind == catalog::RouteKind::streaming;
  if (refusingAll_ || (refusingStreams_ && stream)) {
    refuse(sink, facts.requestId, kUnavailable, "stopping");
    return;
  }
  if (refuseAtBufferLimit(request, sink, facts.requestId)) {
    return;
  }
  const catalog::Tenant* tenant = nullptr;
  if (document_->keyed && !route->open) {
    tenant = authenticate(facts, sink);
    if (tenant == nullptr) {
      return;
    }
  }
  facts.key.clear();
  PendingRequest pending{std::move(request), &sink, std::move(facts),
                         document_,          route, scheduler_.now()};
  if (tenant != nullptr && tenant->limited() &&
      !quota_.take(tenant->name, pending.facts.quotaCost, scheduler_.readClock())) {
    queueForQuota(std::move(pending));
    return;
  }
  admit(std::move(pending));
}

void Gateway::admit(PendingRequest admitted) {
  const catalog::Route& route = *admitted.route;
  RequestFacts& facts = admitted.facts;
  const std::string service = pickService(route);
  budgetOf(service).firstAttempt(scheduler_.now());
  if (!facts.model.empty()) {
    demand_.requestArrived(service, facts.model, facts.adapter, urgencyOf(facts, route));
  }
  const std::uint64_t number = ++lastExchange_;
  auto exchange =
      std::make_unique<Exchange>(*this, number, std::move(admitted.document), route, service,
                                 std::move(facts), std::move(admitted.request), *admitted.sink);
  Exchange* const started = exchange.get();
  exchanges_.emplace(number, std::move(exchange));
  started->start();
}

void Gateway::refuse(net::ResponseSink& sink, const std::string& requestId, int status,
                     std::string_view reason, base::Duration retryAfter,
                     const std::string& tenant) {
  log_.write(LogEvent::requestRefused, {{"request", requestId},
                                        {"status", static_cast<std::uint64_t>(status)},
                                        {"reason", reason},
                                        {"tenant", tenant},
                                        {"document", documentVersion()},
                                        {"executed", "no"}});
  metrics_.count("walnut_gateway_requests_total", std::to_string(status));
  countTenant(tenant, status);
  net::HttpResponse response;
  response.head.status = status;
  if (status == kUnavailable || status == kTooManyRequests) {
    response.head.headers.add("Retry-After", retryAfterText(retryAfter));
  }
  sink.respond(std::move(response));
}

const std::string& Gateway::pickService(const catalog::Route& route) {
  if (route.services.size() == 1) {
    return route.services.front().service;
  }
  // Smooth weighted round robin: the service that is furthest behind its share is next.
  std::map<std::string, double>& behind = rotations_[route.name];
  double total = 0;
  const catalog::WeightedService* next = nullptr;
  for (const catalog::WeightedService& part : route.services) {
    total += part.weight;
    double& share = behind[part.service];
    share += part.weight;
    if (part.weight > 0 && (next == nullptr || share > behind[next->service])) {
      next = &part;
    }
  }
  behind[next->service] -= total;
  return next->service;
}

void Gateway::attemptFailed(Worker& worker) {
  const bool wasOpen = worker.breaker.state() == routing::BreakerState::open;
  worker.failures.observe(true, scheduler_.now());
  worker.breaker.recordFailure(scheduler_.now(), options_.breakerFailures, options_.breakerOpenFor);
  if (!wasOpen && worker.breaker.state() == routing::BreakerState::open) {
    log_.write(LogEvent::breakerOpened, {{"worker", worker.view.record.id.value}});
    reportDemandSoon();
  }
}

/// Records an outcome for the registry, which detects outliers from the outcomes of all gateways
/// together: no single gateway sees enough of one worker. Failures are reported soon.
void Gateway::attemptSettled(const Worker& worker, const RequestFacts& facts,
                             AttemptOutcome outcome) {
  const registry::WorkerRecord& record = worker.view.record;
  demand_.attemptSettled(record.id, record.service, facts.model, facts.adapter, outcome);
  if (outcome != AttemptOutcome::answered) {
    reportWithinSpacing();
  }
}

void Gateway::exchangeEnded(Exchange& exchange, int status) {
  metrics_.count("walnut_gateway_requests_total", std::to_string(status));
  const auto found = exchanges_.find(exchange.number());
  if (found != exchanges_.end()) {
    const RequestFacts& facts = exchange.facts();
    countTenant(facts.tenant, status);
    if (facts.quotaCost > 0 && !exchange.mayHaveRun()) {
      quota_.refund(facts.tenant, facts.quotaCost, scheduler_.now());
    }
    scheduler_.destroySoon(std::move(found->second));
    exchanges_.erase(found);
    reviewBufferLimit();
  }
}

}  // namespace walnut::gateway
