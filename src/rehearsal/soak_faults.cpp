/// @file
/// The faults of a soak.

#include <algorithm>
#include <csignal>

#include "rehearsal/soak_run.h"

namespace walnut::rehearsal {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t kMaxLostDisks = 2;
constexpr double kFloodShare = 0.15;  ///< Of the faults that are drawn.
constexpr base::Duration kMaxSyncDelay = milliseconds(600);
/// Up to which a replacement has to catch up in time; slower disks count as disturbed.
constexpr base::Duration kMaxUndisturbedSync = milliseconds(400);
/// Of servers whose syncs hang; they count as lost.
constexpr base::Duration kLeastHangingSync = seconds(2);
constexpr base::Duration kMaxHangingSync = seconds(4);
/// In which a process with a quota runs and then stands still.
constexpr base::Duration kQuotaPeriod = milliseconds(100);
constexpr double kLeastQuota = 0.25;
constexpr double kMaxQuota = 0.7;
/// Time of recovery and of what is judged after it.
constexpr base::Duration kObservedAfterReturn = seconds(18);

}  // namespace

void SoakRun::drawFault() {
  static constexpr NamedFault kFaults[] = {{"kill servers", &SoakRun::killServers},
                                           {"kill gateways", &SoakRun::killGateways},
                                           {"kill some", &SoakRun::killSome},
                                           {"kill all", &SoakRun::killAll},
                                           {"stop some", &SoakRun::stopSome},
                                           {"reload gateways", &SoakRun::reloadGateways},
                                           {"freeze some", &SoakRun::freezeSome},
                                           {"freeze some", &SoakRun::freezeSome},
                                           {"lose a disk", &SoakRun::loseDisk},
                                           {"replace a server", &SoakRun::replaceServer},
                                           {"slow syncs", &SoakRun::slowSyncs},
                                           {"hanging syncs", &SoakRun::hangSyncs},
                                           {"processor quotas", &SoakRun::limitProcessors},
                                           {"cut workers", &SoakRun::cutWorkers},
                                           {"cut workers", &SoakRun::cutWorkers},
                                           {"cut servers", &SoakRun::cutServers},
                                           {"restart workers", &SoakRun::restartWorkers},
                                           {"change the document", &SoakRun::changeDocument}};
  if (!drawsFaults_) {
    return;
  }
  static constexpr NamedFault kOrderFaults[] = {{"restart workers", &SoakRun::restartWorkers},
                                                {"restart workers", &SoakRun::restartWorkers},
                                                {"kill servers", &SoakRun::killServers},
                                                {"kill all", &SoakRun::killAll}};
  const std::size_t kinds = options_.ordersOnly ? std::size(kOrderFaults) : std::size(kFaults);
  const NamedFault& fault =
      (options_.ordersOnly ? kOrderFaults : kFaults)[random_.uniform(0, kinds - 1)];
  account_.count(fault.name);
  note(fault.name);
  (this->*fault.begin)();
  if (options_.limits && limitsRandom_.chance(kFloodShare)) {
    account_.count("answers without end");
    floodAnswers();
  }
  after(between(milliseconds(100), milliseconds(2500)), [this] { drawFault(); });
}

void SoakRun::kill(const std::vector<SoakProcess*>& processes, base::Duration down) {
  for (SoakProcess* const process : processes) {
    const bool isSilent = process->isServer && random_.chance(0.3);
    note("  " + process->name + (isSilent ? ", silent" : ""));
    if (isSilent) {
      silenceWhileDown(*process, down);
    }
    cell_->kill(*process);
    process->lostUntil = base::kNever;
    after(down, [this, process] { start(*process); });
  }
}

/// As a machine that loses its power: connections to it neither end nor are refused, until it is
/// back and knows none of them. One that is replaced is never back at its address.
void SoakRun::silenceWhileDown(const SoakProcess& server, base::Duration down) {
  const base::Endpoint endpoint = server.endpoint;
  LinkProxy& link = *serverLinks_.at(endpoint);
  link.setFault(LinkFault::silent);
  after(down, [&link, &server, endpoint] {
    if (server.endpoint == endpoint) {
      link.setFault(LinkFault::none);
      link.closeAll();
    }
  });
}

