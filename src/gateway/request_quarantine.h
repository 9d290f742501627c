#pragma once
/// @file
/// The gateway's part in the quarantine of requests that crash the workers that run them.

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "walnut/registry/messages.h"

namespace walnut::gateway {

/// Keeps the classification of suspect requests that the leader has sent, and the cut requests that
/// are reported to it. The leader classifies requests from the reports of all gateways
/// (registry/crash_monitor.h). Its last list is kept while there is no leader. Reports are kept
/// too: a newly followed leader may not have the earlier ones, and gets them again.
class RequestQuarantine {
 public:
  struct Classification {
    registry::RequestStanding standing = registry::RequestStanding::suspected;
    std::uint32_t crashes = 0;
    base::TimePoint until;
  };

  /// Replaces the classifications by the leader's list.
  void take(const registry::SuspectList& list, base::TimePoint now);
  /// Called when the first view of a newly followed leader has come.
  /// @param gotSuspects true if the leader has sent a list of suspect requests before the view:
  /// otherwise there are none.
  void leaderFollowed(bool gotSuspects);

  /// @return true if requests have to be looked up. Usually there are no suspects, and no digest
  /// has to be computed.
  bool isActive() const { return !classifications_.empty(); }
  /// @return the classification of a request; nothing if it is not suspect.
  std::optional<Classification> find(const registry::RequestDigest& request,
                                     base::TimePoint now) const;

  /// @name Reports to the leader
  /// @{
  struct Report {
    registry::CutReport cuts;
    registry::CutPartsReport parts;  ///< Of the cut requests whose prompts have parts.
  };
  /// Records a request whose connection was cut.
  /// @param parts that its prompt shares with other requests.
  /// @param begun true if the head of the response had come.
  void addCut(const registry::RequestDigest& request,
              const std::vector<registry::PromptPartDigest>& parts,
              const registry::WorkerId& worker, bool begun, base::TimePoint now);
  void addAnswered(const registry::RequestDigest& request);
  /// @return what has not been reported to this leader yet; nothing if there is none.
  std::optional<Report> takeReport(base::TimePoint now);
  /// @}

 private:
  struct Cut {
    registry::RequestDigest request;
    std::vector<registry::PromptPartDigest> parts;
    registry::WorkerId worker;
    bool begun = false;
    base::TimePoint at;
    bool isReported = false;
  };

  /// Time for which cut requests are kept: callers send a request again within seconds, and a
  /// leader is found within a few more.
  static constexpr base::Duration kCutRetention = std::chrono::seconds(60);
  static constexpr std::size_t kMaxCuts = 512;

  std::map<registry::RequestDigest, Classification> classifications_;
  std::deque<Cut> cuts_;  ///< Oldest first.
  std::vector<registry::RequestDigest> answered_;
};

}  // namespace walnut::gateway
