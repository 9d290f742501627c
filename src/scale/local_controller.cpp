#include "scale/local_controller.h"

#include <algorithm>
#include <utility>

#include "scale/process_usage.h"

namespace walnut::scale {

namespace {

constexpr base::ServerId kSelf{1};
const base::Endpoint kUnused;
constexpr std::uint64_t kFirstRouterConnection = 1000;
constexpr base::TimePoint kStart = base::fromMicros(1'764'660'000'000'000);
/// An election of a single voter, and a report of every engine.
constexpr base::Duration kStartTime = std::chrono::seconds(5);
constexpr base::Duration kProbeInterval = std::chrono::milliseconds(500);

consensus::Membership ownMembership() {
  consensus::Member member;
  member.id = kSelf;
  member.role = consensus::MemberRole::voter;
  member.zone = zoneName(0);
  return {{member}};
}

}  // namespace

LocalController::LocalController(const LocalControllerOptions& options)
    : options_(options), now_(kStart), engines_(options.size, options.activeRequests) {}

protocol::ConnectionId LocalController::connectionOf(std::size_t router) {
  return {kFirstRouterConnection + router};
}

bool LocalController::start() {
  const consensus::Membership membership = ownMembership();
  auto snapshot = buildSnapshot(options_.control, options_.size, membership,
                                EngineEndpoints(options_.size.engines, kUnused));
  if (snapshot.has_error()) {
    return false;
  }
  consensus::RecoveredState recovered;
  recovered.self = kSelf;
  recovered.hardState.term = snapshot.value().lastTerm;
  recovered.snapshot = std::move(snapshot.value());
  controller_ = control::makeController(options_.control, kScaleCell, std::move(recovered),
                                        membership, options_.seed, now_);
  advance(kStartTime);
  connectRouters();
  return controller_->raftStatus().role == consensus::Role::leader;
}

void LocalController::connectRouters() {
  std::vector<control::ControllerInput> inputs;
  for (std::size_t router = 0; router < options_.routers; ++router) {
    const protocol::Hello hello{protocol::kProtocolVersion, protocol::PeerRole::router, kScaleCell,
                                router + 1, zoneName(0)};
    inputs.emplace_back(control::PeerOpened{connectionOf(router), hello});
    inputs.emplace_back(control::PeerMessage{
        connectionOf(router), protocol::WatchRequest{controller_->raftStatus().commitIndex}});
  }
  step(inputs);
  probeAt_ = options_.routers > 0 ? now_ : base::kNever;
}

void LocalController::probeAll() {
  probeAt_ = now_ + kProbeInterval;
  ++probes_;
  std::vector<control::ControllerInput> inputs;
  for (std::size_t router = 0; router < options_.routers; ++router) {
    inputs.emplace_back(
        control::PeerMessage{connectionOf(router), protocol::ProbeRequest{probes_}});
  }
  step(inputs);
}

void LocalController::step(const control::ControllerInput& input) {
  step(std::vector<control::ControllerInput>{input});
}

void LocalController::step(const std::vector<control::ControllerInput>& inputs) {
  const double before = threadProcessorSeconds();
  for (const control::ControllerInput& input : inputs) {
    controller_->step(now_, input);
  }
  noteStep(threadProcessorSeconds() - before);
  takeOutputs();
}

void LocalController::noteStep(double seconds) {
  counters_.processorSeconds += seconds;
  counters_.longestStep = std::max(counters_.longestStep, seconds);
}

void LocalController::takeOutputs() {
  for (bool more = true; more;) {
    const double before = threadProcessorSeconds();
    control::ControllerOutputs outputs = controller_->takeOutputs();
    more = !outputs.persist.empty();
    if (more) {
      controller_->step(now_, control::Persisted{});
    }
    noteStep(threadProcessorSeconds() - before);
    counters_.persistBatches += more ? 1 : 0;
    counters_.entries += outputs.persist.entries.size();
    for (const consensus::LogEntry& entry : outputs.persist.entries) {
      counters_.entryBytes += entry.payload.size();
    }
    for (const control::ControllerAction& action : outputs.actions) {
      std::visit([this](const auto& body) { carryOut(body); }, action);
    }
  }
}

void LocalController::advance(base::Duration length) {
  const base::TimePoint end = now_ + length;
  while (now_ < end) {
    const base::TimePoint nextInput = due_.empty() ? base::kNever : due_.begin()->first;
    now_ = std::clamp(std::min({controller_->nextWakeup(), nextInput, probeAt_}), now_, end);
    std::vector<control::ControllerInput> inputs{control::Tick{}};
    const auto last = due_.upper_bound(now_);
    for (auto entry = due_.begin(); entry != last; ++entry) {
      inputs.push_back(std::move(entry->second));
    }
    due_.erase(due_.begin(), last);
    step(inputs);
    if (probeAt_ <= now_) {
      probeAll();
    }
  }
}

void LocalController::carryOut(const control::EngineCall& action) {
  due_.emplace(now_ + options_.engineAnswers, engines_.answer(action));
  counters_.reports = engines_.reports();
  counters_.orders = engines_.orders();
}

void LocalController::carryOut(const control::ReadPlatformList&) {
  due_.emplace(now_ + options_.engineAnswers, control::PlatformListRead{engines_.list(now_)});
}

void LocalController::carryOut(const control::SendToConnection& action) {
  ++counters_.toRouters[action.message.index()].messages;
}

}  // namespace walnut::scale
