/// @file
/// The part of a serving fleet in which requests crash their workers, gateways restart or stand
/// still, and the leader changes.

#include <algorithm>
#include <sstream>
#include <utility>

#include "simulator/serving_caller.h"

namespace walnut::simulator {

namespace {

/// @name Between an answer, or giving up, and the next try
/// @{
constexpr base::Duration kShortestPause = std::chrono::milliseconds(200);
constexpr base::Duration kLongestPause = std::chrono::milliseconds(2000);
/// @}
/// @name Until a worker that ended is back
/// @{
constexpr base::Duration kShortestDown = std::chrono::milliseconds(500);
constexpr base::Duration kLongestDown = std::chrono::milliseconds(4000);
/// @}
/// Until a gateway that ended is back.
constexpr base::Duration kGatewayDown = std::chrono::milliseconds(300);
constexpr std::uint64_t kCrashesAllowed = 3;

}  // namespace

void ServingFleet::addCrashingRequest(base::Duration begin, base::Duration lasts, bool repeatable) {
  const std::size_t number = crashing_.size();
  CrashingRequest request;
  request.target = "m" + std::to_string(scheduler_.random().uniform(0, options_.popularModels - 1));
  if (options_.promptParts) {
    request.parts = drawParts();
  }
  request.repeatable = repeatable;
  request.until = scheduler_.now() + begin + lasts;
  crashing_.push_back(std::move(request));
  scheduler_.after(begin, [this, number] { sendCrashing(number); });
}

void ServingFleet::sendCrashing(std::size_t number) {
  CrashingRequest& request = crashing_[number];
  ++request.tries;
  Caller caller(*this);
  caller.target = request.target;
  caller.parts = request.parts;
  caller.repeatable = request.repeatable;
  caller.body = "crashing " + std::to_string(number);
  caller.crashing = number;
  send(caller);
}

void ServingFleet::comeAgain(std::size_t number) {
  const base::Duration pause = scheduler_.random().between(kShortestPause, kLongestPause);
  if (scheduler_.now() + pause < crashing_[number].until) {
    scheduler_.after(pause, [this, number] { sendCrashing(number); });
  }
}

void ServingFleet::arrivedCrashing(std::size_t number, const std::shared_ptr<ServingCall>& call,
                                   ServingWorker& worker, bool inTouch,
                                   const ServingWorker::InLoop& inLoop) {
  CrashingRequest& request = crashing_[number];
  ++crashAccount_.sends;
  if (inTouch && request.thirdCrashAt != base::kNever &&
      call->sentAt > request.thirdCrashAt + kContact) {
    ++request.lateSends;
  }
  worker.receiveCrashing(call, request.target, options_.crashingShowsHead, inLoop,
                         [this, number, id = worker.record().id] { crash(number, id); });
}

void ServingFleet::crash(std::size_t number, const registry::WorkerId& id) {
  CrashingRequest& request = crashing_[number];
  ++crashAccount_.crashes;
  if (++request.crashes == kCrashesAllowed) {
    request.thirdCrashAt = scheduler_.now();
  }
  endWorker(id, kShortestDown, kLongestDown);
}

void ServingFleet::endWorker(const registry::WorkerId& id, base::Duration shortestDown,
                             base::Duration longestDown) {
  const auto found = std::find_if(workers_.begin(), workers_.end(),
                                  [&id](const auto& worker) { return worker->record().id == id; });
  noteCrash(**found);
  noteBroken(**found);
  limitAccount_.limitEnded(id.value, scheduler_.now());
  const std::size_t cut = (*found)->crash();
  crashAccount_.cutBeside += cut - std::min<std::size_t>(cut, 1);
  const auto index = static_cast<std::size_t>(found - workers_.begin());
  scheduler_.after(scheduler_.random().between(shortestDown, longestDown),
                   [this, index] { restartWorker(index); });
}

void ServingFleet::noteCrash(const ServingWorker& worker) {
  CrashRecord record{scheduler_.now(), worker.record().id, {}};
  for (const auto& call : worker.running()) {
    record.cut.push_back({call->request.body, scheduler_.now() - call->sentAt,
                          call->request.headers.find(kCrashingField) != nullptr ||
                              call->request.headers.find(kCrashingPartField) != nullptr});
  }
  crashes_.push_back(std::move(record));
}

/// It comes back empty, under another id and at the same endpoint; its disk is kept.
void ServingFleet::restartWorker(std::size_t index) {
  registry::WorkerRecord record = workers_[index]->record();
  record.name.clear();
  record.id = {"w" + std::to_string(index) + "." + std::to_string(++lastIncarnation_)};
  auto next = std::make_unique<ServingWorker>(record, options_.worker, scheduler_);
  next->setOnDisk(workers_[index]->onDisk());
  formerWorkers_.push_back(std::exchange(workers_[index], std::move(next)));
  heard(*workers_[index]);
}

void ServingFleet::restartGateway(std::size_t gateway) {
  if (gateways_[gateway]->hasEnded()) {
    return;
  }
  gateways_[gateway]->end();
  if (options_.callersTakeUp) {
    endCallsOf(gateway);
  }
  gatewayDisturbedAt_[gateway] = scheduler_.now();
  if (leader_ != nullptr) {
    leader_->unsubscribe(protocol::ConnectionId{gateway + 1});
  }
  for (std::size_t index = 0; index < callers_.size(); ++index) {
    Caller& caller = *callers_[index];
    if (caller.gateway == gateways_[gateway].get()) {
      caller.end(false);
    }
  }
  scheduler_.after(kGatewayDown, [this, gateway] {
    formerGateways_.push_back(std::move(gateways_[gateway]));
    startGateway(gateway);
    gatewayDisturbedAt_[gateway] = scheduler_.now();
  });
}

void ServingFleet::suspendGateway(std::size_t gateway, base::Duration duration) {
  gateways_[gateway]->suspend(duration);
  gatewayDisturbedAt_[gateway] = scheduler_.now() + duration;
}

void ServingFleet::changeLeader(base::Duration gap) {
  if (leader_ == nullptr) {
    return;
  }
  formerLeaders_.push_back(std::move(leader_));
  ++term_;
  leaderDisturbedAt_ = scheduler_.now() + gap;
  for (const auto& gateway : gateways_) {
    gateway->loseLeader();
  }
  scheduler_.after(gap, [this] { lead(); });
}

void ServingFleet::later(base::Duration delay, std::function<void(ServingFleet&)> fault) {
  scheduler_.after(delay, [this, fault = std::move(fault)] { fault(*this); });
}

bool ServingFleet::inTouch(std::size_t gateway) const {
  const base::TimePoint since =
      std::max({gatewayDisturbedAt_[gateway], leaderDisturbedAt_, base::TimePoint()});
  return scheduler_.now() > since + kContact;
}

void ServingFleet::logged(std::size_t gateway, runtime::LogEvent event,
                          std::initializer_list<runtime::EventField> fields) {
  if (tracesCallers_) {
    noteDecision(gateway, event, fields);
  }
  if (streams_.logged(event, fields)) {
    noteEndedByGateway(fields);
  }
  if (event == runtime::LogEvent::requestCut) {
    noteCutLogged(fields);
  }
  if (event != runtime::LogEvent::requestRefused) {
    return;
  }
  bool quarantined = false;
  std::string request;
  for (const runtime::EventField& field : fields) {
    quarantined = quarantined || (field.key == "reason" && field.value == "quarantined");
    request = field.key == "request" ? std::string(field.value) : request;
    if (field.key == "reason") {
      ++refusals_.reasons[std::string(field.value)];
    }
  }
  if (quarantined && request.starts_with('r')) {
    ++crashAccount_.innocentsRefused;
    refused_.push_back({scheduler_.now(), bodies_[request]});
  }
}

void ServingFleet::noteCutLogged(std::initializer_list<runtime::EventField> fields) {
  std::string request;
  std::string digest;
  for (const runtime::EventField& field : fields) {
    request = field.key == "request" ? std::string(field.value) : request;
    digest = field.key == "digest" ? std::string(field.value) : digest;
  }
  bodiesByDigest_[digest] = bodies_[request];
}

void ServingFleet::noteReports(const registry::CutReport& report) {
  for (const registry::CutRequest& cut : report.cuts) {
    reportedAt_.try_emplace({bodiesByDigest_[cut.request.text()], cut.worker}, scheduler_.now());
  }
}

std::string ServingFleet::describeReport(const CrashRecord& crash, const std::string& body) const {
  const auto found = reportedAt_.find({body, crash.worker});
  return found == reportedAt_.end() ? "never reported"
                                    : "reported " + std::to_string(sinceStart(found->second)) + "s";
}

std::size_t ServingFleet::crashesOf(const std::string& body, base::TimePoint until) const {
  const auto isBody = [&body](const CrashRecord::Cut& cut) { return cut.body == body; };
  return static_cast<std::size_t>(
      std::count_if(crashes_.begin(), crashes_.end(), [&](const CrashRecord& crash) {
        return crash.at <= until && std::any_of(crash.cut.begin(), crash.cut.end(), isBody);
      }));
}

std::string ServingFleet::describeCrash(const CrashRecord& crash, const std::string& body,
                                        base::TimePoint refusedAt) const {
  std::ostringstream text;
  for (const CrashRecord::Cut& cut : crash.cut) {
    const std::size_t then = crashesOf(cut.body, crash.at);
    if (cut.body == body) {
      text << " after " << std::chrono::duration_cast<std::chrono::milliseconds>(cut.age).count()
           << "ms, " << describeReport(crash, body);
    } else if (cut.causes || then > 1) {
      text << " [" << cut.body << " " << then << " then, " << crashesOf(cut.body, refusedAt)
           << " at the refusal, " << crashesOf(cut.body, base::kNever) << " in the end"
           << (cut.causes ? ", " + describeReport(crash, cut.body) : std::string()) << "]";
    }
  }
  return text.str();
}

std::string ServingFleet::describeRefused() const {
  std::ostringstream text;
  for (const RefusedInnocent& refused : refused_) {
    text << "\n  " << sinceStart(refused.at) << "s refused " << refused.body;
    const auto isBody = [&refused](const CrashRecord::Cut& cut) {
      return cut.body == refused.body;
    };
    for (const CrashRecord& crash : crashes_) {
      if (crash.at <= refused.at && std::any_of(crash.cut.begin(), crash.cut.end(), isBody)) {
        text << "\n    " << sinceStart(crash.at) << "s at " << crash.worker.value
             << describeCrash(crash, refused.body, refused.at);
      }
    }
  }
  return text.str();
}

CrashAccount ServingFleet::crashAccount() const {
  CrashAccount account = crashAccount_;
  account.requests = crashing_.size();
  for (const CrashingRequest& request : crashing_) {
    account.mostLateSends = std::max(account.mostLateSends, request.lateSends);
  }
  return account;
}

}  // namespace walnut::simulator
