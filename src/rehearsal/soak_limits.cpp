/// @file
/// The part of a soak that concerns the limits of machines: memory, answers without end, planned
/// stops beside processor quotas, losses of power.

#include <algorithm>
#include <csignal>

#include "rehearsal/soak_run.h"

namespace walnut::rehearsal {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr base::Duration kMemoryCheckInterval = milliseconds(20);
/// Until a process that was killed for its memory is started again.
constexpr base::Duration kStartedAgainAfter = milliseconds(300);
constexpr std::size_t kStoppedGateways = 2;
constexpr std::size_t kStopCallers = 24;  ///< Of each of them.
constexpr base::Duration kBeforeStop = seconds(2);
constexpr base::Duration kSlowestWork = seconds(3);
constexpr double kLeastStopQuota = 0.25;
constexpr double kMaxStopQuota = 1;
/// For the last answers to be read.
constexpr base::Duration kAfterStop = milliseconds(500);
constexpr std::size_t kBurst = 150;  ///< Requests at one gateway at once.

}  // namespace

/// Kills processes that take more memory than their machines have, as an operating system does.
void SoakRun::watchMemory() {
  if (dispatcher_.now() < memoryCheckedAt_ + kMemoryCheckInterval) {
    return;
  }
  memoryCheckedAt_ = dispatcher_.now();
  for (SoakProcess& process : cell_->processes()) {
    const std::size_t residentMb = cell_->residentMb(process);
    std::size_t& peak = process.isServer ? peakServerMb_ : peakGatewayMb_;
    peak = std::max(peak, residentMb);
    if (residentMb > kProcessMemoryMb) {
      account_.violation("MEMORY", dispatcher_.now(),
                         process.name + " took " + std::to_string(residentMb) + " of " +
                             std::to_string(kProcessMemoryMb) + " MB and was killed");
      cell_->kill(process);
      process.lostUntil = base::kNever;
      after(kStartedAgainAfter, [this, &process] { start(process); });
    }
  }
}

/// Some workers send answers without end for a while, and many clients come at once.
void SoakRun::floodAnswers() {
  const base::Duration lasts = limitsRandom_.between(seconds(2), seconds(5));
  flood(limitsRandom_.uniform(1, workers_.size()), lasts);
  for (std::size_t burst = 0; burst < kStoppedGateways; ++burst) {
    clients_->burst(limitsRandom_.uniform(0, options_.gateways - 1), kBurst);
  }
}

/// Those that follow a drawn one send answers without end.
void SoakRun::flood(std::size_t count, base::Duration lasts) {
  note("  answers without end: " + std::to_string(count) + " workers");
  const std::size_t first = limitsRandom_.uniform(0, workers_.size() - 1);
  for (std::size_t index = first; index < first + count; ++index) {
    SoakWorker& worker = *workers_[index % workers_.size()];
    worker.setFlooding(true);
    after(lasts, [&worker] { worker.setFlooding(false); });
  }
}

/// Stops gateways in calm, each with a processor quota of its own, while some requests take
/// seconds. Callers go on over open connections until the process is gone.
void SoakRun::runPlannedStops() {
  note("planned stops");
  for (const auto& worker : workers_) {
    worker->setSlowest(kSlowestWork);
  }
  const std::size_t first = limitsRandom_.uniform(0, options_.gateways - 1);
  std::vector<PlannedStop> stops(std::min(kStoppedGateways, options_.gateways));
  for (std::size_t index = 0; index < stops.size(); ++index) {
    PlannedStop& stop = stops[index];
    stop.process = &cell_->gateway((first + index) % options_.gateways);
    stop.callers = std::make_unique<SoakStopCallers>(dispatcher_, stop.process->endpoint,
                                                     "stop " + std::to_string(index), kStopCallers,
                                                     limitsRandom_.uniform(0, 1U << 30U), account_);
    stop.callers->start();
    const double share = kLeastStopQuota + limitsRandom_.unit() * (kMaxStopQuota - kLeastStopQuota);
    note("  " + stop.process->name + ", share of the processor " + std::to_string(share));
    disturb(*stop.process, kBeforeStop + 2 * kGrace);
    limitProcessor(*stop.process, share, dispatcher_.now() + kBeforeStop + kGrace);
    stop.signalledAt = dispatcher_.now() + limitsRandom_.between(kBeforeStop, 2 * kBeforeStop);
  }
  while (std::any_of(stops.begin(), stops.end(), [](const auto& stop) { return !stop.isOver; })) {
    runFor(milliseconds(10));
    for (PlannedStop& stop : stops) {
      advanceStop(stop);
    }
  }
  for (const auto& worker : workers_) {
    worker->setSlowest(base::Duration::zero());
  }
  runFor(kAfterStop);
  for (const PlannedStop& stop : stops) {
    stop.callers->check(stop.signalledAt);
    start(*stop.process);
  }
  runFor(kAfterStop);
}

void SoakRun::advanceStop(PlannedStop& stop) {
  const base::TimePoint now = dispatcher_.readClock();
  if (stop.isOver || now < stop.signalledAt) {
    return;
  }
  if (!stop.process->isExpectedToEnd) {
    stop.signalledAt = now;
    stop.process->isExpectedToEnd = true;
    stop.process->lostUntil = base::kNever;
    stop.process->child->signal(SIGTERM);
    return;
  }
  const bool isGone = !stop.process->child->isRunning();
  if (!isGone && now < stop.signalledAt + kGrace) {
    return;
  }
  const auto took = std::chrono::duration_cast<milliseconds>(now - stop.signalledAt);
  note("  " + stop.process->name + (isGone ? " ended after ms " : " was killed after ms ") +
       std::to_string(took.count()));
  cell_->kill(*stop.process);
  stop.callers->stop();
  stop.isOver = true;
}

/// All servers lose what they have not synced, or each piece of it by itself; none is running.
void SoakRun::losePower() {
  const UnsyncedLoss loss = limitsRandom_.chance(0.5) ? UnsyncedLoss::all : UnsyncedLoss::drawn;
  for (std::size_t index = 0; index < cell_->serverCount(); ++index) {
    SoakProcess& server = cell_->server(index);
    const std::string lost = cell_->losePower(server, loss, limitsRandom_);
    if (!lost.empty()) {
      account_.count("power-losses");
      note("  " + server.name + " lost" + lost);
    }
  }
}

}  // namespace walnut::rehearsal
