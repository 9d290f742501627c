/// @file
/// The part of a soak that causes several faults and returns in one life of the cell, in place of
/// one final fault.

#include <algorithm>
#include <csignal>

#include "rehearsal/soak_run.h"

namespace walnut::rehearsal {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t kLostDisks = 2;
constexpr std::size_t kLeastFrozen = 3;
/// Within which all gateways are ready (bound `recoveryS`).
constexpr base::Duration kRecovery = seconds(12);
/// After a return that is too late, gateways are watched for that much longer.
constexpr base::Duration kWatchedLonger = seconds(5);
constexpr base::Duration kChangeAcknowledged = seconds(5);
constexpr base::Duration kPoll = milliseconds(50);
/// Beside which all gateways are ready within the time for recovery.
constexpr base::Duration kLongestHoldUp = milliseconds(1500);
constexpr base::Duration kLongestMeanSync = milliseconds(500);
constexpr base::Duration kSeriesHeldUp = std::chrono::hours(1);  ///< To the end of the run.

std::string millisText(base::Duration duration) {
  return std::to_string(std::chrono::duration_cast<milliseconds>(duration).count());
}

}  // namespace

/// Hosts stay as they are drawn here until the end of the run.
void SoakRun::drawHostsOfSeries() {
  const base::Duration longest = hostsRandom_.between(milliseconds(300), kLongestHoldUp);
  const base::Duration sync = hostsRandom_.between(milliseconds(50), kLongestMeanSync);
  const bool isSlow = hostsRandom_.chance(0.6);
  const bool isHeldUp = hostsRandom_.chance(0.4);
  const bool isPaused = !isHeldUp && hostsRandom_.chance(0.5);
  isSilentWhenDown_ = hostsRandom_.chance(0.5);
  note("series, syncs take ms " + millisText(isSlow ? sync : base::Duration::zero()) +
       (isHeldUp ? ", servers are held up for up to ms " + millisText(longest) : "") +
       (isPaused ? ", all processes are paused for up to ms " + millisText(longest) : "") +
       (isSilentWhenDown_ ? ", silent while down" : ""));
  for (SoakProcess& process : cell_->processes()) {
    if (process.isServer && isSlow) {
      cell_->setSyncDelay(process, sync);
    }
    if (process.isServer && isHeldUp) {
      holdUp(process, longest, dispatcher_.now() + kSeriesHeldUp);
    }
  }
  if (isPaused) {
    pauseAll(longest);
  }
}

/// Lets all processes run for a while and stand still together for a while, again and again.
void SoakRun::pauseAll(base::Duration longest) {
  after(hostsRandom_.between(milliseconds(100), seconds(1)), [this, longest] {
    signalAll(SIGSTOP);
    after(hostsRandom_.between(milliseconds(20), longest), [this, longest] {
      signalAll(SIGCONT);
      pauseAll(longest);
    });
  });
}

void SoakRun::signalAll(int signal) {
  for (SoakProcess& process : cell_->processes()) {
    if (process.child) {
      process.child->signal(signal);
    }
  }
}

void SoakRun::runSeries() {
  using Cause = void (SoakRun::*)();
  struct Kind {
    const char* name;
    Cause cause;
  };
  static constexpr Kind kKinds[] = {{"all end", &SoakRun::endAll},
                                    {"all end, disks are lost", &SoakRun::endAllLosingDisks},
                                    {"all end, disks are lost", &SoakRun::endAllLosingDisks},
                                    {"servers end", &SoakRun::endServers},
                                    {"servers freeze", &SoakRun::freezeServers},
                                    {"all freeze", &SoakRun::freezeAll},
                                    {"all end twice", &SoakRun::endAllTwice}};
  drawHostsOfSeries();
  runFor(seconds(2));
  faultAt_ = dispatcher_.readClock();
  for (std::size_t fault = 0; fault < options_.cycles; ++fault) {
    const Kind& kind = kKinds[random_.uniform(0, std::size(kKinds) - 1)];
    note(std::string("fault of the series: ") + kind.name);
    (this->*kind.cause)();
    returnedAt_ = dispatcher_.readClock();
    note("all have returned");
    checkReturn(kind.name);
    waitUntilNoServerIsLost();
  }
}

