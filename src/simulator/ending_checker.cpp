/// @file
/// Point 3: every request ends once, by its deadline and a bound, or its caller saw the connection
/// break because of a fault.

#include <map>
#include <optional>

#include "simulator/oracle.h"

namespace walnut::simulator {

namespace {

struct OpenRequest {
  std::string router;
  base::TimePoint deadline;
  base::Duration frozenBefore{0};  ///< Of its router, when it was issued.
  bool ended = false;
};

/// How long a router has been frozen in all. A frozen process can answer nobody.
struct FrozenTime {
  base::Duration total{0};
  std::optional<base::TimePoint> since;

  base::Duration until(base::TimePoint at) const { return since ? total + (at - *since) : total; }
};

class EndingChecker : public Checker {
 public:
  EndingChecker(ViolationLog& log, const OracleBounds& bounds) : log_(log), bounds_(bounds) {}

  void observe(base::TimePoint at, const HistoryEvent& event) override {
    if (const auto* issued = std::get_if<RequestIssued>(&event)) {
      requests_[issued->request] =
          OpenRequest{issued->router, issued->deadline, frozen_[issued->router].until(at), false};
    } else if (const auto* answered = std::get_if<AnswerEnded>(&event)) {
      end(at, answered->request, true);
    } else if (const auto* refused = std::get_if<RequestRefused>(&event)) {
      end(at, refused->request, true);
    } else if (const auto* broke = std::get_if<ConnectionBroke>(&event)) {
      end(at, broke->request, false);
    } else if (const auto* left = std::get_if<CallerLeft>(&event)) {
      requests_.erase(left->request);
    } else if (const auto* froze = std::get_if<RouterFrozen>(&event)) {
      frozen_[froze->router].since = at;
    } else if (const auto* thawed = std::get_if<RouterThawed>(&event)) {
      FrozenTime& frozen = frozen_[thawed->router];
      frozen.total = frozen.until(at);
      frozen.since.reset();
    }
  }

  void finish(base::TimePoint at) override {
    for (const auto& [id, request] : requests_) {
      if (!request.ended && latest(at, request) < at) {
        log_.add(at, Point::endedInTime, "request " + id.value + " never ended");
      }
    }
  }

 private:
  base::TimePoint latest(base::TimePoint at, const OpenRequest& request) const {
    const auto frozen = frozen_.find(request.router);
    const base::Duration stood = frozen == frozen_.end()
                                     ? base::Duration{0}
                                     : frozen->second.until(at) - request.frozenBefore;
    return request.deadline + bounds_.answerAfterDeadline + stood;
  }

  void end(base::TimePoint at, const base::RequestId& id, bool terminalAnswer) {
    const auto found = requests_.find(id);
    if (found == requests_.end()) {
      return;
    }
    OpenRequest& request = found->second;
    if (request.ended) {
      if (terminalAnswer) {
        log_.add(at, Point::endedInTime, "request " + id.value + " ended twice");
      }
      return;
    }
    request.ended = true;
    if (latest(at, request) < at) {
      log_.add(at, Point::endedInTime, "request " + id.value + " ended late");
    }
  }

  ViolationLog& log_;
  OracleBounds bounds_;
  std::map<base::RequestId, OpenRequest> requests_;
  std::map<std::string, FrozenTime> frozen_;
};

}  // namespace

std::unique_ptr<Checker> makeEndingChecker(ViolationLog& log, const OracleBounds& bounds) {
  return std::make_unique<EndingChecker>(log, bounds);
}

}  // namespace walnut::simulator
