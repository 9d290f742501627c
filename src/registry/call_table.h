#pragma once
/// @file
/// Calls from outside that wait for a leader or for an entry of the log.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "walnut/protocol/messages.h"
#include "walnut/registry/registry.h"

namespace walnut::registry {

/// Who gets the answer: a call of this server's own edge, or one that another server forwarded.
struct CallOrigin {
  std::optional<protocol::ConnectionId> connection;  ///< Absent: the own edge.
  std::uint64_t sequence = 0;
};

/// A call that is not answered yet. All calls may be repeated, so it is handed to each new leader
/// until its time is up.
struct WaitingCall {
  CallOrigin origin;
  ControlCall call;
  base::TimePoint deadline;

  bool isHeartbeat() const { return std::holds_alternative<ReportAlive>(call); }
};

/// Numbered by arrival. What is asked for takes time in proportion to the calls that it concerns.
class CallTable {
 public:
  std::uint64_t add(WaitingCall call);
  WaitingCall* find(std::uint64_t number);
  void erase(std::uint64_t number);
  std::size_t size() const { return calls_.size(); }

  /// Calls that were not given to that leader are given to it: first what is no heartbeat, then the
  /// newest: the callers of the oldest have nearly given up, and would all be answered too late.
  /// @param most of them, at most.
  /// @param mostWaiting heartbeats that may wait for their answer; the rest stays here.
  std::vector<std::uint64_t> handTo(base::ServerId leader, std::size_t most,
                                    std::size_t mostWaiting);
  /// @return true if `handTo` the same leader would give it more now.
  bool hasMore(std::size_t mostWaiting) const {
    return !others_.empty() || (!heartbeats_.empty() && handedHeartbeats_ < mostWaiting);
  }

  /// @return calls whose time is up.
  std::vector<std::uint64_t> expired(base::TimePoint now) const;
  base::TimePoint nextDeadline() const {
    return deadlines_.empty() ? base::kNever : deadlines_.begin()->first;
  }

 private:
  std::uint64_t last_ = 0;
  std::map<std::uint64_t, WaitingCall> calls_;
  std::set<std::pair<base::TimePoint, std::uint64_t>> deadlines_;
  void noteUnhanded(std::uint64_t number, const WaitingCall& call) {
    (call.isHeartbeat() ? heartbeats_ : others_).insert(number);
  }

  base::ServerId leader_;  ///< That calls are given to; zero: none yet.
  /// @name Not given to `leader_`
  /// @{
  std::set<std::uint64_t> heartbeats_;
  std::set<std::uint64_t> others_;
  /// @}
  std::size_t handedHeartbeats_ = 0;  ///< Given to it, and not answered.
};

}  // namespace walnut::registry