/// Waits until all gateways are ready, and the operator's next change is acknowledged.
void SoakRun::checkReturn(const std::string& fault) {
  readyAt_.clear();
  ++returns_;
  watchReadiness();
  while (readyAt_.size() < options_.gateways &&
         dispatcher_.readClock() < returnedAt_ + kRecovery + kWatchedLonger) {
    runFor(kPoll);
  }
  account_.count("returns");
  checkReadiness();
  changeDocument();
  const base::TimePoint changedAt = dispatcher_.readClock();
  while (acknowledgedVersion_ < document_.version &&
         dispatcher_.readClock() < changedAt + kChangeAcknowledged) {
    runFor(kPoll);
  }
  if (acknowledgedVersion_ < document_.version) {
    note("the change after '" + fault + "' is not acknowledged in time");
    account_.count("late-acknowledgements");
  }
}

void SoakRun::endAll() { endAndStart(true, 0); }

void SoakRun::endAllLosingDisks() { endAndStart(true, kLostDisks); }

void SoakRun::endServers() { endAndStart(false, random_.chance(0.5) ? kLostDisks : 0); }

void SoakRun::endAllTwice() {
  endAndStart(true, random_.chance(0.5) ? kLostDisks : 0);
  runFor(between(milliseconds(100), seconds(3)));
  endAndStart(true, 0);
}

void SoakRun::endAndStart(bool gatewaysToo, std::size_t lostDisks) {
  const base::Duration down = between(milliseconds(300), seconds(6));
  const base::Duration spread = between(milliseconds(50), seconds(2));
  if (isSilentWhenDown_) {
    setAllLinks(LinkFault::silent);
  }
  std::vector<SoakProcess*> ended;
  for (SoakProcess& process : cell_->processes()) {
    if (process.isServer || gatewaysToo) {
      cell_->kill(process);
      process.lostUntil = base::kNever;
      ended.push_back(&process);
    }
  }
  const std::size_t first = random_.uniform(0, cell_->serverCount() - 1);
  for (std::size_t lost = 0; lost < lostDisks; ++lost) {
    cell_->loseDisk(cell_->server((first + lost) % cell_->serverCount()));
  }
  runFor(down);
  setAllLinks(LinkFault::none);
  const auto count = static_cast<base::Duration::rep>(ended.size());
  while (!ended.empty()) {
    const auto next =
        ended.begin() + static_cast<std::ptrdiff_t>(random_.uniform(0, ended.size() - 1));
    start(**next);
    ended.erase(next);
    runFor(spread / count);
  }
}

void SoakRun::freezeServers() {
  std::vector<SoakProcess*> frozen;
  const std::size_t count = random_.uniform(kLeastFrozen, cell_->serverCount());
  for (std::size_t server = 0; server < count; ++server) {
    frozen.push_back(&cell_->server(server));
  }
  freeze(frozen);
}

void SoakRun::freezeAll() {
  std::vector<SoakProcess*> all;
  for (SoakProcess& process : cell_->processes()) {
    all.push_back(&process);
  }
  freeze(all);
}

void SoakRun::freeze(const std::vector<SoakProcess*>& processes) {
  const base::TimePoint until = dispatcher_.readClock() + between(seconds(1), seconds(7));
  while (dispatcher_.readClock() < until) {
    for (SoakProcess* const process : processes) {
      process->child->signal(SIGSTOP);  // Again: hold-ups let it go on.
    }
    runFor(milliseconds(20));
  }
  for (SoakProcess* const process : processes) {
    process->child->signal(SIGCONT);
    disturb(*process, base::Duration::zero());
  }
}

}  // namespace walnut::rehearsal
