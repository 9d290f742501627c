#pragma once
/// @file
/// Times of a planned stop.

#include "walnut/base/time.h"

namespace walnut::gateway {

/// What happens when from the signal to the end of the grace, at which the process is killed.
struct StopSchedule {
  StopSchedule() = default;
  StopSchedule(base::TimePoint signalledAt, base::Duration grace)
      : acceptsUntil(signalledAt + kAcceptTime),
        cancelsAt(signalledAt + grace - grace / kAnswerShare),
        refusesFrom(cancelsAt - grace / kRefusalShare),
        endsBy(signalledAt + grace - grace / kExitShare) {}

  base::TimePoint acceptsUntil;  ///< New connections have stopped coming.
  base::TimePoint cancelsAt;     ///< Requests that still run are cancelled and answered.
  base::TimePoint refusesFrom;   ///< No request is passed on any more.
  base::TimePoint endsBy;        ///< The process ends, even if callers have not read all answers.

 private:
  /// Two readiness calls, a second apart, and some more.
  static constexpr base::Duration kAcceptTime = std::chrono::milliseconds(2600);
  /// @name Parts (1/n) of the grace
  /// @{
  /// For the last answers to leave: a process that shares its processor may stand still for most
  /// of a second.
  static constexpr int kAnswerShare = 8;
  static constexpr int kRefusalShare = 6;
  static constexpr int kExitShare = 40;
  /// @}
};

}  // namespace walnut::gateway
