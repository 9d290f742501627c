#include "daemon/controller_host.h"

#include <cstdlib>
#include <utility>

#include "walnut/factories.h"
#include "walnut/runtime/clock.h"
#include "walnut/runtime/log.h"

namespace walnut::daemon {

using base::Error;
using base::ErrorCode;

namespace {

/// The logic answers after its own time-out; this much later the loop must have been held up.
constexpr base::Duration kReplyMargin = std::chrono::seconds(5);

transport::TransportOptions transportOptionsOf(const ControllerSettings& settings,
                                               base::ServerId self) {
  transport::TransportOptions options;
  options.hello = {protocol::kProtocolVersion, protocol::PeerRole::controller, settings.cell,
                   self.value, settings.zone};
  options.listenAddress = settings.listenPeer.address;
  options.listenPort = settings.listenPeer.port;
  return options;
}

const char* roleName(consensus::Role role) {
  switch (role) {
    case consensus::Role::follower:
      return "follower";
    case consensus::Role::preCandidate:
      return "pre-candidate";
    case consensus::Role::candidate:
      return "candidate";
    case consensus::Role::leader:
      return "leader";
  }
  return "unknown";
}

[[noreturn]] void endAfterStorageFailure(const Error& error) {
  runtime::logError("storage-failed", error);
  runtime::dumpLog();
  std::_Exit(static_cast<int>(runtime::ExitCode::storageFailed));
}

}  // namespace

ControllerHost::ControllerHost(const ControllerSettings& settings, DataFolder folder,
                               std::uint64_t seed)
    : settings_(settings),
      self_(folder.recovered.self),
      folder_(std::move(folder)),
      controller_(control::makeController(settings.logic, settings.cell,
                                          std::move(folder_.recovered), settings.initialMembers,
                                          seed, runtime::now())),
      seed_(seed) {}

ControllerHost::~ControllerHost() {
  if (loop_.joinable()) {
    inbox_.push(ShutDown{});
    loop_.join();
  }
}

base::Result<void> ControllerHost::start() {
  auto transport =
      transport::makeTransport(transportOptionsOf(settings_, self_),
                               [this](transport::Event event) { inbox_.push(std::move(event)); });
  if (!transport) {
    return transport.error();
  }
  transport_ = std::move(transport.value());
  links_.emplace(*transport_, self_, seed_);
  executor_ = std::make_unique<CallExecutor>(settings_.calls);
  engineClient_ = std::make_unique<EngineClient>(*executor_, settings_.logic.callTimeout);
  loop_ = std::thread([this] { run(); });
  return base::success();
}

base::Endpoint ControllerHost::peerEndpoint() const {
  return {settings_.listenPeer.address, transport_->port()};
}

void ControllerHost::beginStop() {
  if (!stopping_.exchange(true)) {
    inbox_.push(control::ControllerInput(control::PlannedShutdown{}));
  }
}

protocol::ApiReply ControllerHost::call(protocol::ApiRequest request) {
  const auto queue = std::make_shared<ReplyQueue>();
  inbox_.push(ApiSubmission{nextCall_.fetch_add(1), std::move(request), queue});
  auto reply = queue->popFor(settings_.logic.apiTimeout + kReplyMargin);
  if (reply) {
    return std::move(*reply);
  }
  protocol::ApiReply unknown;
  unknown.error = Error{ErrorCode::outcomeUnknown, "", "the decision loop gave no answer in time"};
  return unknown;
}

std::uint64_t ControllerHost::openWatch(std::optional<resource::Kind> kind,
                                        resource::Version fromVersion,
                                        std::shared_ptr<http::WatchQueue> queue) {
  const std::uint64_t watch = nextCall_.fetch_add(1);
  inbox_.push(WatchOpening{{watch, kind, fromVersion}, std::move(queue)});
  return watch;
}

void ControllerHost::closeWatch(std::uint64_t watch) {
  inbox_.push(control::ControllerInput(control::ApiWatchClosed{watch}));
}

bool ControllerHost::ready() { return knowsLeader_ && !stopping_; }

std::string ControllerHost::metricsText() { return metrics_.text(transport_->counters()); }

void ControllerHost::run() {
  bool more = false;
  while (!shutDown_) {
    const base::TimePoint wakeup = more ? base::TimePoint() : controller_->nextWakeup();
    std::vector<LoopInput> batch = inbox_.waitUntil(wakeup);
    now_ = runtime::now();
    if (batch.empty() && !more) {
      controller_->step(now_, control::Tick{});
    }
    inputsSinceSync_ += batch.size();
    for (LoopInput& input : batch) {
      std::visit([this](auto& body) { take(std::move(body)); }, input);
    }
    more = flush();
    publish();
  }
}

void ControllerHost::take(control::ControllerInput input) {
  if (const auto* closed = std::get_if<control::ApiWatchClosed>(&input)) {
    watches_.erase(closed->call);
  } else if (const auto* finished = std::get_if<control::EngineCallFinished>(&input)) {
    metrics_.observeEngineCall(finished->result);
  } else if (const auto* read = std::get_if<control::PlatformListRead>(&input)) {
    notePlatformRead(read->result);
  }
  controller_->step(now_, input);
}

void ControllerHost::notePlatformRead(const base::Result<engine::PlatformList>& result) {
  if (!settings_.platform) {
    return;
  }
  metrics_.observePlatformRead(result);
  if (!result) {
    runtime::logEvent("platform-read-failed", {{"error", base::errorCodeName(result.error().code)},
                                               {"field", result.error().field},
                                               {"detail", result.error().detail}});
  }
}

void ControllerHost::take(ApiSubmission submission) {
  metrics_.observeApiCall();
  replies_[submission.call] = std::move(submission.reply);
  controller_->step(now_, control::ApiCall{submission.call, std::move(submission.request)});
}

void ControllerHost::take(WatchOpening opening) {
  watches_[opening.watch.call] = std::move(opening.queue);
  controller_->step(now_, opening.watch);
}

void ControllerHost::take(transport::Event event) {
  std::visit([this](auto& body) { takeEvent(body); }, event);
}

void ControllerHost::take(const ShutDown&) { shutDown_ = true; }

void ControllerHost::takeEvent(transport::Opened& event) {
  controller_->step(now_, control::PeerOpened{event.connection, event.hello});
  if (event.hello.role == protocol::PeerRole::controller) {
    links_->opened(now_, event);
  }
}

void ControllerHost::takeEvent(transport::Closed& event) {
  links_->closed(event);
  controller_->step(now_, control::PeerClosed{event.connection});
}

void ControllerHost::takeEvent(transport::OpenFailed& event) { links_->openFailed(now_, event); }

void ControllerHost::takeEvent(transport::Received& event) {
  controller_->step(now_, control::PeerMessage{event.connection, std::move(event.message)});
}

bool ControllerHost::flush() {
  control::ControllerOutputs outputs = controller_->takeOutputs();
  const bool persisted = !outputs.persist.empty();
  if (persisted) {
    persist(outputs.persist);
  }
  for (control::ControllerAction& action : outputs.actions) {
    std::visit([this](auto& body) { perform(body); }, action);
  }
  if (persisted) {
    controller_->step(runtime::now(), control::Persisted{});
  }
  return persisted || !outputs.actions.empty();
}

void ControllerHost::persist(const consensus::PersistBatch& batch) {
  const base::TimePoint begin = runtime::now();
  const auto outcome = folder_.storage->persist(batch);
  if (!outcome) {
    endAfterStorageFailure(outcome.error());
  }
  metrics_.observeSync(runtime::now() - begin, inputsSinceSync_, batch.entries.size());
  inputsSinceSync_ = 0;
}

void ControllerHost::perform(control::SendToServer& send) { links_->send(now_, send); }

void ControllerHost::perform(control::SendToConnection& send) {
  transport_->send(send.connection, send.message);
}

void ControllerHost::perform(control::ApiAnswer& answer) {
  const auto found = replies_.find(answer.call);
  if (found != replies_.end()) {
    found->second->push(std::move(answer.reply));
    replies_.erase(found);
  }
}

void ControllerHost::perform(control::ApiWatchEvents& events) {
  const auto found = watches_.find(events.call);
  if (found == watches_.end()) {
    return;
  }
  const bool over = events.error.has_value();
  found->second->push(std::move(events));
  if (over) {
    watches_.erase(found);
  }
}

void ControllerHost::perform(control::EngineCall& call) {
  engineClient_->call(
      call.endpoint, call.request, [this, id = call.call](engine::CallResult result) {
        inbox_.push(control::ControllerInput(control::EngineCallFinished{id, std::move(result)}));
      });
}

void ControllerHost::perform(control::ReadPlatformList&) {
  const auto answer = [this](base::Result<engine::PlatformList> result) {
    inbox_.push(control::ControllerInput(control::PlatformListRead{std::move(result)}));
  };
  if (settings_.platform) {
    engineClient_->readPlatformList(*settings_.platform, answer);
  } else {
    answer(Error{ErrorCode::connectFailed, "platform-url", "none is set"});
  }
}

void ControllerHost::perform(control::ControllerStopped&) {
  if (!stopping_) {
    endAfterStorageFailure(
        {ErrorCode::corruptFile, "state", "the control logic can't go on with what is in its log"});
  }
  stopped_.set();
}

void ControllerHost::publish() {
  const consensus::RaftStatus status = controller_->raftStatus();
  metrics_.observeStatus(status);
  knowsLeader_ = status.leader != base::ServerId{};
  if (status.role != lastRole_) {
    runtime::logEvent("role",
                      {{"role", std::string(roleName(status.role))}, {"term", status.term}});
    lastRole_ = status.role;
  }
}

}  // namespace walnut::daemon
