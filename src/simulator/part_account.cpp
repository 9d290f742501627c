#include "simulator/part_account.h"

#include <sstream>

namespace walnut::simulator {

void PartAccount::crashed(base::TimePoint now) {
  if (++crashes_ <= kCrashesAllowed) {
    lastOfAllowedAt_ = now;
  }
  if (crashes_ == 1) {
    firstCrashAt_ = now;
  }
}

void PartAccount::arrived(base::TimePoint sentAt, bool inTouch) {
  ++sends_;
  const bool late = crashes_ >= kCrashesAllowed && sentAt > lastOfAllowedAt_ + contact_;
  lateSends_ += late && inTouch ? 1 : 0;
}

bool PartAccount::soundHadToBegin(base::TimePoint at) const {
  return crashes_ > 0 && at > lastOfAllowedAt_ + 2 * contact_;
}

bool PartAccount::keepsSoundOnesOut() const {
  constexpr double kLeastRatio = 0.5;
  return before_.sent >= kLeastCompared && beside_.sent >= kLeastCompared &&
         beside_.share() < kLeastRatio * before_.share();
}

std::string PartAccount::description() const {
  std::ostringstream text;
  text << "sends=" << sends_ << " crashes=" << crashes_ << " late-sends=" << lateSends_
       << " sound-before=" << before_.begun << "/" << before_.sent
       << " sound-beside=" << beside_.begun << "/" << beside_.sent;
  return text.str();
}

}  // namespace walnut::simulator
