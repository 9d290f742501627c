#pragma once
/// @file
/// How the requests of a serving fleet ended, from the decision logs of its gateways.

#include <cstdint>
#include <initializer_list>
#include <map>
#include <set>
#include <string>

#include "walnut/runtime/event_log.h"

namespace walnut::simulator {

struct StreamCounts {
  std::uint64_t complete = 0;
  std::uint64_t refused = 0;     ///< Answered with an error.
  std::uint64_t callerLeft = 0;  ///< The caller had waited too long for the first or next event.
  std::uint64_t atDeadline = 0;  ///< Ended by the gateway at the deadline.
  /// Ended by the gateway after a worker had broken it.
  std::uint64_t broken = 0;
  /// Ended by the gateway for another reason, with neither a whole answer nor a refusal.
  std::uint64_t endedByGateway = 0;
  std::map<std::string, std::uint64_t> endReasons;  ///< Of those, as logged.
  std::uint64_t movedFromSilent = 0;                ///< Sent on once or more by a silent worker.
  std::uint64_t movedComplete = 0;                  ///< Of those, complete.
  std::uint64_t movedAndLeft = 0;                   ///< Of those, left by their callers.
  std::uint64_t movesFromSilent = 0;                ///< One stream may move several times.
};

class StreamAccount {
 public:
  /// A worker or its connection has broken the request.
  void broken(const std::string& request) { broken_.insert(request); }
  /// Takes a line of a gateway's decision log.
  /// @return true if the gateway has ended a request that no worker broke, before its deadline,
  /// with neither a whole answer nor a refusal.
  bool logged(runtime::LogEvent event, std::initializer_list<runtime::EventField> fields);
  /// Counts only what ends from now on.
  void countAnew() { counts_ = {}; }

  const StreamCounts& counts() const { return counts_; }

 private:
  bool requestEnded(std::initializer_list<runtime::EventField> fields);

  std::set<std::string> broken_;  ///< By the ids of tries.
  StreamCounts counts_;
};

/// @return the counts in words.
std::string describe(const StreamCounts& counts);

}  // namespace walnut::simulator
