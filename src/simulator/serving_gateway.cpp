#include "simulator/serving_gateway.h"

#include <algorithm>
#include <map>
#include <sstream>
#include <utility>

namespace walnut::simulator {

namespace {

constexpr protocol::ConnectionId kLeader{1};
const base::Endpoint kLeaderEndpoint{"10.0.0.1", 7000};

std::string text(const net::HeaderList& headers, const char* name) {
  const std::string* found = headers.find(name);
  return found == nullptr ? std::string() : *found;
}

/// Fields: Id, Deadline-Ms, Model, Parts, Resume, Stream; of answers: Id, Sealed, Not-Run.
class ServingDialect : public gateway::RequestDialect {
 public:
  gateway::RequestFacts readRequest(const net::HttpRequest& request) const override {
    gateway::RequestFacts facts;
    facts.requestId = text(request.headers, "Id");
    if (const auto millis = request.headers.findNumber("Deadline-Ms")) {
      facts.deadline = std::chrono::milliseconds(*millis);
    }
    std::tie(facts.model, facts.adapter) = splitTarget(text(request.headers, "Model"));
    facts.promptParts = splitParts(text(request.headers, kPartsField));
    facts.resumeAfter = text(request.headers, "Resume");
    facts.resumedRequest = text(request.headers, "Stream");
    return facts;
  }
  std::string callerOf(const net::HttpRequest& request) const override {
    return text(request.headers, "Caller");
  }
  void removeSystemFields(net::HttpRequest&) const override {}
  void writeAttempt(net::HttpRequest& request, const gateway::AttemptFacts& facts) const override {
    if (!facts.resumeAfter.empty()) {
      request.headers.set("Resume", facts.resumeAfter);
    }
  }
  gateway::AnswerFacts readAnswer(int, const net::HeaderList& headers) const override {
    gateway::AnswerFacts facts{text(headers, "Id"),
                               headers.find("Sealed") != nullptr,
                               headers.find("Not-Run") != nullptr,
                               false,
                               {},
                               {}};
    if (const std::string* limit = headers.find("Limit")) {
      facts.limit = std::stod(*limit);
    }
    return facts;
  }
  bool isReadinessCall(const net::HttpRequest&) const override { return false; }
};

/// Hands the lines of the decision log to the fleet.
class ForwardingLog : public runtime::EventLog {
 public:
  ForwardingLog(std::size_t index, ServingGatewayLinks& links) : index_(index), links_(links) {}
  void write(runtime::LogEvent event, std::initializer_list<runtime::EventField> fields) override {
    links_.logged(index_, event, fields);
  }

 private:
  const std::size_t index_;
  ServingGatewayLinks& links_;
};

class CallLauncher : public gateway::AttemptLauncher {
 public:
  CallLauncher(std::size_t index, Scheduler& scheduler, ServingGatewayLinks& links)
      : index_(index), scheduler_(scheduler), links_(links) {}

  std::unique_ptr<gateway::Attempt> start(const registry::WorkerRecord& worker,
                                          const net::HttpRequest& request,
                                          const net::ConnectionChoice& choice,
                                          net::ResponseCallbacks& callbacks) override {
    auto call = std::make_shared<ServingCall>();
    call->request = request;
    call->callbacks = &callbacks;
    call->connection = connect(worker.id, choice);
    ++call->connection->requests;
    links_.toWorker(index_, worker, call);
    return std::make_unique<CallAttempt>(std::move(call), idle_[worker.id]);
  }
  bool connected(const registry::WorkerId&) const override { return true; }
  bool connectedSince(const registry::WorkerId& worker, base::TimePoint time) const override {
    const auto found = idle_.find(worker);
    return found != idle_.end() &&
           std::any_of(found->second.begin(), found->second.end(), [&](const auto& connection) {
             return connection->openedAt <= time && links_.isUp(connection->process);
           });
  }
  void forget(const registry::WorkerId&) override {}

 private:
  using Connections = std::vector<std::shared_ptr<ServingConnection>>;

  struct CallAttempt : gateway::Attempt {
    CallAttempt(std::shared_ptr<ServingCall> sent, Connections& kept)
        : call(std::move(sent)), idle(kept) {}
    void cancel() override { call->cancelled = true; }
    void release() override {
      call->cancelled = true;
      if (!call->connection->inDoubt) {
        idle.push_back(call->connection);
      }
    }
    void setReading(bool) override {}
    std::uint64_t connection() const override { return call->connection->number; }
    bool sharesConnection() const override { return call->connection->requests > 1; }
    std::shared_ptr<ServingCall> call;
    Connections& idle;  ///< To the same worker.
  };

