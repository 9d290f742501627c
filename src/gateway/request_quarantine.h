#pragma once
/// @file
/// What a gateway knows of requests that crash the workers that run them.

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "walnut/registry/messages.h"

namespace walnut::gateway {

/// The leader decides from the reports of all gateways (registry/crash_monitor.h); what it told of
/// last is kept while there is no leader. Reports are kept too: a leader that is new to this
/// gateway may not have the ones of before, and gets them again.
class RequestQuarantine {
 public:
  struct Verdict {
    registry::RequestStanding standing = registry::RequestStanding::suspected;
    std::uint32_t crashes = 0;
    base::TimePoint until;
  };

  /// The leader's word: replaces what it told of before.
  void take(const registry::SuspectList& list, base::TimePoint now);
  /// The first view of a leader came.
  /// @param told whether it has told of suspects before: else there are none.
  void leaderFollowed(bool told);

  /// @return true if requests have to be looked up. On most days there is nothing to look up, and
  /// nothing to compute for it.
  bool watching() const { return !verdicts_.empty(); }
  /// @return nothing if the request is like any other.
  std::optional<Verdict> find(const registry::RequestDigest& request, base::TimePoint now) const;

  /// @name To be reported
  /// @{
  /// @param begun the head of its answer had come.
  void cut(const registry::RequestDigest& request, const registry::WorkerId& worker, bool begun,
           base::TimePoint now);
  void answered(const registry::RequestDigest& request);
  /// @return what the leader was not told of yet; nothing if there is none.
  std::optional<registry::CutReport> takeReport(base::TimePoint now);
  /// @}

 private:
  struct Cut {
    registry::RequestDigest request;
    registry::WorkerId worker;
    bool begun = false;
    base::TimePoint at;
    bool told = false;
  };

  /// Callers come back within seconds, a leader is found within some more.
  static constexpr base::Duration kCutsLast = std::chrono::seconds(60);
  static constexpr std::size_t kMostCuts = 512;

  std::map<registry::RequestDigest, Verdict> verdicts_;
  std::deque<Cut> cuts_;  ///< Oldest first.
  std::vector<registry::RequestDigest> answered_;
};

}  // namespace walnut::gateway
