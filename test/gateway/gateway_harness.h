#pragma once
/// @file
/// Test harness: a gateway in virtual time, with the test in the role of callers, workers and
/// leader.

#include <functional>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "event/timer_queue.h"
#include "gateway/gateway.h"
#include "walnut/registry/feature_level.h"

namespace walnut::gateway::testing {

/// Scheduler in virtual time, which moves by `advance` and `suspendFor` only.
class ManualScheduler : public event::Scheduler {
 public:
  base::TimePoint now() const override { return now_; }
  base::TimePoint readClock() const override { return now_ + suspendedWithinIteration_; }
  event::TimerPtr createTimer(std::function<void()> callback) override {
    return timers_.create(std::move(callback));
  }
  void runSoon(std::function<void()> callback) override {
    deferred_.push_back(std::move(callback));
  }

  void settle() {
    while (!deferred_.empty()) {
      for (const auto& callback : std::exchange(deferred_, {})) {
        callback();
      }
    }
  }
  void advance(base::Duration duration) {
    const base::TimePoint end = now_ + duration;
    while (timers_.next() <= end) {
      now_ = std::max(now_, timers_.next());
      timers_.runDue(now_);
      settle();
    }
    now_ = end;
  }
  /// Simulates a suspension within an event loop iteration: only `readClock` shows it.
  void suspendWithinIteration(base::Duration duration) { suspendedWithinIteration_ = duration; }
  /// Simulates a suspension between iterations: time has passed, and no timer has run yet.
  void suspendFor(base::Duration duration) { now_ += duration; }
  /// Runs the timers that are due.
  void runDue() {
    timers_.runDue(now_);
    settle();
  }

 private:
  base::TimePoint now_ = base::TimePoint(std::chrono::seconds(1000));
  base::Duration suspendedWithinIteration_{0};
  event::TimerQueue timers_;
  std::vector<std::function<void()>> deferred_;
};

/// Dialect of the tests. Header fields of requests: Id, Deadline-Ms, Model ("m" or "m/a"), Resume,
/// Stream, Parts (of the prompt, separated by commas), Key, Tokens (of the prompt), Tenant (set by
/// the gateway only); of responses: Id, Sealed, Not-Run.
class TestDialect : public RequestDialect {
 public:
  RequestFacts readRequest(const net::HttpRequest& request) const override {
    RequestFacts facts;
    facts.requestId = text(request.headers, "Id");
    if (const auto millis = request.headers.findNumber("Deadline-Ms")) {
      facts.deadline = std::chrono::milliseconds(*millis);
    }
    const std::string model = text(request.headers, "Model");
    facts.model = model.substr(0, model.find('/'));
    facts.adapter = model.find('/') == std::string::npos ? "" : model.substr(model.find('/') + 1);
    facts.key = text(request.headers, "Key");
    facts.resumeAfter = text(request.headers, "Resume");
    facts.resumedRequest = text(request.headers, "Stream");
    std::istringstream parts(text(request.headers, "Parts"));
    for (std::string part; std::getline(parts, part, ',');) {
      facts.promptParts.push_back(part);
    }
    if (const auto tokens = request.headers.findNumber("Tokens")) {
      facts.promptTokens = *tokens;
      facts.tellsTokens = true;
    }
    return facts;
  }
  void removeSystemFields(net::HttpRequest& request) const override {
    request.headers.remove("Key");
    request.headers.remove("Tenant");
  }
  std::string callerOf(const net::HttpRequest& request) const override {
    ++callerLookups;
    return text(request.headers, "Caller");
  }
  void writeAttempt(net::HttpRequest& request, const AttemptFacts& facts) const override {
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(facts.deadline);
    request.headers.set("Deadline-Ms", std::to_string(millis.count()));
    request.headers.set("Target", facts.target);
    if (!facts.tenant.empty()) {
      request.headers.set("Tenant", facts.tenant);
    }
    request.headers.set("Resume", facts.resumeAfter);
    request.headers.set("Priority", std::to_string(facts.priority));
  }
  AnswerFacts readAnswer(int /*status*/, const net::HeaderList& headers) const override {
    AnswerFacts facts{text(headers, "Id"),
                      headers.find("Sealed") != nullptr,
                      headers.find("Not-Run") != nullptr,
                      false,
                      {},
                      {}};
    const std::string limit = text(headers, "Limit");
    if (limit == "bad") {
      facts.limitError = base::Error{base::ErrorCode::malformedInput, "Limit", limit};
    } else if (!limit.empty()) {
      facts.limit = std::stod(limit);
    }
    return facts;
  }
  bool isReadinessCall(const net::HttpRequest&) const override { return false; }

