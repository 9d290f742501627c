#pragma once
/// @file
/// Record of a run: a hash over everything that happened, and the last events as text.

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

#include "walnut/base/time.h"

namespace walnut::simulator {

/// Trace of one run. Two runs of one seed are the same run if their hashes are equal.
class Trace {
 public:
  /// @param keepAll true keeps every event, else the last kKeptEvents.
  explicit Trace(bool keepAll) : keepAll_(keepAll) {}

  /// Mixes a step into the hash without keeping text, for frequent steps.
  void mix(base::TimePoint at, std::uint64_t value);
  void mix(base::TimePoint at, std::string_view text);

  /// Mixes and keeps an event.
  void event(base::TimePoint at, std::string_view subject, std::string_view text);

  /// Something went wrong: keeps what led there; only the first time.
  void markFailure();

  std::uint64_t hash() const { return hash_; }
  /// @return the events before the first failure; empty if there was none.
  const std::vector<std::string>& failureLines() const { return failureLines_; }
  /// @return the kept events, oldest first, one a line.
  const std::deque<std::string>& lines() const { return lines_; }

 private:
  static constexpr std::size_t kKeptEvents = 400;

  bool keepAll_;
  std::uint64_t hash_ = 0xcbf29ce484222325ULL;
  std::deque<std::string> lines_;
  std::vector<std::string> failureLines_;
};

/// @return the time as "seconds.millis" since the start of the run, for people.
std::string formatTime(base::TimePoint at);

}  // namespace walnut::simulator
