#include "registry/join_progress.h"

#include <utility>

namespace walnut::registry {

std::string_view joinStepName(JoinStep step) {
  switch (step) {
    case JoinStep::requested:
      return "requested";
    case JoinStep::leaderHeard:
      return "leader-heard";
    case JoinStep::admitted:
      return "admitted";
    case JoinStep::incoming:
      return "incoming";
    case JoinStep::voter:
      return "voter";
  }
  return "unknown";
}

void JoinProgress::reached(JoinStep step) {
  const bool isNext = latest_ ? step > *latest_ : step == JoinStep::requested;
  if (isNext) {
    latest_ = step;
    steps_.push_back(step);
  }
}

std::vector<JoinStep> JoinProgress::takeSteps() { return std::exchange(steps_, {}); }

}  // namespace walnut::registry
