#include "simulator/oracle.h"

#include <algorithm>
#include <utility>

namespace walnut::simulator {

const char* pointName(Point point) {
  switch (point) {
    case Point::replicasAsDecided:
      return "replicas-as-decided";
    case Point::memoryNeverOvercommitted:
      return "memory-never-overcommitted";
    case Point::endedInTime:
      return "ended-in-time";
    case Point::wholeAnswer:
      return "whole-answer";
    case Point::notRunIsTrue:
      return "not-run-is-true";
    case Point::atMostOnce:
      return "at-most-once";
    case Point::leavingGetsNoWork:
      return "leaving-gets-no-work";
    case Point::plannedStopCutsNothing:
      return "planned-stop-cuts-nothing";
    case Point::configurationInForce:
      return "configuration-in-force";
    case Point::liveness:
      return "liveness";
    case Point::consensus:
      return "consensus";
  }
  return "unknown";
}

void ViolationLog::add(base::TimePoint at, Point point, std::string what) {
  const bool known =
      std::any_of(violations_.begin(), violations_.end(), [&](const PointViolation& violation) {
        return violation.point == point && violation.what == what;
      });
  if (!known && violations_.size() < kKept) {
    violations_.push_back(PointViolation{at, point, std::move(what)});
  }
}

Oracle::Oracle(const OracleBounds& bounds) {
  checkers_.push_back(makeReplicaChecker(log_, bounds));
  checkers_.push_back(makeMemoryChecker(log_));
  checkers_.push_back(makeEndingChecker(log_, bounds));
  checkers_.push_back(makeAnswerChecker(log_, bounds));
  checkers_.push_back(makeExecutionChecker(log_));
  checkers_.push_back(makeLeavingChecker(log_, bounds));
  checkers_.push_back(makePlannedStopChecker(log_, bounds));
  checkers_.push_back(makeServedNamesChecker(log_, bounds));
  checkers_.push_back(makeConfigurationChecker(log_));
}

void Oracle::observe(base::TimePoint at, const HistoryEvent& event) {
  for (const auto& checker : checkers_) {
    checker->observe(at, event);
  }
}

void Oracle::finish(base::TimePoint at) {
  for (const auto& checker : checkers_) {
    checker->finish(at);
  }
}

}  // namespace walnut::simulator