  mutable std::size_t callerLookups = 0;

 private:
  static std::string text(const net::HeaderList& headers, const char* name) {
    const std::string* found = headers.find(name);
    return found == nullptr ? "" : *found;
  }
};

/// The caller's side of one request, which records the response.
struct Caller : net::ResponseSink {
  int status = 0;  ///< Status of the response; 0 before it has come.
  net::HeaderList headers;
  std::string body;
  bool complete = false;
  bool aborted = false;
  std::function<void()> gone;

  void respond(net::HttpResponse response) override {
    status = response.head.status;
    headers = std::move(response.head.headers);
    body = std::move(response.body);
    complete = true;
  }
  void beginChunked(net::HttpResponseHead head) override {
    status = head.status;
    headers = std::move(head.headers);
  }
  void writeChunk(std::string_view bytes) override { body.append(bytes); }
  void endChunked() override { complete = true; }
  void abort() override { aborted = true; }
  std::size_t bufferedBytes() const override { return 0; }
  void setGoneCallback(std::function<void()> callback) override { gone = std::move(callback); }
  void setDrainedCallback(std::function<void()>) override {}
};

/// A request that was sent to a worker.
struct SentRequest {
  registry::WorkerRecord worker;
  net::HttpRequest request;
  net::ResponseCallbacks* callbacks = nullptr;
  bool cancelled = false;
  net::ConnectionChoice choice;
  std::uint64_t connection = 0;   ///< Its number.
  bool sharesConnection = false;  ///< Other requests were sent on it before.
  bool reading = true;  ///< False while the gateway has paused the reading of the response.
};

/// Records the requests sent to workers instead of sending them.
class RecordingLauncher : public AttemptLauncher {
 public:
  std::vector<std::shared_ptr<SentRequest>> sent;

  std::unique_ptr<Attempt> start(const registry::WorkerRecord& worker,
                                 const net::HttpRequest& request,
                                 const net::ConnectionChoice& choice,
                                 net::ResponseCallbacks& callbacks) override {
    SentRequest entry{worker, request, &callbacks};
    entry.choice = choice;
    entry.connection = sent.size() + 1;
    entry.sharesConnection = keepsConnections && !choice.mustBeNew;
    sent.push_back(std::make_shared<SentRequest>(std::move(entry)));
    return std::make_unique<Recorded>(sent.back());
  }

  bool connected(const registry::WorkerId&) const override { return true; }
  bool connectedSince(const registry::WorkerId&, base::TimePoint) const override {
    return !hasLostConnections;
  }
  void forget(const registry::WorkerId& worker) override { forgotten.push_back(worker); }

  std::vector<registry::WorkerId> forgotten;
  /// Requests go on connections that carried others, unless they have to be new.
  bool keepsConnections = false;
  bool hasLostConnections = false;  ///< No connection has been open since the last view.

 private:
  struct Recorded : Attempt {
    explicit Recorded(std::shared_ptr<SentRequest> entry) : sent(std::move(entry)) {}
    void cancel() override { sent->cancelled = true; }
    void release() override {}
    void setReading(bool enabled) override { sent->reading = enabled; }
    std::uint64_t connection() const override { return sent->connection; }
    bool sharesConnection() const override { return sent->sharesConnection; }
    std::shared_ptr<SentRequest> sent;
  };
};

/// Records the messages to the registry by type.
class RecordingRegistryLink : public RegistryLink {
 public:
  std::vector<base::Endpoint> opened;
  std::vector<registry::DemandUpdate> demand;
  std::vector<registry::CutReport> cuts;
  std::vector<registry::CutPartsReport> cutParts;
  std::vector<registry::PartsAnswered> partsAnswered;
  std::vector<registry::ConfirmDocument> confirmRequests;
  std::vector<registry::QuotaRequest> quotas;
  std::vector<registry::LimitObservation> limits;
  std::vector<registry::QuotaRequest> shares;
  std::vector<registry::WorkerTimingReport> timings;
  std::vector<registry::StreamsBegan> streams;
  std::vector<registry::FindStreamOrigin> originQuestions;
  std::vector<registry::VersionDemand> versionDemand;
  std::vector<registry::StartingRetriesRequest> startingRetries;
  std::vector<registry::MarkView> marks;

