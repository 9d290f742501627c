#include "simulator/fault_injector.h"

#include <algorithm>
#include <utility>

namespace walnut::simulator {

namespace {

/// While a fault lasts the oracle is told of it this often.
constexpr base::Duration kTellInterval = std::chrono::seconds(5);
/// The cell is back at work this long after the end of a fault that touched it: silent connections
/// are closed after 10 s, and an election takes up to 3 s.
constexpr base::Duration kControlRecovery = std::chrono::seconds(15);
constexpr base::Duration kGapMin = std::chrono::seconds(3);
constexpr base::Duration kGapMax = std::chrono::seconds(40);
/// More than the cell keeps for watchers (Fleet's kWatchKeepChanges).
constexpr std::size_t kManyChanges = 250;
constexpr base::Duration kManyChangesLimit = std::chrono::seconds(40);
/// Share of the kinds that a run has, each by its own chance.
constexpr double kKindShareMin = 0.15;

struct NamedKind {
  FaultKind kind;
  const char* name;
};

constexpr NamedKind kNames[] = {
    {FaultKind::killController, "kill-controller"},
    {FaultKind::freezeController, "freeze-controller"},
    {FaultKind::freezeControllerLong, "freeze-controller-minutes"},
    {FaultKind::loseDisk, "lose-disk"},
    {FaultKind::killAllControllers, "kill-all-controllers"},
    {FaultKind::stopController, "stop-controller"},
    {FaultKind::slowDisk, "slow-disk"},
    {FaultKind::killRouter, "kill-router"},
    {FaultKind::freezeRouter, "freeze-router"},
    {FaultKind::stopRouter, "stop-router"},
    {FaultKind::restartRouterLate, "restart-router-after-hundreds-of-changes"},
    {FaultKind::killEngine, "kill-engine"},
    {FaultKind::killLoadingEngine, "kill-loading-engine"},
    {FaultKind::freezeEngine, "freeze-engine"},
    {FaultKind::reclaimMachine, "reclaim-machine"},
    {FaultKind::reclaimMachineBriefly, "reclaim-machine-briefly"},
    {FaultKind::engineLeaves, "engine-leaves"},
    {FaultKind::drainEngine, "drain-engine"},
    {FaultKind::cutPair, "cut-pair"},
    {FaultKind::cutPairOneWay, "cut-pair-one-way"},
    {FaultKind::cutHost, "cut-host"},
    {FaultKind::cutHostOneWay, "cut-host-one-way"},
    {FaultKind::cutZone, "cut-zone"},
    {FaultKind::congestion, "congestion"},
    {FaultKind::reorderPeers, "reorder-and-duplicate"},
    {FaultKind::resetPeer, "reset-peer"},
    {FaultKind::resetExchange, "reset-exchange"},
    {FaultKind::slowStore, "slow-store"},
    {FaultKind::failingStore, "failing-store"},
    {FaultKind::stallPlatformList, "stall-platform-list"},
    {FaultKind::unreliableCalls, "unreliable-calls"},
    {FaultKind::loseOperatorAnswers, "lose-operator-answers"},
};

}  // namespace

const char* faultName(FaultKind kind) {
  for (const NamedKind& named : kNames) {
    if (named.kind == kind) {
      return named.name;
    }
  }
  return "unknown";
}

std::optional<FaultKind> findFault(const std::string& name) {
  for (const NamedKind& named : kNames) {
    if (name == named.name) {
      return named.kind;
    }
  }
  return std::nullopt;
}

const std::vector<FaultKind>& allFaultKinds() {
  static const std::vector<FaultKind> kAll = [] {
    std::vector<FaultKind> all;
    for (const NamedKind& named : kNames) {
      if (named.kind != FaultKind::reclaimMachineBriefly) {
        all.push_back(named.kind);
      }
    }
    return all;
  }();
  return kAll;
}

FaultInjector::FaultInjector(Environment& environment, Fleet& fleet, OperatorWorkload& operators)
    : environment_(environment), fleet_(fleet), operators_(operators) {}

void FaultInjector::run(base::TimePoint end) {
  base::Random& random = environment_.random();
  const double share = kKindShareMin + (1.0 - kKindShareMin) * random.unit() * random.unit();
  std::vector<FaultKind> kinds;
  for (const FaultKind kind : allFaultKinds()) {
    if (random.chance(share)) {
      kinds.push_back(kind);
    }
  }
  if (kinds.empty()) {
    kinds.push_back(allFaultKinds()[random.uniform(0, allFaultKinds().size() - 1)]);
  }
  const base::Duration gap = draw(kGapMin, kGapMax);
  run(end, std::move(kinds), gap);
}

void FaultInjector::run(base::TimePoint end, std::vector<FaultKind> kinds, base::Duration meanGap) {
  end_ = end;
  kinds_ = std::move(kinds);
  meanGap_ = meanGap;
  scheduleNext();
}

void FaultInjector::scheduleNext() {
  environment_.scheduler.after(draw(base::Duration{0}, 2 * meanGap_), [this] {
    if (stopped_ || environment_.scheduler.now() >= end_) {
      return;
    }
    inject(kinds_[environment_.random().uniform(0, kinds_.size() - 1)]);
    scheduleNext();
  });
}

bool FaultInjector::inject(FaultKind kind) {
  environment_.note("FAULT", faultName(kind));
  const bool injected = injectController(kind) || injectRouter(kind) || injectEngine(kind) ||
                        injectNetwork(kind) || injectEdge(kind);
  if (injected) {
    ++environment_.counters.faults[faultName(kind)];
  }
  return injected;
}

void FaultInjector::during(base::Duration duration, Severity severity, std::function<void()> end) {
  const std::uint64_t fault = nextFault_++;
  if (severity == Severity::unplannedControl) {
    environment_.observe(ControlDisturbed{});
  }
  active_[fault] = [this, fault, severity, end = std::move(end)] {
    end();
    if (severity != Severity::planned) {
      unplanned_.erase(fault);
      environment_.observe(UnplannedFault{"end"});
    }
    if (severity == Severity::unplannedControl) {
      environment_.scheduler.after(kControlRecovery,
                                   [this] { environment_.observe(ControlRestored{}); });
    }
  };
  if (severity != Severity::planned) {
    unplanned_.insert(fault);
    tellUnplanned(fault);
  }
  environment_.scheduler.after(duration, [this, fault] {
    const auto found = active_.find(fault);
    if (found != active_.end()) {
      const auto finish = std::move(found->second);
      active_.erase(found);
      finish();
    }
  });
}

void FaultInjector::tellUnplanned(std::uint64_t fault) {
  if (!unplanned_.contains(fault)) {
    return;
  }
  environment_.observe(UnplannedFault{"under way"});
  environment_.scheduler.after(kTellInterval, [this, fault] { tellUnplanned(fault); });
}

void FaultInjector::stop() {
  stopped_ = true;
  environment_.note("FAULT", "all faults end");
  while (!active_.empty()) {
    const auto finish = std::move(active_.begin()->second);
    active_.erase(active_.begin());
    finish();
  }
  environment_.network.healAll();
  for (const auto& controller : fleet_.controllers) {
    controller->disarmCrash();
  }
}

std::size_t FaultInjector::runningControllers() const {
  return static_cast<std::size_t>(
      std::count_if(fleet_.controllers.begin(), fleet_.controllers.end(),
                    [](const auto& controller) { return controller->running(); }));
}

void FaultInjector::restartLater(Process* process, base::Duration duration, Severity severity) {
  during(duration, severity, [process] { process->start(); });
}

void FaultInjector::freeze(Process* process, base::Duration duration, Severity severity,
                           bool isRouter) {
  environment_.note(process->name(), "is frozen");
  process->freeze();
  if (isRouter) {
    environment_.observe(RouterFrozen{process->name()});
  }
  during(duration, severity, [this, process, isRouter] {
    environment_.note(process->name(), "is thawed");
    if (isRouter) {
      environment_.observe(RouterThawed{process->name()});
    }
    process->thaw();
  });
}

bool FaultInjector::injectRouter(FaultKind kind) {
  RouterNode* router = anyRunning(fleet_.routers);
  if (router == nullptr) {
    return false;
  }
  if (kind == FaultKind::stopRouter) {
    return stopRouter();
  }
  if (kind == FaultKind::restartRouterLate) {
    return restartRouterLate();
  }
  if (kind == FaultKind::killRouter) {
    environment_.note(router->name(), "is killed");
    router->kill();
    restartLater(router, draw(std::chrono::milliseconds(100), std::chrono::seconds(15)),
                 Severity::unplanned);
    return true;
  }
  if (kind == FaultKind::freezeRouter) {
    const base::Duration most = environment_.random().chance(0.2)
                                    ? base::Duration(std::chrono::seconds(100))
                                    : base::Duration(std::chrono::seconds(12));
    freeze(router, draw(std::chrono::milliseconds(200), most), Severity::unplanned, true);
    return true;
  }
  return false;
}

bool FaultInjector::restartRouterLate() {
  RouterNode* router = anyRunning(fleet_.routers);
  environment_.note(router->name(), "is killed until hundreds of changes have happened");
  router->kill();
  const auto begun = std::make_shared<bool>(false);
  const auto startOnce = [router, begun] {
    if (!std::exchange(*begun, true)) {
      router->start();
    }
  };
  operators_.changeMany(kManyChanges, [this, startOnce, begun] {
    environment_.counters.faults["changes-before-restart"] += *begun ? 0 : kManyChanges;
    startOnce();
  });
  during(kManyChangesLimit, Severity::unplanned, startOnce);
  return true;
}

bool FaultInjector::stopRouter() {
  RouterNode* router = anyRunning(fleet_.routers);
  if (router == nullptr || router->stopping()) {
    return false;
  }
  environment_.observe(PlannedStopBegun{router->name()});
  router->requestPlannedStop();
  // A supervisor starts it again; it finishes its requests first, so this may take long.
  const auto restart = std::make_shared<std::function<void()>>();
  *restart = [this, router, restart] {
    if (!router->alive()) {
      router->start();
      *restart = nullptr;
      return;
    }
    if (router->stopping()) {
      environment_.scheduler.after(std::chrono::seconds(1), *restart);
    } else {
      *restart = nullptr;
    }
  };
  environment_.scheduler.after(std::chrono::seconds(1), *restart);
  return true;
}

bool FaultInjector::injectEdge(FaultKind kind) {
  EdgeFaults& faults = environment_.faults;
  base::Random& random = environment_.random();
  switch (kind) {
    case FaultKind::slowDisk:
      faults.diskSlow = random.unit();
      during(draw(std::chrono::seconds(2), std::chrono::seconds(30)), Severity::unplannedControl,
             [&faults] { faults.diskSlow = 0; });
      return true;
    case FaultKind::reorderPeers:
      faults.raftDuplicate = 0.3 * random.unit();
      faults.raftReorder = 0.5 * random.unit();
      during(draw(std::chrono::seconds(5), std::chrono::seconds(40)), Severity::unplannedControl,
             [&faults] { faults.raftDuplicate = faults.raftReorder = 0; });
      return true;
    case FaultKind::slowStore:
      fleet_.store->setSlowdown(static_cast<double>(random.uniform(2, 20)));
      during(draw(std::chrono::seconds(5), std::chrono::seconds(60)), Severity::unplanned,
             [this] { fleet_.store->setSlowdown(1); });
      return true;
    case FaultKind::failingStore:
      fleet_.store->setFailing(true);
      during(draw(std::chrono::seconds(2), std::chrono::seconds(30)), Severity::unplanned,
             [this] { fleet_.store->setFailing(false); });
      return true;
    case FaultKind::stallPlatformList:
      fleet_.platform->setStalled(true);
      during(draw(std::chrono::seconds(2), std::chrono::seconds(20)), Severity::unplanned,
             [this] { fleet_.platform->setStalled(false); });
      return true;
    case FaultKind::unreliableCalls: {
      const ExchangeFaults bad{0.1 * random.unit(), 0.1 * random.unit(), 0.1 * random.unit(),
                               0.2 * random.unit()};
      faults.engineCalls = faults.generates = faults.storeReads = faults.platformReads = bad;
      during(draw(std::chrono::seconds(5), std::chrono::seconds(60)), Severity::unplannedControl,
             [&faults] {
               faults.engineCalls = faults.generates = faults.storeReads = faults.platformReads =
                   ExchangeFaults{};
             });
      return true;
    }
    case FaultKind::loseOperatorAnswers:
      faults.operatorCalls =
          ExchangeFaults{0.1 * random.unit(), 0.3 * random.unit(), 0.6 * random.unit(),
                         0.3 * random.unit(), std::chrono::seconds(10)};
      during(draw(std::chrono::seconds(5), std::chrono::seconds(60)), Severity::planned,
             [&faults] { faults.operatorCalls = ExchangeFaults{}; });
      return true;
    default:
      return false;
  }
}

}  // namespace walnut::simulator