void SoakRun::disturb(SoakProcess& process, base::Duration duration) {
  process.lostUntil = std::max(process.lostUntil, dispatcher_.now() + duration + kCatchUp);
}

std::size_t SoakRun::lostServers() const {
  const std::vector<SoakProcess>& processes = cell_->processes();
  return static_cast<std::size_t>(
      std::count_if(processes.begin(), processes.end(), [this](const SoakProcess& process) {
        return process.isServer && process.lostUntil > dispatcher_.now();
      }));
}

SoakProcess* SoakRun::drawServerToLose() {
  const std::vector<SoakProcess*> drawn =
      draw(1, [](SoakProcess& process) { return process.isServer; });
  SoakProcess* const server = drawn.front();
  const bool isLost = server->lostUntil > dispatcher_.now();
  if (lostServers() + (isLost ? 0 : 1) > kMaxLostDisks) {
    note("  none: others are lost or catch up");
    return nullptr;
  }
  return server;
}

void SoakRun::killServers() {
  kill(draw(2, [](SoakProcess& process) { return process.isServer; }),
       between(milliseconds(50), milliseconds(1500)));
}

void SoakRun::killGateways() {
  kill(draw(2, [](SoakProcess& process) { return !process.isServer; }),
       between(milliseconds(50), milliseconds(1500)));
}

void SoakRun::killSome() {
  kill(draw(5, [](SoakProcess&) { return true; }), between(milliseconds(50), milliseconds(1500)));
}

void SoakRun::killAll() {
  std::vector<SoakProcess*> all;
  for (SoakProcess& process : cell_->processes()) {
    all.push_back(&process);
  }
  kill(all, between(milliseconds(100), seconds(2)));
  if (options_.limits && limitsRandom_.chance(0.5)) {
    losePower();
  }
}

void SoakRun::stopSome() {
  for (SoakProcess* const process : draw(2, [](SoakProcess&) { return true; })) {
    note("  " + process->name);
    process->isExpectedToEnd = true;
    process->lostUntil = base::kNever;
    if (process->child) {
      process->child->signal(SIGTERM);
    }
    restartStopped(*process);
  }
}

/// Starts it again some time after it has ended.
void SoakRun::restartStopped(SoakProcess& process) {
  constexpr base::Duration kPoll = milliseconds(100);
  after(kPoll, [this, &process] {
    if (process.child && process.child->isRunning() && process.isExpectedToEnd) {
      restartStopped(process);
    } else if (process.isExpectedToEnd) {
      after(between(milliseconds(50), seconds(1)), [this, &process] { start(process); });
    }
  });
}

void SoakRun::reloadGateways() {
  for (SoakProcess* const process : draw(3, [](SoakProcess& each) { return !each.isServer; })) {
    process->child->signal(SIGHUP);
  }
}

void SoakRun::freezeSome() {
  for (SoakProcess* const process : draw(4, [](SoakProcess&) { return true; })) {
    note("  " + process->name);
    process->child->signal(SIGSTOP);
    const base::Duration frozen = between(milliseconds(300), seconds(4));
    disturb(*process, frozen);
    after(frozen, [process] { process->child->signal(SIGCONT); });
  }
}

void SoakRun::loseDisk() {
  if (SoakProcess* const server = drawServerToLose()) {
    kill({server}, between(milliseconds(100), seconds(1)));
    cell_->loseDisk(*server);
  }
}

/// A server goes for good, and an empty one begins at a new address.
void SoakRun::replaceServer() {
  if (SoakProcess* const server = drawServerToLose()) {
    replaceAfter(*server, between(milliseconds(100), seconds(1)));
  }
}

void SoakRun::replaceAfter(SoakProcess& server, base::Duration down) {
  kill({&server}, down);
  cell_->replace(server, nextEndpoint(kControlPort));
  openLink(server);
  for (const auto& worker : workers_) {
    worker->setServers(cell_->serverEndpoints());
  }
}

void SoakRun::waitUntilNoServerIsLost() {
  while (lostServers() > 0) {
    runFor(milliseconds(50));
  }
}

