#pragma once
/// @file
/// Decision log: one structured line on standard output for each decision about a request and each
/// change of the state that the process assumes. The log is bounded and never blocks: lines that
/// standard output does not accept in time are dropped and counted in the log itself.

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace walnut::runtime {

/// Events of the decision log; docs/OPERATIONS.md lists their fields.
enum class LogEvent : std::uint8_t {
  processStarted,
  processStopping,
  processStopped,
  settingsReloaded,
  dependencyLost,
  dependencyRegained,
  linesDropped,
  // Changes of the state that the process assumes.
  roleChanged,
  electionEnded,
  syncSlow,
  membershipChanged,
  memberProposed,
  joinStepTaken,
  recoveryStepTaken,
  documentStored,
  documentRefused,
  documentTaken,
  documentBehind,
  documentStuck,
  documentDelivered,
  viewRefused,
  gatewaySubscribed,
  loopHeldUp,
  workerStored,
  workerReborn,
  heartbeatRefused,
  workerForgotten,
  workerSilent,
  workerHeard,
  workerFailing,
  workerTried,
  modelUnanswered,
  modelAnswered,
  breakerOpened,
  gatewaysCounted,
  retriesRequested,
  retriesGranted,
  retriesReceived,
  bufferLimitReached,
  bufferLimitLeft,
  keysConfirmed,
  keysUnconfirmed,
  quotaExhausted,
  quotaRegained,
  quotaLeaderless,
  quotaConfirmed,
  workerLimited,
  workerLimitEnded,
  limitRefused,
  limitExhausted,
  limitRegained,
  workerSlownessChanged,
  timingRefused,
  crashConfirmed,
  crashDenied,
  crashRetracted,
  requestSuspected,
  requestReleased,
  suspectsTaken,
  partSuspected,
  partAcquitted,
  partReleased,
  suspectPartsTaken,
  streamOriginFound,
  zoneEvacuated,
  zoneReturned,
  featureLevelRaised,
  entryRefused,
  orderTurn,
  placementDecided,
  storePlaceGiven,
  orderSent,
  orderCancelled,
  orderFinished,
  modelOrderEnded,
  loadCutShort,
  reportRead,
  callUnavailable,
  callRefused,
  // Decisions about requests.
  requestRefused,
  requestWaiting,
  lateStartDecided,
  attemptStarted,
  attemptFailed,
  answerWithoutId,
  retryDecided,
  requestCut,
  requestQuarantined,
  requestResumed,
  streamTakenUp,
  requestEnded,
  requestLeft,
};

/// @return the event's name in logs.
std::string_view logEventName(LogEvent event);

/// One key=value pair of a line.
struct EventField {
  std::string_view key;
  std::string value;

  EventField(std::string_view fieldKey, std::string fieldValue)
      : key(fieldKey), value(std::move(fieldValue)) {}
  EventField(std::string_view fieldKey, std::string_view fieldValue)
      : key(fieldKey), value(fieldValue) {}
  EventField(std::string_view fieldKey, const char* fieldValue)
      : key(fieldKey), value(fieldValue) {}
  EventField(std::string_view fieldKey, std::uint64_t fieldValue)
      : key(fieldKey), value(std::to_string(fieldValue)) {}
};

class EventLog {
 public:
  virtual ~EventLog() = default;
  virtual void write(LogEvent event, std::initializer_list<EventField> fields) = 0;
};

/// Event log that discards all events; for tests and simulations.
class NullEventLog : public EventLog {
 public:
  void write(LogEvent /*event*/, std::initializer_list<EventField> /*fields*/) override {}
};

}  // namespace walnut::runtime
