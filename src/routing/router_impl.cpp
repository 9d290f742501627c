#include "routing/router_impl.h"

#include <algorithm>
#include <utility>

#include "walnut/factories.h"

namespace walnut::routing {

namespace {
/// Retry delay for callers whose request ran into its deadline.
constexpr base::Duration kRetryAfter = std::chrono::seconds(1);
/// Number of probe intervals that a watched controller may lag behind a confirmed bound.
constexpr int kWatchLagProbes = 2;
/// Number of probe intervals within which the first snapshot page of the cell must arrive.
constexpr int kFirstStateProbes = 4;
}  // namespace

RouterImpl::RouterImpl(const RouterOptions& options, base::RouterId id, std::uint64_t seed,
                       base::TimePoint now)
    : core_(options, id, seed),
      lifecycle_(core_),
      claims_(core_, lifecycle_),
      admission_(core_, lifecycle_),
      dispatcher_(core_, lifecycle_, claims_),
      attempts_(core_, lifecycle_),
      parker_(core_, lifecycle_),
      mover_(core_, lifecycle_, attempts_, parker_),
      probeAt_(now),
      watchProgressAt_(now) {
  core_.now = now;
  core_.sessions.start(now);
}

void RouterImpl::step(base::TimePoint now, const RouterInput& input) {
  core_.now = std::max(core_.now, now);
  std::visit([this](const auto& body) { handle(body); }, input);
  runTimers();
  dispatcher_.run();
  core_.demand.tick(core_.now, core_.targets, core_.queue, core_.view, core_.requests,
                    core_.selector, core_.actions);
  if (core_.stopping && !stopped_ && core_.requests.size() == 0) {
    stopped_ = true;
    core_.actions.emplace_back(RouterStopped{});
  }
}

std::vector<RouterAction> RouterImpl::takeActions() { return std::exchange(core_.actions, {}); }

base::TimePoint RouterImpl::nextWakeup() const {
  return std::min({core_.requests.nextWakeup(), core_.sessions.nextWakeup(),
                   core_.demand.nextWakeup(), dispatcher_.nextWakeup(), probeAt_});
}

RouterStatus RouterImpl::status(base::TimePoint now) const {
  RouterStatus status;
  status.ready = core_.freshness.confirmed(now) && !core_.stopping;
  status.appliedIndex = core_.view.index();
  status.namesIndex = core_.view.namesIndex();
  status.confirmedAt = core_.freshness.confirmedAt().value_or(base::TimePoint());
  status.queued = core_.queue.size();
  status.running = core_.requests.size() - core_.queue.size();
  return status;
}

std::vector<ServedName> RouterImpl::servedNames() const { return core_.view.servedNames(); }

void RouterImpl::handle(const CallerRequested& input) { admission_.admit(input.request); }

void RouterImpl::handle(const CallerDisconnected& input) {
  Request* request = core_.requests.find(input.request);
  if (request != nullptr) {
    claims_.removeRequest(*request);
    lifecycle_.abandon(*request);
  }
}

void RouterImpl::handle(const EngineEvent& input) { attempts_.handleEvent(input.event); }

void RouterImpl::handle(const EngineExported& input) { mover_.handleExported(input); }

void RouterImpl::handle(const StateHoldAnswered& input) { parker_.handleHeld(input); }

void RouterImpl::handle(const StateStored& input) { parker_.handleKept(input); }

void RouterImpl::handle(const CacheEventsRead& input) {
  core_.selector.applyCacheEvents(input.engine, input.events);
}

void RouterImpl::handle(const ControllerConnected& input) {
  core_.sessions.handleConnected(core_.now, input, core_.view.index());
  updateLeader();
  probeAt_ = core_.now;
}

void RouterImpl::handle(const ControllerDisconnected& input) {
  const auto gone = core_.sessions.handleDisconnected(core_.now, input.endpoint);
  if (gone.has_value()) {
    core_.view.dropPages(*gone);
  }
  updateLeader();
}

void RouterImpl::handle(const ControllerMessage& input) {
  std::visit([&](const auto& body) { receive(input.connection, body); }, input.message);
}

void RouterImpl::handle(const Tick&) {}

void RouterImpl::handle(const PlannedShutdown&) { core_.stopping = true; }

void RouterImpl::receive(protocol::ConnectionId, const protocol::WatchDelta& delta) {
  const consensus::LogIndex before = core_.view.index();
  handleApplyResult(core_.view.applyDelta(delta), before);
}

void RouterImpl::receive(protocol::ConnectionId connection,
                         const protocol::WatchSnapshotPage& page) {
  const consensus::LogIndex before = core_.view.index();
  const ApplyResult result = core_.view.applyPage(connection, page);
  if (result == ApplyResult::applied) {
    watchProgressAt_ = core_.now;
  }
  handleApplyResult(result, before);
}

void RouterImpl::receive(protocol::ConnectionId, const protocol::ProbeReply& reply) {
  core_.freshness.reply(reply, core_.view);
  core_.sessions.probeReply(reply);
  updateLeader();
}

void RouterImpl::receive(protocol::ConnectionId, const protocol::ClaimReply& reply) {
  const std::optional<ClaimAnswer> answer = claims_.reply(reply);
  if (answer.has_value()) {
    dispatcher_.handleClaimAnswer(*answer);
  }
}

void RouterImpl::handleApplyResult(ApplyResult result, consensus::LogIndex indexBefore) {
  if (result == ApplyResult::gap &&
      core_.now - core_.sessions.watchedSince() >= core_.options.probeInterval) {
    core_.sessions.renewWatch(core_.now, core_.view.index());
  }
  if (result != ApplyResult::applied) {
    return;
  }
  if (core_.view.index() > indexBefore) {
    watchProgressAt_ = core_.now;
  }
  propagateViewChange();
}

void RouterImpl::propagateViewChange() {
  const ViewChange change = core_.view.takeChange();
  if (change.membership) {
    core_.sessions.membershipChanged(core_.now, core_.view.membership());
    updateLeader();
  }
  core_.freshness.viewChanged(core_.view);
  std::set<base::EngineId> engines = change.engines;
  std::set<std::string> targets = change.targets;
  if (change.everything) {
    engines.merge(core_.selector.engines());
    engines.merge(core_.requests.engines());
    for (const auto& [name, queue] : core_.queue.targets()) {
      targets.insert(name);
    }
  }
  for (const base::EngineId& engine : engines) {
    core_.selector.engineChanged(engine, core_.view.engine(engine));
    mover_.engineChanged(engine);
  }
  for (const std::string& name : targets) {
    // Other targets have neither waiting requests nor a load whose duration is being observed.
    if (core_.targets.contains(name)) {
      core_.dispatchDue.insert(name);
    }
  }
}

void RouterImpl::updateLeader() {
  const std::optional<LeaderSession> leader = core_.sessions.leader();
  if (leader == leader_) {
    return;
  }
  leader_ = leader;
  core_.demand.setLeader(core_.now, leader);
  if (leader.has_value()) {
    claims_.resendToLeader();
  }
}

void RouterImpl::runTimers() {
  core_.sessions.tick(core_.now, core_.view.index());
  if (probeAt_ <= core_.now) {
    probe();
    checkWatch();
  }
  for (Request* request = core_.requests.due(core_.now); request != nullptr;
       request = core_.requests.due(core_.now)) {
    handleRequestTimer(*request);
  }
}

void RouterImpl::probe() {
  const std::uint64_t sequence = core_.freshness.beginRound(core_.now);
  core_.sessions.sendToAll(protocol::ProbeRequest{sequence});
  probeAt_ = core_.now + core_.options.probeInterval;
}

void RouterImpl::checkWatch() {
  const base::TimePoint since = std::max(core_.sessions.watchedSince(), watchProgressAt_);
  const std::optional<base::TimePoint> behind = core_.freshness.laggingSince();
  const bool isLagging = behind.has_value() && core_.now - std::max(since, *behind) >=
                                                   kWatchLagProbes * core_.options.probeInterval;
  const bool isUnresponsive = core_.view.index() == 0 &&
                              core_.now - since >= kFirstStateProbes * core_.options.probeInterval;
  if (isLagging || isUnresponsive) {
    core_.sessions.replaceLaggingWatch(core_.now, core_.view.index());
    updateLeader();
  }
}

void RouterImpl::handleRequestTimer(Request& request) {
  if (request.deadline <= core_.now) {
    claims_.removeRequest(request);
    const bool retryable = RequestLifecycle::canBeResent(request);
    lifecycle_.refuse(request, {{base::ErrorCode::deadlineExceeded, "", "the deadline passed"},
                                retryable,
                                retryable ? kRetryAfter : base::Duration(0)});
    return;
  }
  if (request.phaseDeadline > core_.now) {
    if (RequestLifecycle::waitsWithExportedState(request)) {
      parker_.checkHolder(request);
    } else {
      mover_.reconsider(request);
    }
    return;
  }
  switch (request.machine.state()) {
    case RequestState::claiming:
      dispatcher_.handleClaimTimeout(request);
      break;
    case RequestState::exporting:
      mover_.handleExportTimeout(request);
      break;
    case RequestState::parking:
      parker_.handleParkingTimer(request);
      break;
    case RequestState::starting:
    case RequestState::streaming:
    case RequestState::backingOff:
      attempts_.handlePhaseTimeout(request);
      break;
    case RequestState::queued:
    case RequestState::done:
      lifecycle_.setPhaseDeadline(request, base::kNever);
      break;
  }
}

std::unique_ptr<Router> makeRouter(const RouterOptions& options, base::RouterId id,
                                   std::uint64_t seed, base::TimePoint now) {
  return std::make_unique<RouterImpl>(options, id, seed, now);
}

}  // namespace walnut::routing