  /// @return the connection that was used last of those that the choice permits, or a new one.
  std::shared_ptr<ServingConnection> connect(const registry::WorkerId& worker,
                                             const net::ConnectionChoice& choice) {
    Connections& idle = idle_[worker];
    std::erase_if(idle,
                  [this](const auto& connection) { return !links_.isUp(connection->process); });
    const auto found = std::find_if(idle.rbegin(), idle.rend(), [&choice](const auto& connection) {
      return !choice.mustBeNew && std::find(choice.excluded.begin(), choice.excluded.end(),
                                            connection->number) == choice.excluded.end();
    });
    if (found == idle.rend()) {
      auto made = std::make_shared<ServingConnection>();
      made->number = ++lastConnection_;
      made->openedAt = scheduler_.now();
      return made;
    }
    std::shared_ptr<ServingConnection> connection = *found;
    idle.erase(std::next(found).base());
    return connection;
  }

  const std::size_t index_;
  Scheduler& scheduler_;
  ServingGatewayLinks& links_;
  std::map<registry::WorkerId, Connections> idle_;
  std::uint64_t lastConnection_ = 0;
};

}  // namespace

std::pair<std::string, std::string> splitTarget(const std::string& target) {
  const std::size_t slash = target.find('/');
  return slash == std::string::npos ? std::pair(target, std::string())
                                    : std::pair(target.substr(0, slash), target.substr(slash + 1));
}

std::string joinParts(const std::vector<std::string>& parts) {
  std::string text;
  for (const std::string& part : parts) {
    text += (text.empty() ? "" : ",") + part;
  }
  return text;
}

std::vector<std::string> splitParts(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  for (std::string part; std::getline(stream, part, ',');) {
    parts.push_back(part);
  }
  return parts;
}

struct ServingGateway::Process : public gateway::RegistryLink {
  Process(std::size_t number, Scheduler& time, ServingGatewayLinks& fleet,
          const gateway::GatewayOptions& options, std::uint32_t featureLevel)
      : index(number),
        leaderLevel(featureLevel),
        links(fleet),
        loop(time),
        log(number, fleet),
        launcher(number, time, fleet),
        session(sessionOptions(), loop, *this, log, number + 1),
        gateway(options, loop, dialect, launcher, session, log, metrics),
        follower(loop, session, gateway, log) {}

  static gateway::RegistrySessionOptions sessionOptions() {
    gateway::RegistrySessionOptions options;
    options.servers = {kLeaderEndpoint};
    return options;
  }

  void open(const base::Endpoint& server) override {
    loop.runSoon([this, server] { session.opened(kLeader, server, leaderLevel); });
  }
  void close(protocol::ConnectionId) override {}
  void send(protocol::ConnectionId, registry::MessageBody message) override {
    links.toLeader(index, std::move(message));
  }

  const std::size_t index;
  const std::uint32_t leaderLevel;  ///< Of features that it knows.
  ServingGatewayLinks& links;
  VirtualLoop loop;
  ForwardingLog log;
  runtime::NullMetricsSink metrics;
  ServingDialect dialect;
  CallLauncher launcher;
  gateway::RegistrySession session;
  gateway::Gateway gateway;
  gateway::RegistryFollower follower;
};

ServingGateway::ServingGateway(std::size_t index, Scheduler& scheduler, ServingGatewayLinks& links,
                               const gateway::GatewayOptions& options, std::uint32_t leaderLevel)
    : scheduler_(scheduler),
      process_(std::make_unique<Process>(index, scheduler, links, options, leaderLevel)) {}

ServingGateway::~ServingGateway() = default;

void ServingGateway::start() {
  run([this] {
    process_->session.start();
    process_->gateway.start();
  });
}

void ServingGateway::received(const registry::RegistryMessage& message) {
  run([this, message] { process_->follower.messageReceived(kLeader, message); });
}

void ServingGateway::request(net::HttpRequest request, net::ResponseSink& sink) {
  run([this, request = std::move(request), &sink] { process_->gateway.onRequest(request, sink); });
}

void ServingGateway::loseLeader() {
  run([this] { process_->session.closed(kLeader); });
}

void ServingGateway::run(const std::function<void()>& input) {
  if (ended_) {
    return;
  }
  if (scheduler_.now() < suspendedUntil_ || !suspendedInputs_.empty()) {
    suspendedInputs_.push_back(input);
    return;
  }
  take(input);
}

void ServingGateway::suspend(base::Duration duration) {
  suspendedUntil_ = std::max(suspendedUntil_, scheduler_.now() + duration);
  scheduler_.at(suspendedUntil_, [this] { resume(); });
}

/// Takes what came while the machine stood still, in the order in which it came.
void ServingGateway::resume() {
  while (!ended_ && scheduler_.now() >= suspendedUntil_ && !suspendedInputs_.empty()) {
    const std::function<void()> input = std::move(suspendedInputs_.front());
    suspendedInputs_.pop_front();
    take(input);
  }
}

void ServingGateway::take(const std::function<void()>& input) {
  input();
  process_->loop.runDeferred();
  scheduleWakeup();
}

void ServingGateway::scheduleWakeup() {
  const base::TimePoint next = process_->loop.next();
  if (next >= wakeupAt_) {
    return;
  }
  wakeupAt_ = next;
  scheduler_.at(next, [this, next] {
    if (wakeupAt_ != next) {
      return;
    }
    wakeupAt_ = base::kNever;
    run([this] { process_->loop.runDue(); });
  });
}

}  // namespace walnut::simulator
