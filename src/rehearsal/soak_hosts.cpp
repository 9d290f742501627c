/// @file
/// The part of a soak that concerns overloaded hosts, spare servers, and whether gateways say that
/// they are ready.

#include <algorithm>
#include <csignal>

#include "platform/names.h"
#include "rehearsal/soak_run.h"

namespace walnut::rehearsal {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr double kHoldUpShare = 0.4;     ///< Of the runs.
constexpr double kFullDisksShare = 0.3;  ///< Of the runs.
/// Up to these times of hold-ups and syncs all gateways are ready within the time for recovery.
constexpr base::Duration kShortestHoldUp = milliseconds(20);
constexpr base::Duration kMostHeldUp = seconds(2);
constexpr base::Duration kLongestRun = seconds(1);
/// Within which all gateways are ready (bound `recoveryS`), after the last fault of a disk.
constexpr base::Duration kRecovery = seconds(12);
constexpr base::Duration kHeldUpFor = seconds(18);
constexpr base::Duration kReadinessInterval = milliseconds(100);
/// Before the final fault.
constexpr base::Duration kShortestSpare = seconds(2);
constexpr base::Duration kLongestSpare = seconds(5);

std::string millisText(base::Duration duration) {
  return std::to_string(std::chrono::duration_cast<milliseconds>(duration).count());
}

}  // namespace

/// Empty servers join at new addresses a moment before the final fault.
void SoakRun::startSpares() {
  const std::size_t count = hostsRandom_.uniform(1, kMaxSpares);
  note("spares: " + std::to_string(count));
  account_.count("spares");
  for (std::size_t index = 0; index < count; ++index) {
    SoakProcess& spare = cell_->addSpare(nextEndpoint(kControlPort));
    openLink(spare);
    cell_->setSyncDelay(spare, base::Duration::zero());
    start(spare);
  }
  runFor(hostsRandom_.between(kShortestSpare, kLongestSpare));
}

/// From the return on, all servers stand still again and again, or some disks are full for a while.
void SoakRun::beginHostFaults() {
  const base::Duration longest = hostsRandom_.between(milliseconds(300), kMostHeldUp);
  const base::Duration full = hostsRandom_.between(seconds(1), seconds(4));
  const std::size_t fullDisks = hostsRandom_.uniform(1, cell_->serverCount());
  if (hostsRandom_.chance(kHoldUpShare)) {
    note("servers are held up for up to ms " + millisText(longest));
    account_.count("hold-ups");
    for (SoakProcess& process : cell_->processes()) {
      if (process.isServer) {
        holdUp(process, longest, returnedAt_ + kHeldUpFor);
      }
    }
  }
  if (hostsRandom_.chance(kFullDisksShare)) {
    note("full disks: " + std::to_string(fullDisks) + ", for ms " + millisText(full));
    account_.count("full-disks");
    for (std::size_t index = 0; index < fullDisks; ++index) {
      SoakProcess& server = cell_->server(index);
      SoakCell::setDiskFull(server, true);
      after(full, [&server] { SoakCell::setDiskFull(server, false); });
    }
    returnedAt_ += full;
  }
}

/// Lets a process run for a while and stand still for a while, again and again.
void SoakRun::holdUp(SoakProcess& process, base::Duration longest, base::TimePoint until) {
  if (dispatcher_.now() >= until) {
    return;
  }
  after(hostsRandom_.between(base::Duration::zero(), kLongestRun),
        [this, &process, longest, until] {
          process.child->signal(SIGSTOP);
          after(hostsRandom_.between(kShortestHoldUp, longest), [this, &process, longest, until] {
            process.child->signal(SIGCONT);
            holdUp(process, longest, until);
          });
        });
}

void SoakRun::watchReadiness() {
  for (std::size_t gateway = 0; gateway < options_.gateways; ++gateway) {
    askReadiness(gateway);
  }
}

void SoakRun::askReadiness(std::size_t gateway) {
  constexpr int kOk = 200;
  net::HttpRequest request;
  request.method = "GET";
  request.target = std::string(platform::kReadyPath);
  const base::Endpoint endpoint = SoakCell::readinessOf(cell_->gateway(gateway));
  operator_.call(endpoint.address + "-ready", endpoint, request, milliseconds(500),
                 [this, gateway, watched = returns_](const net::CallOutcome& outcome) {
                   if (watched != returns_) {
                     return;
                   }
                   if (outcome.response && outcome.response.value().head.status == kOk) {
                     readyAt_.emplace(gateway, dispatcher_.now());
                   } else {
                     after(kReadinessInterval, [this, gateway, watched] {
                       if (watched == returns_) {
                         askReadiness(gateway);
                       }
                     });
                   }
                 });
}

void SoakRun::checkReadiness() {
  base::Duration last{0};
  for (std::size_t gateway = 0; gateway < options_.gateways; ++gateway) {
    const auto ready = readyAt_.find(gateway);
    if (ready == readyAt_.end() || ready->second > returnedAt_ + kRecovery) {
      account_.violation(
          "READY", dispatcher_.now(),
          cell_->gateway(gateway).name +
              (ready == readyAt_.end()
                   ? " was never ready"
                   : " was ready after ms " + millisText(ready->second - returnedAt_)));
    } else {
      last = std::max(last, ready->second - returnedAt_);
    }
  }
  note("gateways that are ready: " + std::to_string(readyAt_.size()) +
       ", the last in time after ms " + millisText(last));
}

}  // namespace walnut::rehearsal
