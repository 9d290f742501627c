#pragma once
/// @file
/// The gateway's part in refusing requests whose prompts have a part that crashes workers.

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "walnut/registry/prompt_part_messages.h"

namespace walnut::gateway {

/// Remembers which parts of prompts requests were last answered with. It takes a bounded number of
/// parts and forgets those that were not answered for a while.
class AnsweredParts {
 public:
  void add(const registry::PromptPartDigest& part, base::TimePoint now);
  /// @return when a request with the part was last answered; nothing if that is not remembered.
  std::optional<base::TimePoint> find(const registry::PromptPartDigest& part) const;

  /// Time for which parts are remembered at least, unless there are too many.
  static constexpr base::Duration kRetention = std::chrono::seconds(60);
  /// Parts that are remembered at least, the latest ones.
  static constexpr std::size_t kMinParts = 2048;

 private:
  struct Hash {
    std::size_t operator()(const registry::PromptPartDigest& part) const;
  };
  using Times = std::unordered_map<registry::PromptPartDigest, base::TimePoint, Hash>;

  Times recent_;
  Times former_;  ///< The generation before; dropped when `recent_` takes its place.
  base::TimePoint recentSince_;
};

/// Keeps the leader's list of suspect parts (registry/part_crash_monitor.h) and tells the leader
/// when requests with them were answered. The last list is kept while there is no leader.
class PartQuarantine {
 public:
  struct Refusal {
    registry::PromptPartDigest part;
    std::uint32_t crashes = 0;
    base::TimePoint until;
  };

  /// Replaces the suspects by the leader's list.
  void take(const registry::SuspectPartList& list, base::TimePoint now);
  /// Called when the first view of a newly followed leader has come.
  /// @param gotList true if the leader has sent a list before the view: otherwise there are none.
  void leaderFollowed(bool gotList);

  /// @return true if there are suspects: otherwise no request has to be looked up.
  bool isActive() const { return !suspects_.empty(); }
  /// @param request number of the request.
  /// @param mayBeTried whether the request may be the one that is sent on trial.
  /// @return why a request with these parts is refused; nothing if it may be sent.
  std::optional<Refusal> find(const std::vector<registry::PromptPartDigest>& parts,
                              std::uint64_t request, bool mayBeTried, base::TimePoint now);

  /// Records that a request with these parts was answered.
  /// @return true if the leader does not know yet that one of them was answered.
  bool addAnswered(const std::vector<registry::PromptPartDigest>& parts, base::TimePoint now);
  /// @return the answers that this leader has not been told of yet; nothing if there are none.
  std::optional<registry::PartsAnswered> takeReport(base::TimePoint now);

 private:
  struct Suspect {
    registry::PartStanding standing = registry::PartStanding::watched;
    std::uint32_t crashes = 0;
    base::TimePoint until;
    std::optional<std::uint64_t> triedBy;     ///< The request that is sent on trial.
    std::optional<base::TimePoint> reported;  ///< Time of the latest answer that was reported.
  };

  std::map<registry::PromptPartDigest, Suspect> suspects_;
  AnsweredParts answered_;
};

}  // namespace walnut::gateway