  void open(const base::Endpoint& server) override { opened.push_back(server); }
  void close(protocol::ConnectionId) override {}
  void send(protocol::ConnectionId, registry::MessageBody message) override {
    if (auto* update = std::get_if<registry::DemandUpdate>(&message)) {
      demand.push_back(std::move(*update));
    } else if (auto* report = std::get_if<registry::CutReport>(&message)) {
      cuts.push_back(std::move(*report));
    } else if (auto* parts = std::get_if<registry::CutPartsReport>(&message)) {
      cutParts.push_back(std::move(*parts));
    } else if (auto* answered = std::get_if<registry::PartsAnswered>(&message)) {
      partsAnswered.push_back(std::move(*answered));
    } else if (auto* mark = std::get_if<registry::MarkView>(&message)) {
      marks.push_back(*mark);
    } else if (auto* confirm = std::get_if<registry::ConfirmDocument>(&message)) {
      confirmRequests.push_back(*confirm);
    } else if (auto* quota = std::get_if<registry::QuotaRequest>(&message)) {
      quotas.push_back(std::move(*quota));
    } else if (auto* seen = std::get_if<registry::LimitReport>(&message)) {
      limits.insert(limits.end(), seen->sightings.begin(), seen->sightings.end());
    } else if (auto* share = std::get_if<registry::ShareRequest>(&message)) {
      shares.push_back(std::move(share->request));
    } else if (auto* timing = std::get_if<registry::WorkerTimingReport>(&message)) {
      timings.push_back(std::move(*timing));
    } else if (auto* began = std::get_if<registry::StreamsBegan>(&message)) {
      streams.push_back(std::move(*began));
    } else if (auto* question = std::get_if<registry::FindStreamOrigin>(&message)) {
      originQuestions.push_back(std::move(*question));
    } else if (auto* waits = std::get_if<registry::VersionDemand>(&message)) {
      versionDemand.push_back(std::move(*waits));
    } else if (auto* start = std::get_if<registry::StartingRetriesRequest>(&message)) {
      startingRetries.push_back(*start);
    }
  }
};

/// One line of the event log.
struct LoggedLine {
  runtime::LogEvent event = runtime::LogEvent::processStarted;
  std::map<std::string, std::string, std::less<>> fields;
};

class RecordingLog : public runtime::EventLog {
 public:
  std::vector<LoggedLine> lines;

  void write(runtime::LogEvent event, std::initializer_list<runtime::EventField> fields) override {
    LoggedLine line;
    line.event = event;
    for (const runtime::EventField& field : fields) {
      line.fields.emplace(field.key, field.value);
    }
    lines.push_back(std::move(line));
  }
  /// @return the lines of one kind of event.
  std::vector<LoggedLine> of(runtime::LogEvent event) const {
    std::vector<LoggedLine> found;
    for (const LoggedLine& line : lines) {
      if (line.event == event) {
        found.push_back(line);
      }
    }
    return found;
  }
};

/// A gateway with a document of one service "svc" and the routes /safe/ (repeatable), /once/ (not
/// repeatable), /stream/ (resumable stream) and /bound/ (non-resumable stream).
class GatewayHarness {
 public:
  /// @param age of the process: one that has run for a while has earned its retry budget.
  explicit GatewayHarness(const GatewayOptions& gatewayOptions = options(),
                          base::Duration age = routing::RetryBudget::kEarningTime)
      : session_(sessionOptions(), scheduler, link, log, 1),
        gateway(gatewayOptions, scheduler, dialect, launcher, session_, log, metrics_) {
    scheduler.suspendFor(age);
  }

  ManualScheduler scheduler;
  RecordingLauncher launcher;
  RecordingRegistryLink link;
  RecordingLog log;
  TestDialect dialect;

 private:
  runtime::NullMetricsSink metrics_;
  RegistrySession session_;

 public:
  Gateway gateway;

  static RegistrySessionOptions sessionOptions() {
    RegistrySessionOptions made;
    made.servers = {{"10.0.0.9", 7000}};
    return made;
  }
  /// Supported by the leader. By default it repeats no marks, so that views are current when they
  /// come; see ViewMarksTest.
  std::uint32_t featureLevel = registry::feature::kJointMembership;

  /// Connects the gateway to the registry's leader.
  void follow() {
    const protocol::ConnectionId connection{1};
    session_.start();
    session_.opened(connection, link.opened.back(), featureLevel);
    session_.viewReceived(connection, {});
    gateway.start();
  }

