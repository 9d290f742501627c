/// @file
/// The part of a serving fleet in which workers name the requests a second that they take, and
/// gateways are cut off from the leader.

#include <algorithm>
#include <sstream>

#include "simulator/serving_caller.h"

namespace walnut::simulator {

void ServingFleet::limitWorker(std::size_t worker, double perSecond) {
  std::ostringstream text;
  text << perSecond;
  workers_[worker]->setLimit(text.str());
  limitAccount_.limitSet(workers_[worker]->record().id.value, perSecond, scheduler_.now());
}

void ServingFleet::endLimit(std::size_t worker) {
  workers_[worker]->setLimit({});
  limitAccount_.limitEnded(workers_[worker]->record().id.value, scheduler_.now());
}

void ServingFleet::cutGateway(std::size_t gateway, base::Duration duration) {
  gatewayCutUntil_[gateway] = scheduler_.now() + duration;
  gatewayDisturbedAt_[gateway] = gatewayCutUntil_[gateway];
  gateways_[gateway]->loseLeader();
}

bool ServingFleet::undisturbed(std::size_t gateway) const {
  const base::TimePoint since = gatewayDisturbedAt_[gateway];
  return since == base::TimePoint() || scheduler_.now() > since + kContact;
}

void ServingFleet::noteLimitedArrival(std::size_t gateway, const std::shared_ptr<ServingCall>& call,
                                      const ServingWorker& worker) {
  constexpr std::uint64_t kMostGateways = 10'000;
  const std::uint64_t life = gatewayLives_[gateway] * kMostGateways + gateway;
  const std::string& id = worker.record().id.value;
  limitAccount_.arrived(id, life, !undisturbed(gateway), scheduler_.now());
  call->onLimit = [this, id, life] { limitAccount_.told(id, life, scheduler_.now()); };
}

void ServingFleet::answered(Caller& caller, const net::HttpResponse& response) {
  constexpr int kTooManyRequests = 429;
  constexpr int kUnavailable = 503;
  const int status = response.head.status;
  if (options_.worker.account != nullptr && !caller.repeatable) {
    options_.worker.account->answered(caller.id, status);
  }
  if (caller.counting != counting_ || (status != kTooManyRequests && status != kUnavailable)) {
    return;
  }
  refusals_.after.push_back(scheduler_.now() - caller.sentAt);
  const std::string* retryAfter = response.head.headers.find("Retry-After");
  refusals_.withoutRetryAfter += retryAfter == nullptr ? 1 : 0;
  if (retryAfter != nullptr) {
    caller.retryAfter = std::chrono::duration_cast<base::Duration>(
        std::chrono::duration<double>(std::stod(*retryAfter)));
    noteToldTime(caller);
  }
}

base::Duration RefusalAccount::mostlyAfter() const {
  constexpr std::size_t kHundred = 100;
  if (after.empty()) {
    return base::Duration::zero();
  }
  std::vector<base::Duration> sorted = after;
  std::sort(sorted.begin(), sorted.end());
  return sorted[sorted.size() - 1 - sorted.size() / kHundred];
}

std::string ServingFleet::describe(const LimitWindow& window) const {
  std::ostringstream text;
  text << window.worker << " got " << window.arrivals << " in 4 s, allowed " << window.allowed
       << ", until " << sinceStart(window.end) << "s";
  return text.str();
}

}  // namespace walnut::simulator
