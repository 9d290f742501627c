/// @file
/// Faults of controllers: kills at any point of a batch, freezes, lost disks and their repair.

#include <algorithm>
#include <utility>

#include "simulator/fault_injector.h"

namespace walnut::simulator {

namespace {
/// Chance that another server's disk is lost right after a repair.
constexpr double kSecondLoss = 0.4;
/// ControllerOptions::plannedStopTimeout three times over.
constexpr base::Duration kPlannedStopLimit = std::chrono::seconds(15);
/// The most delicate point, drawn more often than the others.
constexpr double kCrashDuringPersist = 0.4;
/// A crash that was armed for a batch falls at once if there is none for this long.
constexpr base::Duration kArmedCrashLimit = std::chrono::seconds(1);
}  // namespace

bool FaultInjector::injectController(FaultKind kind) {
  ControllerNode* controller = anyRunning(fleet_.controllers);
  if (controller == nullptr) {
    return false;
  }
  switch (kind) {
    case FaultKind::killController:
      return killController();
    case FaultKind::freezeController:
      freeze(controller, draw(std::chrono::milliseconds(100), std::chrono::seconds(8)),
             Severity::unplannedControl, false);
      return true;
    case FaultKind::freezeControllerLong:
      freeze(controller, draw(std::chrono::seconds(30), std::chrono::seconds(180)),
             Severity::unplannedControl, false);
      return true;
    case FaultKind::loseDisk:
      return loseDisk(controller);
    case FaultKind::killAllControllers:
      return killAllControllers();
    case FaultKind::stopController:
      return stopController();
    default:
      return false;
  }
}

bool FaultInjector::killController() {
  // The leader half of the time: it has the most to lose.
  ControllerNode* controller = anyRunning(fleet_.controllers);
  ControllerNode* leader = fleet_.leader();
  if (leader != nullptr && environment_.random().chance(0.5)) {
    controller = leader;
  }
  const CrashPoint point = environment_.random().chance(kCrashDuringPersist)
                               ? CrashPoint::duringPersist
                               : static_cast<CrashPoint>(environment_.random().uniform(0, 4));
  environment_.note(controller->name(),
                    "is killed, point " + std::to_string(static_cast<int>(point)));
  const std::uint64_t life = controller->life();
  controller->crash(point);
  environment_.scheduler.after(kArmedCrashLimit, [this, controller, life] {
    if (!stopped_ && controller->life() == life) {
      controller->kill();
    }
  });
  restartLater(controller, kArmedCrashLimit + draw(base::Duration{0}, std::chrono::seconds(20)),
               Severity::unplannedControl);
  return true;
}

bool FaultInjector::killAllControllers() {
  for (const auto& controller : fleet_.controllers) {
    if (!controller->running()) {
      continue;
    }
    environment_.note(controller->name(), "is killed with all others");
    controller->kill();
    restartLater(controller.get(), draw(std::chrono::milliseconds(100), std::chrono::seconds(10)),
                 Severity::unplannedControl);
  }
  return true;
}

bool FaultInjector::stopController() {
  ControllerNode* controller = anyRunning(fleet_.controllers);
  ControllerNode* leader = fleet_.leader();
  if (leader != nullptr && environment_.random().chance(0.7)) {
    controller = leader;
  }
  environment_.observe(PlannedStopBegun{controller->name()});
  controller->requestPlannedStop();
  // The supervisor kills it if it does not stop in time, and starts it again.
  environment_.observe(ControlDisturbed{});
  const std::uint64_t life = controller->life();
  const std::uint64_t freezes = controller->freezes();
  environment_.scheduler.after(kPlannedStopLimit, [this, controller, life, freezes] {
    if (controller->life() == life && controller->alive()) {
      environment_.note(controller->name(), "did not stop as planned: killed");
      if (controller->freezes() == freezes) {
        environment_.extras.add(environment_.scheduler.now(), Point::liveness,
                                controller->name() + " did not end its planned stop");
      }
      controller->kill();
    }
    controller->start();
    environment_.scheduler.after(std::chrono::seconds(5),
                                 [this] { environment_.observe(ControlRestored{}); });
  });
  return true;
}

bool FaultInjector::loseDisk(ControllerNode* chosen) {
  // A cell of three survives one lost disk at a time, and only while the others are there.
  if (replacingServer_ || runningControllers() < fleet_.controllers.size() || stopped_) {
    return false;
  }
  replacingServer_ = true;
  const consensus::Member lost = memberOf(*chosen, consensus::MemberRole::voter);
  environment_.note(chosen->name(), "loses its disk");
  chosen->kill();
  chosen->loseDisk(base::ServerId{environment_.random().uniform(1, UINT64_MAX)});
  const consensus::Member fresh = memberOf(*chosen, consensus::MemberRole::learner);
  during(draw(std::chrono::seconds(1), std::chrono::seconds(5)), Severity::unplannedControl,
         [this, chosen, lost, fresh] {
           chosen->start();
           operators_.replaceServer(lost, fresh, [this, chosen] { diskReplaced(chosen); });
         });
  return true;
}

void FaultInjector::diskReplaced(const ControllerNode* replaced) {
  replacingServer_ = false;
  environment_.note(replaced->name(), "is a voter under its new identity");
  ++environment_.counters.faults["disk-replaced"];
  if (!environment_.random().chance(kSecondLoss)) {
    return;
  }
  for (const auto& controller : fleet_.controllers) {
    if (controller.get() != replaced && controller->running()) {
      if (loseDisk(controller.get())) {
        ++environment_.counters.faults["second-loss-after-repair"];
      }
      return;
    }
  }
}

}  // namespace walnut::simulator
