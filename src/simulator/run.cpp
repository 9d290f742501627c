#include "simulator/run.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "simulator/caller_workload.h"
#include "simulator/fault_injector.h"
#include "simulator/fleet.h"
#include "simulator/operator_workload.h"

namespace walnut::simulator {

namespace {

constexpr base::Duration kWarmUp = std::chrono::seconds(15);
constexpr base::Duration kFaultsMin = std::chrono::seconds(120);
constexpr base::Duration kFaultsMax = std::chrono::seconds(240);
constexpr base::Duration kPollInterval = std::chrono::milliseconds(100);
/// Without requests, all loads and unloads that were decided come to their end.
constexpr base::Duration kQuiet = std::chrono::seconds(60);
constexpr std::size_t kProbedModels = 3;
/// A run in which fewer requests were answered proves nothing.
constexpr std::uint64_t kMinAnswered = 20;
constexpr base::Duration kOnlyFaultGap = std::chrono::seconds(8);
constexpr base::Duration kSabotageGap = std::chrono::seconds(15);

class Simulation {
 public:
  explicit Simulation(const RunOptions& options)
      : options_(options),
        environment_(options.seed, options.keepTrace, options.sabotage),
        fleet_(environment_, *options.deployment),
        operators_(environment_, fleet_, *options.deployment),
        callers_(environment_, fleet_, *options.deployment),
        faults_(environment_, fleet_, operators_) {}

  RunReport run() {
    const base::TimePoint start = environment_.scheduler.now();
    fleet_.startAll();
    if (setUp()) {
      work();
      if (options_.sabotage == Sabotage::none) {
        checkRecovery();
      }
    }
    environment_.oracle.finish(environment_.scheduler.now());
    return report(start);
  }

 private:
  Scheduler& scheduler() { return environment_.scheduler; }

  void advance(base::Duration duration) { scheduler().runUntil(scheduler().now() + duration); }

  void violate(std::string what) {
    environment_.note("LIVENESS", what);
    environment_.trace.markFailure();
    environment_.extras.add(scheduler().now(), Point::liveness, std::move(what));
  }

  bool setUp() {
    bool declared = false;
    scheduler().after(std::chrono::seconds(1),
                      [&] { operators_.declareAll([&declared] { declared = true; }); });
    const base::TimePoint limit = scheduler().now() + bounds_.setUp;
    while (!declared && scheduler().now() < limit) {
      advance(kPollInterval);
    }
    if (!declared) {
      violate("the deployment was not declared in time");
    }
    environment_.note("RUN", "declared");
    return declared;
  }

  void work() {
    const base::Duration length = environment_.random().between(kFaultsMin, kFaultsMax) + kWarmUp;
    const base::TimePoint end = scheduler().now() + length;
    const base::TimePoint lastDeadline = end + bounds_.recovery - std::chrono::seconds(20);
    callers_.run(end, lastDeadline);
    operators_.run(end);
    advance(kWarmUp);
    if (options_.sabotage != Sabotage::none) {
      runSabotage(end);
    } else if (options_.onlyFault) {
      faults_.run(end, {*options_.onlyFault}, kOnlyFaultGap);
    } else if (options_.faults) {
      faults_.run(end);
    }
    scheduler().runUntil(end);
    faults_.stop();
    advance(bounds_.recovery);
  }

  /// Brings about the occasion that the planted fault needs.
  void runSabotage(base::TimePoint end) {
    switch (options_.sabotage) {
      case Sabotage::edgeKeepsLeavingEngine:
        faults_.run(end, {FaultKind::drainEngine}, kSabotageGap);
        break;
      case Sabotage::routerKilledOnPlannedStop:
        faults_.run(end, {FaultKind::stopRouter}, kSabotageGap);
        break;
      case Sabotage::diskLosesSyncedWrites:
        // After the callers have gone, so that only operators can see the loss.
        scheduler().at(end + std::chrono::seconds(20), [this] { loseSyncedWrites(); });
        break;
      default:
        break;
    }
  }

  void loseSyncedWrites() {
    for (const auto& controller : fleet_.controllers) {
      controller->disk().ignoreSyncs();
    }
    for (std::size_t model = 0; model < options_.deployment->models; ++model) {
      operators_.flipModel(model);
    }
    scheduler().after(std::chrono::seconds(10), [this] {
      for (const auto& controller : fleet_.controllers) {
        controller->kill();
      }
      for (const auto& controller : fleet_.controllers) {
        controller->start();
      }
    });
    scheduler().after(std::chrono::seconds(30), [this] { operators_.listAll(); });
  }

