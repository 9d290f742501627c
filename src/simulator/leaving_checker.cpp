/// @file
/// Point 7: a leaving back end gets no new work later than a bound after the earliest sign that it
/// leaves could be seen.

#include <map>
#include <optional>
#include <string>

#include "simulator/oracle.h"

namespace walnut::simulator {

namespace {

/// Signs that an engine leaves, each with the time since when it could be seen. The platform list
/// and the engine's word reach routers through the cell, so their clock stands still while the cell
/// is disturbed by faults; an acknowledged drain is held to the bound in any case.
struct LeavingSigns {
  std::optional<base::TimePoint> drainedAt;
  std::optional<base::Duration> visibleAtUndisturbed;
};

class LeavingChecker : public Checker {
 public:
  LeavingChecker(ViolationLog& log, const OracleBounds& bounds) : log_(log), bounds_(bounds) {}

  void observe(base::TimePoint at, const HistoryEvent& event) override {
    advance(at);
    if (const auto* visible = std::get_if<LeavingVisible>(&event)) {
      noteVisible(at, *visible);
    } else if (const auto* over = std::get_if<LeavingEnded>(&event)) {
      noteOver(*over);
    } else if (std::holds_alternative<ControlDisturbed>(event)) {
      ++disturbances_;
    } else if (std::holds_alternative<ControlRestored>(event)) {
      --disturbances_;
    } else if (const auto* work = std::get_if<WorkSent>(&event)) {
      noteWork(at, *work);
    }
  }

 private:
  /// Advances the clock that runs only while the cell is undisturbed.
  void advance(base::TimePoint at) {
    if (disturbances_ == 0) {
      undisturbed_ += at - last_;
    }
    last_ = at;
  }

  void noteVisible(base::TimePoint at, const LeavingVisible& visible) {
    LeavingSigns& signs = signs_[visible.engine];
    if (visible.source == LeavingSource::drain) {
      signs.drainedAt = signs.drainedAt.value_or(at);
    } else {
      signs.visibleAtUndisturbed = signs.visibleAtUndisturbed.value_or(undisturbed_);
    }
  }

  void noteOver(const LeavingEnded& over) {
    LeavingSigns& signs = signs_[over.engine];
    if (over.source == LeavingSource::drain) {
      signs.drainedAt.reset();
    } else {
      signs.visibleAtUndisturbed.reset();
    }
  }

  void noteWork(base::TimePoint at, const WorkSent& work) {
    const auto found = signs_.find(work.engine);
    if (found == signs_.end()) {
      return;
    }
    const LeavingSigns& signs = found->second;
    const bool afterDrain = signs.drainedAt && *signs.drainedAt + bounds_.leavingToNoNewWork < at;
    const bool afterSign = signs.visibleAtUndisturbed &&
                           *signs.visibleAtUndisturbed + bounds_.leavingToNoNewWork < undisturbed_;
    if (afterDrain || afterSign) {
      log_.add(at, Point::leavingGetsNoWork,
               work.engine + " was leaving and got request " + work.request.value +
                   (afterDrain ? " after its drain" : ""));
    }
  }

  ViolationLog& log_;
  OracleBounds bounds_;
  std::map<std::string, LeavingSigns> signs_;
  int disturbances_ = 0;
  base::TimePoint last_;
  base::Duration undisturbed_{0};
};

}  // namespace

std::unique_ptr<Checker> makeLeavingChecker(ViolationLog& log, const OracleBounds& bounds) {
  return std::make_unique<LeavingChecker>(log, bounds);
}

}  // namespace walnut::simulator