  /// Connects to the leader again after `loseLeader`.
  void followAgain() {
    const protocol::ConnectionId connection{1};
    session_.opened(connection, link.opened.back(), featureLevel);
    session_.viewReceived(connection, {});
  }
  void loseLeader() { session_.closed(protocol::ConnectionId{1}); }
  /// Advances time while views of the followed leader keep coming.
  void advanceFollowing(base::Duration duration) {
    constexpr base::Duration kStep = std::chrono::milliseconds(100);
    for (base::Duration left = duration; left > base::Duration::zero(); left -= kStep) {
      session_.viewReceived(protocol::ConnectionId{1}, {});
      scheduler.advance(std::min(left, kStep));
    }
  }

  static GatewayOptions options() {
    GatewayOptions made;
    made.retrySlack = 100;
    made.selection.spread = 0;
    return made;
  }

  static catalog::Route route(const char* name, catalog::RouteKind kind, bool resumable,
                              std::uint32_t attempts) {
    catalog::Route made;
    made.name = name;
    made.host = "h";
    made.pathPrefix = std::string("/") + name + "/";
    made.kind = kind;
    made.resumable = resumable;
    made.maxAttempts = attempts;
    made.timeout = std::chrono::seconds(10);
    made.targetLatency = std::chrono::milliseconds(400);
    made.targetGap = std::chrono::milliseconds(300);
    made.services = {{"svc", 1}};
    return made;
  }

  /// Gives the gateway a document and a complete view of workers w1, w2, ...
  void declare(std::size_t workers, std::uint64_t version = 1) {
    registry::ViewUpdate update;
    update.complete = true;
    update.documentVersion = version;
    auto document = std::make_shared<catalog::Document>();
    document->version = version;
    document->services = {{"svc", "", 0, std::nullopt}};
    document->routes = {route("safe", catalog::RouteKind::idempotent, false, 2),
                        route("once", catalog::RouteKind::nonIdempotent, false, 1),
                        route("stream", catalog::RouteKind::streaming, true, 2),
                        route("bound", catalog::RouteKind::streaming, false, 1)};
    for (std::size_t number = 1; number <= workers; ++number) {
      update.changed.push_back(worker(number));
    }
    gateway.viewReceived(update);
    gateway.documentReceived(std::move(document));
    scheduler.settle();
  }

  static registry::WorkerView worker(std::size_t number) {
    registry::WorkerView view;
    view.record = {{"w" + std::to_string(number)}, "svc", {"10.0.0.1", 80}, {}, 4, false};
    view.record.softwareVersion = "v1";
    return view;
  }

  /// Sends a request to the gateway.
  /// @return its caller.
  std::unique_ptr<Caller> request(const std::string& routeName, const std::string& id,
                                  const std::string& model = "", const std::string& body = "",
                                  const std::string& parts = "") {
    net::HttpRequest made;
    made.method = "POST";
    made.target = "/" + routeName + "/x";
    made.headers.add("Host", "h");
    made.headers.add("Id", id);
    made.headers.add("Deadline-Ms", "5000");
    if (!model.empty()) {
      made.headers.add("Model", model);
    }
    if (!parts.empty()) {
      made.headers.add("Parts", parts);
    }
    made.body = body.empty() ? "body of " + id : body;
    auto caller = std::make_unique<Caller>();
    gateway.onRequest(std::move(made), *caller);
    scheduler.settle();
    return caller;
  }

  /// Delivers the head of the worker's response.
  bool head(const SentRequest& sent, int status, const std::string& id, bool sealed,
            bool notRun = false) {
    net::MessageHead made;
    made.status = status;
    made.headers.add("Id", id);
    if (sealed) {
      made.headers.add("Sealed", "1");
    }
    if (notRun) {
      made.headers.add("Not-Run", "1");
    }
    return sent.callbacks->onResponseHead(std::move(made));
  }
  void answer(const SentRequest& sent, int status, const std::string& id, const std::string& body) {
    head(sent, status, id, true);
    sent.callbacks->onResponseBody(body);
    sent.callbacks->onResponseComplete();
    scheduler.settle();
  }
  void refuse(const SentRequest& sent, int status, const std::string& id) {
    head(sent, status, id, false, true);
    sent.callbacks->onResponseComplete();
    scheduler.settle();
  }
  void lose(const SentRequest& sent) {
    sent.callbacks->onResponseFailure({base::ErrorCode::connectionLost, "", ""}, true);
    scheduler.settle();
  }
  void unreachable(const SentRequest& sent) {
    sent.callbacks->onResponseFailure({base::ErrorCode::connectFailed, "", ""}, false);
    scheduler.settle();
  }
};

}  // namespace walnut::gateway::testing
