#pragma once
/// @file
/// External calls that wait for a leader or for a log entry.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "walnut/protocol/messages.h"
#include "walnut/registry/registry.h"

namespace walnut::registry {

/// Receiver of a call's answer: a client of this server, or the server that forwarded the call.
struct CallOrigin {
  std::optional<protocol::ConnectionId> connection;  ///< Absent: a client of this server.
  std::uint64_t sequence = 0;
};

/// A call that is not answered yet. All calls are safe to repeat, so it is handed to each new
/// leader until its deadline.
struct WaitingCall {
  CallOrigin origin;
  ControlCall call;
  base::TimePoint deadline;

  bool isHeartbeat() const { return std::holds_alternative<ReportAlive>(call); }
};

/// Table of waiting calls, numbered by arrival. Each operation takes time in proportion to the
/// number of calls that it concerns.
class CallTable {
 public:
  std::uint64_t add(WaitingCall call);
  WaitingCall* find(std::uint64_t number);
  void erase(std::uint64_t number);
  std::size_t size() const { return calls_.size(); }

  /// Hands calls to a leader that has not got them yet: first all calls other than heartbeats, then
  /// the newest heartbeats. The senders of the oldest heartbeats are close to their time-outs, and
  /// would all be answered too late.
  /// @param maxCalls largest number of calls to hand over.
  /// @param maxWaiting largest number of handed-over heartbeats without an answer; the rest wait.
  std::vector<std::uint64_t> handOver(base::ServerId leader, std::size_t maxCalls,
                                      std::size_t maxWaiting);
  /// @return true if `handOver` to the same leader would return more calls now.
  bool hasMore(std::size_t maxWaiting) const {
    return !others_.empty() || (!heartbeats_.empty() && handedHeartbeats_ < maxWaiting);
  }

  /// @return calls whose deadline has passed.
  std::vector<std::uint64_t> expired(base::TimePoint now) const;
  base::TimePoint nextDeadline() const {
    return deadlines_.empty() ? base::kNever : deadlines_.begin()->first;
  }

 private:
  std::uint64_t last_ = 0;
  std::map<std::uint64_t, WaitingCall> calls_;
  std::set<std::pair<base::TimePoint, std::uint64_t>> deadlines_;
  void addUnhanded(std::uint64_t number, const WaitingCall& call) {
    (call.isHeartbeat() ? heartbeats_ : others_).insert(number);
  }

  base::ServerId leader_;  ///< Leader that calls are handed to; zero: none yet.
  /// @name Calls not handed to `leader_` yet
  /// @{
  std::set<std::uint64_t> heartbeats_;
  std::set<std::uint64_t> others_;
  /// @}
  std::size_t handedHeartbeats_ = 0;  ///< Heartbeats handed to `leader_` and not answered.
};

}  // namespace walnut::registry
