#include "simulator/version_account.h"

#include <sstream>

namespace walnut::simulator {

bool VersionAccount::takesUpTooFew() const {
  constexpr double kLeastRatio = 0.5;
  return takeUps_.sent >= kLeastTakeUps && takeUps_.share() < kLeastRatio * news_.share();
}

std::string VersionAccount::description() const {
  std::ostringstream text;
  text << "mixed=" << mixed_.size() << " taken-up=" << takeUps_.begun << "/" << takeUps_.sent
       << " new=" << news_.begun << "/" << news_.sent;
  return text.str();
}

}  // namespace walnut::simulator
