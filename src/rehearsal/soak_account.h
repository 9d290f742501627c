#pragma once
/// @file
/// What clients, workers and the operator of a soak saw, and which rules that breaks.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "walnut/base/time.h"

namespace walnut::rehearsal {

/// Records observations of one run. Rules have the names of the users' pages.
class SoakAccount {
 public:
  explicit SoakAccount(base::TimePoint begin) : begin_(begin) {}

  void requestEnded(base::TimePoint sentAt, bool served) {
    (served ? served_ : failed_).push_back(sentAt);
  }
  void violation(const std::string& rule, base::TimePoint at, const std::string& detail);
  /// A line for the record of faults and changes.
  void note(base::TimePoint at, const std::string& text);
  /// A try of a stream ended that counts for LOST.
  /// @param takesUp it took up a stream that had broken.
  /// @param hasBegun it brought an event.
  void streamTried(bool takesUp, bool hasBegun);
  /// @return true if streams that were taken up went on less than half as often as new ones began.
  bool takesUpTooFew() const;
  std::string describeTakeUps() const;
  void count(const std::string& event) { ++counts_[event]; }
  /// A run of a request that must run once.
  struct Run {
    base::TimePoint beganAt;
    std::optional<base::TimePoint> endedAt;
  };
  /// @return false if a request with this body, which must run once, ran before.
  bool runsFirst(const std::string& body, base::TimePoint at) {
    return ranOnce_.try_emplace(body, Run{at, std::nullopt}).second;
  }
  void runEnded(const std::string& body, base::TimePoint at) {
    const auto found = ranOnce_.find(body);
    if (found != ranOnce_.end()) {
      found->second.endedAt = at;
    }
  }
  /// @return null if no request with this body, which must run once, ran.
  const Run* findRun(const std::string& body) const {
    const auto found = ranOnce_.find(body);
    return found == ranOnce_.end() ? nullptr : &found->second;
  }

  /// @return the share of the requests sent in [from, until) that were served; 1 if there is none.
  double servedShare(base::TimePoint from, base::TimePoint until) const;
  std::size_t requestCount() const { return served_.size() + failed_.size(); }
  bool passed() const { return violations_.empty(); }
  const std::vector<std::string>& violations() const { return violations_; }
  const std::vector<std::string>& notes() const { return notes_; }
  const std::map<std::string, std::uint64_t>& counts() const { return counts_; }

 private:
  struct StreamTries {
    std::uint64_t sent = 0;
    std::uint64_t begun = 0;
  };

  std::string timeOf(base::TimePoint at) const;

  const base::TimePoint begin_;
  std::vector<base::TimePoint> served_;
  std::vector<base::TimePoint> failed_;
  StreamTries newStreams_;
  StreamTries takeUps_;
  std::map<std::string, Run> ranOnce_;  ///< By body.
  std::vector<std::string> violations_;
  std::vector<std::string> notes_;
  std::map<std::string, std::uint64_t> counts_;
};

}  // namespace walnut::rehearsal
