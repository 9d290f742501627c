#pragma once
/// @file
/// The oracle: a plain model of what must always hold, fed by a history alone. It knows nothing of
/// how the product works. Each point is a checker of its own.

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "simulator/history.h"
#include "simulator/violation.h"

namespace walnut::simulator {

/// Bounds that the oracle holds the product to.
struct OracleBounds {
  /// Point 3: from the deadline to the caller's terminal answer. A router counts the deadline from
  /// the arrival of the request, so that the delays of both ways are added: 600 ms each in the
  /// worst congestion that is drawn, and 300 ms for wake-ups.
  base::Duration answerAfterDeadline = std::chrono::milliseconds(1500);
  /// Points 7 and 9: "a few seconds". A router may work with a configuration that it confirmed up
  /// to RouterOptions::freshnessLimit (3 s) ago; one second for polling the list or engine, and one
  /// for commit, distribution and clocks.
  base::Duration leavingToNoNewWork = std::chrono::seconds(5);
  base::Duration acceptedToInForce = std::chrono::seconds(5);
  /// Point 1: a load may begin this long after the limit that allowed it was lowered: an order
  /// that was decided before can be under way (ExchangeFaults::delayMax and the call's time-out).
  base::Duration orderUnderWay = std::chrono::seconds(60);
  /// Point 8: a request that fails this soon after an unplanned fault may have failed by it: idle
  /// connections are closed after 10 s, and starts time out after 10 s.
  base::Duration faultAftermath = std::chrono::seconds(30);
};

/// Collects violations; one for each (point, text).
class ViolationLog {
 public:
  void add(base::TimePoint at, Point point, std::string what);
  const std::vector<PointViolation>& violations() const { return violations_; }

 private:
  static constexpr std::size_t kKept = 50;
  std::vector<PointViolation> violations_;
};

/// One point's model. Sees every event of the history in order.
class Checker {
 public:
  virtual ~Checker() = default;
  virtual void observe(base::TimePoint at, const HistoryEvent& event) = 0;
  /// The run is over.
  virtual void finish(base::TimePoint) {}
};

class Oracle {
 public:
  explicit Oracle(const OracleBounds& bounds = {});

  void observe(base::TimePoint at, const HistoryEvent& event);
  void finish(base::TimePoint at);
  const std::vector<PointViolation>& violations() const { return log_.violations(); }

 private:
  ViolationLog log_;
  std::vector<std::unique_ptr<Checker>> checkers_;
};

/// @name The checkers, each in its own source file
/// @{
std::unique_ptr<Checker> makeReplicaChecker(ViolationLog& log, const OracleBounds& bounds);
std::unique_ptr<Checker> makeMemoryChecker(ViolationLog& log);
std::unique_ptr<Checker> makeEndingChecker(ViolationLog& log, const OracleBounds& bounds);
std::unique_ptr<Checker> makeAnswerChecker(ViolationLog& log, const OracleBounds& bounds);
std::unique_ptr<Checker> makeExecutionChecker(ViolationLog& log);
std::unique_ptr<Checker> makeLeavingChecker(ViolationLog& log, const OracleBounds& bounds);
std::unique_ptr<Checker> makePlannedStopChecker(ViolationLog& log, const OracleBounds& bounds);
std::unique_ptr<Checker> makeServedNamesChecker(ViolationLog& log, const OracleBounds& bounds);
std::unique_ptr<Checker> makeConfigurationChecker(ViolationLog& log);
/// @}

}  // namespace walnut::simulator
