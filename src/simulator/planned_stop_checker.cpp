/// @file
/// Point 8: a planned stop cuts no request in flight. A request that fails by its connection or its
/// engine, with no unplanned fault near it, was cut by the stop; without any stop it was dropped,
/// which is point 3.

#include <map>
#include <optional>
#include <string>

#include "simulator/oracle.h"

namespace walnut::simulator {

namespace {

struct InFlight {
  base::TimePoint issuedAt;
  std::string router;
};

class PlannedStopChecker : public Checker {
 public:
  PlannedStopChecker(ViolationLog& log, const OracleBounds& bounds) : log_(log), bounds_(bounds) {}

  void observe(base::TimePoint at, const HistoryEvent& event) override {
    if (const auto* issued = std::get_if<RequestIssued>(&event)) {
      inFlight_[issued->request] = InFlight{at, issued->router};
    } else if (const auto* stop = std::get_if<PlannedStopBegun>(&event)) {
      lastStop_ = at;
      stops_[stop->process] = at;
    } else if (std::holds_alternative<UnplannedFault>(event)) {
      lastFault_ = at;
    } else if (const auto* broke = std::get_if<ConnectionBroke>(&event)) {
      noteCut(at, broke->request, "its connection broke");
    } else if (const auto* refused = std::get_if<RequestRefused>(&event)) {
      noteRefused(at, *refused);
    } else if (const auto* ended = std::get_if<AnswerEnded>(&event)) {
      inFlight_.erase(ended->request);
    } else if (const auto* left = std::get_if<CallerLeft>(&event)) {
      inFlight_.erase(left->request);
    }
  }

 private:
  /// A request that was issued this shortly before its router's stop may arrive after it.
  static constexpr base::Duration kUnderWay = std::chrono::milliseconds(100);

  void noteRefused(base::TimePoint at, const RequestRefused& refused) {
    const auto found = inFlight_.find(refused.request);
    if (found == inFlight_.end()) {
      return;
    }
    const auto stop = stops_.find(found->second.router);
    const bool accepted = stop != stops_.end() && found->second.issuedAt + kUnderWay < stop->second;
    const bool cutByEngine = refused.code == base::ErrorCode::engineFailed ||
                             refused.code == base::ErrorCode::streamBroken;
    const bool cutByRouter = refused.code == base::ErrorCode::stopping && accepted;
    if (cutByEngine || cutByRouter) {
      noteCut(at, refused.request, base::errorCodeName(refused.code));
    }
    inFlight_.erase(refused.request);
  }

  void noteCut(base::TimePoint at, const base::RequestId& request, const std::string& how) {
    const auto found = inFlight_.find(request);
    if (found == inFlight_.end()) {
      return;
    }
    const base::TimePoint from = found->second.issuedAt - bounds_.faultAftermath;
    inFlight_.erase(found);
    if (lastFault_ && *lastFault_ >= from) {
      return;
    }
    const bool byStop = lastStop_ && *lastStop_ >= from;
    log_.add(at, byStop ? Point::plannedStopCutsNothing : Point::endedInTime,
             "request " + request.value + " was cut without a fault: " + how);
  }

  ViolationLog& log_;
  OracleBounds bounds_;
  std::map<base::RequestId, InFlight> inFlight_;
  std::map<std::string, base::TimePoint> stops_;
  std::optional<base::TimePoint> lastStop_;
  std::optional<base::TimePoint> lastFault_;
};

}  // namespace

std::unique_ptr<Checker> makePlannedStopChecker(ViolationLog& log, const OracleBounds& bounds) {
  return std::make_unique<PlannedStopChecker>(log, bounds);
}

}  // namespace walnut::simulator