/// Up to two servers are replaced at the same time, so that the final fault comes as soon as they
/// have to have caught up.
void SoakRun::replaceBeforeFinalFault() {
  const base::Duration mean = between(base::Duration::zero(), kMaxUndisturbedSync);
  const base::Duration down = between(milliseconds(50), seconds(1));
  note("replaced before the final fault, syncs take ms " +
       std::to_string(std::chrono::duration_cast<milliseconds>(mean).count()));
  for (SoakProcess& process : cell_->processes()) {
    if (process.isServer) {
      cell_->setSyncDelay(process, mean);
    }
  }
  for (SoakProcess* const server :
       draw(kMaxLostDisks, [](SoakProcess& process) { return process.isServer; })) {
    replaceAfter(*server, down);
  }
}

void SoakRun::slowSyncs() {
  const base::Duration mean = between(milliseconds(20), kMaxSyncDelay);
  const base::Duration lasts = between(seconds(1), seconds(6));
  for (SoakProcess* const server :
       draw(cell_->serverCount(), [](SoakProcess& process) { return process.isServer; })) {
    cell_->setSyncDelay(*server, mean);
    if (mean > kMaxUndisturbedSync) {
      disturb(*server, lasts);
    }
    after(lasts, [this, server] {
      if (drawsFaults_) {
        cell_->setSyncDelay(*server, base::Duration::zero());
      }
    });
  }
}

/// The syncs of one or two servers take seconds.
void SoakRun::hangSyncs() {
  const base::Duration mean = between(kLeastHangingSync, kMaxHangingSync);
  const base::Duration lasts = between(seconds(1), seconds(4));
  const std::size_t count = random_.uniform(1, kMaxLostDisks);
  for (std::size_t hanging = 0; hanging < count; ++hanging) {
    SoakProcess* const server = drawServerToLose();
    if (server == nullptr) {
      return;
    }
    note("  " + server->name);
    cell_->setSyncDelay(*server, mean);
    disturb(*server, lasts + mean * 3 / 2);
    after(lasts, [this, server] { cell_->setSyncDelay(*server, base::Duration::zero()); });
  }
}

void SoakRun::limitProcessors() {
  const double share = kLeastQuota + random_.unit() * (kMaxQuota - kLeastQuota);
  const base::Duration lasts = between(seconds(1), seconds(6));
  for (SoakProcess* const process : draw(5, [](SoakProcess&) { return true; })) {
    note("  " + process->name);
    disturb(*process, lasts);
    limitProcessor(*process, share, dispatcher_.now() + lasts);
  }
}

/// Lets a process run for its share of each period, whichever life of it that is.
void SoakRun::limitProcessor(SoakProcess& process, double share, base::TimePoint until) {
  const auto running = std::chrono::duration_cast<base::Duration>(kQuotaPeriod * share);
  if (dispatcher_.now() >= until) {
    return;
  }
  process.child->signal(SIGSTOP);
  after(kQuotaPeriod - running, [this, &process, share, until, running] {
    process.child->signal(SIGCONT);
    after(running, [this, &process, share, until] { limitProcessor(process, share, until); });
  });
}

void SoakRun::cutWorkers() {
  constexpr LinkFault kKinds[] = {LinkFault::none, LinkFault::dropRequests, LinkFault::dropAnswers,
                                  LinkFault::silent};
  const LinkFault kind = kKinds[random_.uniform(0, std::size(kKinds) - 1)];
  const base::Duration delay = between(milliseconds(1), milliseconds(300));
  const std::size_t first = random_.uniform(0, workers_.size() - 1);
  const std::size_t count = random_.uniform(1, 3);
  for (std::size_t index = first; index < std::min(first + count, workers_.size()); ++index) {
    LinkProxy& link = workers_[index]->link();
    link.setFault(kind);
    link.setDelay(kind == LinkFault::none ? delay : base::Duration::zero());
    after(between(milliseconds(500), seconds(4)), [&link] {
      link.setFault(LinkFault::none);
      link.setDelay(base::Duration::zero());
      link.closeAll();
    });
  }
}

/// What others send to a server, or what it answers them, is lost for a while. Connections that
/// lost bytes stay silent, so that nobody is told of their end, or are closed.
void SoakRun::cutServers() {
  constexpr LinkFault kKinds[] = {LinkFault::dropRequests, LinkFault::dropAnswers,
                                  LinkFault::silent};
  const LinkFault kind = kKinds[random_.uniform(0, std::size(kKinds) - 1)];
  const base::Duration lasts = between(milliseconds(300), seconds(4));
  const bool closes = random_.chance(0.5);
  for (SoakProcess* const server : draw(2, [](SoakProcess& process) { return process.isServer; })) {
    note("  " + server->name);
    disturb(*server, lasts);
    LinkProxy& link = *serverLinks_.at(server->endpoint);
    link.setFault(kind);
    after(lasts, [&link, closes] {
      link.setFault(LinkFault::none);
      if (closes) {
        link.closeAll();
      }
    });
  }
}

