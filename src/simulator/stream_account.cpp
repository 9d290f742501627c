#include "simulator/stream_account.h"

#include <sstream>
#include <string_view>

namespace walnut::simulator {

namespace {

using runtime::EventField;
using runtime::LogEvent;

constexpr std::string_view kMovedReason = "the worker is silent";

std::string valueOf(std::initializer_list<EventField> fields, std::string_view key) {
  for (const EventField& field : fields) {
    if (field.key == key) {
      return field.value;
    }
  }
  return {};
}

}  // namespace

bool StreamAccount::logged(LogEvent event, std::initializer_list<EventField> fields) {
  if (event == LogEvent::attemptFailed) {
    counts_.movesFromSilent += valueOf(fields, "reason") == kMovedReason ? 1 : 0;
  }
  return event == LogEvent::requestEnded && requestEnded(fields);
}

bool StreamAccount::requestEnded(std::initializer_list<EventField> fields) {
  const std::string status = valueOf(fields, "status");
  const std::string outcome = valueOf(fields, "outcome");
  const bool isMoved = valueOf(fields, "silent") != "0";
  const bool isComplete = status == "200";
  const bool isLeft = outcome == "caller left";
  counts_.movedFromSilent += isMoved ? 1 : 0;
  counts_.movedComplete += isMoved && isComplete ? 1 : 0;
  counts_.movedAndLeft += isMoved && isLeft ? 1 : 0;
  if (isComplete) {
    ++counts_.complete;
  } else if (isLeft) {
    ++counts_.callerLeft;
  } else if (status != "0") {
    ++counts_.refused;
  } else if (outcome == "deadline") {
    ++counts_.atDeadline;
  } else if (broken_.count(valueOf(fields, "request")) != 0) {
    ++counts_.broken;
  } else {
    ++counts_.endedByGateway;
    ++counts_.endReasons[outcome];
    return true;
  }
  return false;
}

std::string describe(const StreamCounts& counts) {
  std::ostringstream text;
  text << "complete=" << counts.complete << " refused=" << counts.refused
       << " caller-left=" << counts.callerLeft << " deadline=" << counts.atDeadline
       << " broken=" << counts.broken << " moves=" << counts.movesFromSilent
       << " moved=" << counts.movedFromSilent << " moved-complete=" << counts.movedComplete
       << " moved-left=" << counts.movedAndLeft << " ended-by-gateway=" << counts.endedByGateway;
  for (const auto& [reason, count] : counts.endReasons) {
    text << " [" << reason << ": " << count << "]";
  }
  return text.str();
}

}  // namespace walnut::simulator