  void checkRecovery() {
    if (fleet_.leader() == nullptr) {
      violate("the cell has no leader");
    }
    if (faults_.replacing()) {
      violate("a lost server was not replaced");
    }
    operators_.listAll();
    probeAll();
    checkDrain();
    advance(kQuiet);
    checkDecided();
    advance(kPollInterval * 20);
    if (!statusRead_) {
      violate("the cell did not tell its status");
    }
    const auto answered = environment_.counters.outcomes.find("answered");
    if (answered == environment_.counters.outcomes.end() || answered->second < kMinAnswered) {
      violate("too few requests were answered to prove anything");
    }
  }

  /// Each router serves some models, with the version that operators last saw accepted.
  void probeAll() {
    const auto failed = std::make_shared<std::vector<std::string>>();
    const auto open = std::make_shared<std::size_t>(0);
    for (std::size_t router = 0; router < fleet_.routers.size(); ++router) {
      for (std::size_t count = 0; count < kProbedModels; ++count) {
        const std::string target =
            modelName(environment_.random().uniform(0, options_.deployment->models - 1));
        ++*open;
        callers_.probe(router, target, bounds_.demandAnswered,
                       [=, name = fleet_.routers[router]->name()](CallerOutcome outcome) {
                         --*open;
                         if (outcome != CallerOutcome::answered) {
                           std::string failure = name;
                           failure.append(" did not answer for ").append(target);
                           failed->push_back(std::move(failure));
                         }
                       });
      }
    }
    const base::TimePoint limit =
        scheduler().now() + bounds_.demandAnswered + std::chrono::seconds(5);
    while (*open > 0 && scheduler().now() < limit) {
      advance(kPollInterval);
    }
    for (const std::string& what : *failed) {
      violate(what);
    }
    if (!failed->empty()) {
      noteReplicas();
    }
    if (*open > 0) {
      violate(std::to_string(*open) + " probes never ended");
    }
  }

  /// Every servable that an engine holds was decided: the cell lists a replica for it. Orders under
  /// way have arrived by now, because nothing has failed since the end of the faults.
  void checkDecided() {
    operators_.readStatus([this](const protocol::CellStatus& status) {
      statusRead_ = true;
      for (const auto& engine : fleet_.engines) {
        for (const engine::HeldServable& held : engine->held()) {
          const bool decided =
              std::any_of(status.replicas.begin(), status.replicas.end(), [&](const auto& replica) {
                return replica.engine == engine->engineId() && replica.servable == held.servable &&
                       replica.accelerator == held.accelerator;
              });
          if (!decided && held.state != engine::HeldState::failed) {
            environment_.extras.add(scheduler().now(), Point::replicasAsDecided,
                                    engine->name() + " holds " + held.servable.version + " " +
                                        held.servable.adapter + ", which the cell does not list");
          }
        }
      }
    });
  }

  /// What the cell lists, for the reader of a failed run.
  void noteReplicas() {
    operators_.readStatus([this](const protocol::CellStatus& status) {
      for (const resource::Replica& replica : status.replicas) {
        environment_.note("STATUS", "replica " + std::to_string(replica.id.value) + " of " +
                                        replica.servable.version + " " + replica.servable.adapter +
                                        " on " + replica.engine.value + ", state " +
                                        std::to_string(static_cast<int>(replica.state)));
      }
      environment_.trace.markFailure();
    });
    advance(kPollInterval * 10);
  }

  /// Right after the probes, so that an engine holds what it is to be emptied of.
  void checkDrain() {
    std::vector<EngineNode*> holding;
    for (const auto& engine : fleet_.engines) {
      if (!engine->held().empty()) {
        holding.push_back(engine.get());
      }
    }
    if (holding.empty()) {
      violate("no engine holds anything after the probes");
      return;
    }
    EngineNode& engine = *holding[environment_.random().uniform(0, holding.size() - 1)];
    operators_.drain(engine, std::chrono::hours(1));
    advance(bounds_.drained);
    if (engine.alive() && !engine.held().empty()) {
      violate(engine.name() + " is drained and still holds " +
              std::to_string(engine.held().size()) + " servables");
    }
  }

  RunReport report(base::TimePoint start) {
    RunReport report;
    report.seed = options_.seed;
    report.traceHash = environment_.trace.hash();
    report.violations = environment_.oracle.violations();
    const auto& extras = environment_.extras.violations();
    report.violations.insert(report.violations.end(), extras.begin(), extras.end());
    report.counters = environment_.counters;
    report.simulated = scheduler().now() - start;
    const auto& lines = environment_.trace.lines();
    report.timeline.assign(lines.begin(), lines.end());
    report.failureTimeline = environment_.trace.failureLines();
    return report;
  }

  RunOptions options_;
  RunBounds bounds_;
  Environment environment_;
  Fleet fleet_;
  OperatorWorkload operators_;
  CallerWorkload callers_;
  FaultInjector faults_;
  bool statusRead_ = false;
};

}  // namespace

RunReport runSimulation(const RunOptions& options) {
  const auto simulation = std::make_unique<Simulation>(options);
  return simulation->run();
}

}  // namespace walnut::simulator