void SoakRun::restartWorkers() {
  const std::size_t count = random_.uniform(1, 3);
  for (std::size_t restarted = 0; restarted < count; ++restarted) {
    SoakWorker& worker = *workers_[random_.uniform(0, workers_.size() - 1)];
    worker.restart(keepsName(), drawVersion());
  }
}

std::string SoakRun::drawVersion() {
  return random_.chance(0.5) ? std::string("v1") : "v" + std::to_string(random_.uniform(2, 3));
}

void SoakRun::finalFault() {
  const std::size_t hanging = random_.chance(0.3) ? random_.uniform(1, kMaxLostDisks) : 0;
  const std::size_t lostDisks = random_.chance(0.5) ? kMaxLostDisks - hanging : 0;
  const bool slow = random_.chance(0.6);
  const bool hasQuotas = random_.chance(0.25);
  const bool isSilent = random_.chance(0.4);
  const bool losesPower = options_.limits && limitsRandom_.chance(0.5);
  const bool floods = options_.limits && limitsRandom_.chance(0.3);
  const bool restartsWorkers = options_.ordersOnly || random_.chance(0.4);
  const base::Duration mean = between(milliseconds(50), kMaxSyncDelay);
  const base::Duration down = between(milliseconds(300), seconds(3));
  note(std::string("final fault, disks lost: ") + std::to_string(lostDisks) + ", syncs hang: " +
       std::to_string(hanging) + (isSilent ? ", silent" : "") + (hasQuotas ? ", quotas" : "") +
       (losesPower ? ", power is lost" : "") + (restartsWorkers ? ", workers restart" : "") +
       (slow ? ", syncs take ms " +
                   std::to_string(std::chrono::duration_cast<milliseconds>(mean).count())
             : ""));
  faultAt_ = dispatcher_.readClock();
  setAllLinks(isSilent ? LinkFault::silent : LinkFault::none);
  for (SoakProcess& process : cell_->processes()) {
    cell_->kill(process);
    process.lostUntil = base::kNever;
    if (process.isServer) {
      cell_->setSyncDelay(process, slow ? mean : base::Duration::zero());
    }
  }
  if (losesPower) {
    losePower();
  }
  if (floods) {
    constexpr std::size_t kFloodingPart = 3;  // One of so many workers.
    flood(workers_.size() / kFloodingPart, kObservedAfterReturn);
  }
  const std::size_t first = random_.uniform(0, cell_->serverCount() - 1);
  for (std::size_t lost = 0; lost < lostDisks; ++lost) {
    cell_->loseDisk(cell_->server((first + lost) % cell_->serverCount()));
  }
  for (std::size_t index = lostDisks; index < lostDisks + hanging; ++index) {
    cell_->setSyncDelay(cell_->server((first + index) % cell_->serverCount()),
                        between(kLeastHangingSync, kMaxHangingSync));
  }
  for (const auto& worker : workers_) {
    if (restartsWorkers && random_.chance(0.7)) {
      worker->restart(keepsName(), drawVersion());
    }
  }
  runFor(down);
  setAllLinks(LinkFault::none);
  for (SoakProcess& process : cell_->processes()) {
    start(process);
    if (hasQuotas) {
      limitProcessor(process, kMaxQuota * (process.isServer ? 1 : 0.5),
                     dispatcher_.now() + kObservedAfterReturn);
    }
  }
  returnedAt_ = dispatcher_.readClock();
  note("all are started");
  if (options_.hosts) {
    beginHostFaults();
    watchReadiness();
  }
}

/// Of connections over a silent link neither end learns that the other is gone.
void SoakRun::setAllLinks(LinkFault fault) {
  for (const auto& [endpoint, link] : serverLinks_) {
    link->setFault(fault);
  }
  for (const auto& worker : workers_) {
    worker->link().setFault(fault);
  }
}

}  // namespace walnut::rehearsal
