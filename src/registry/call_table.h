#pragma once
/// @file
/// Calls from outside that wait for a leader or for an entry of the log.

#include <cstdint>
#include <map>
#include <optional>
#include <variant>
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
  base::ServerId handedTo;  ///< The leader that it was given to; zero: none yet.
};

/// Numbered by arrival.
class CallTable {
 public:
  std::uint64_t add(WaitingCall call) {
    calls_.emplace(++last_, std::move(call));
    return last_;
  }
  WaitingCall* find(std::uint64_t number) {
    const auto found = calls_.find(number);
    return found == calls_.end() ? nullptr : &found->second;
  }
  void erase(std::uint64_t number) { calls_.erase(number); }

  /// @return calls that were not given to that leader, oldest first.
  std::vector<std::uint64_t> notHandedTo(base::ServerId leader) const {
    std::vector<std::uint64_t> numbers;
    for (const auto& [number, call] : calls_) {
      if (call.handedTo != leader) {
        numbers.push_back(number);
      }
    }
    return numbers;
  }

  /// @return calls whose time is up.
  std::vector<std::uint64_t> expired(base::TimePoint now) const {
    std::vector<std::uint64_t> numbers;
    for (const auto& [number, call] : calls_) {
      if (call.deadline <= now) {
        numbers.push_back(number);
      }
    }
    return numbers;
  }

  base::TimePoint nextDeadline() const {
    base::TimePoint next = base::kNever;
    for (const auto& [number, call] : calls_) {
      next = std::min(next, call.deadline);
    }
    return next;
  }

 private:
  std::uint64_t last_ = 0;
  std::map<std::uint64_t, WaitingCall> calls_;
};

}  // namespace walnut::registry
