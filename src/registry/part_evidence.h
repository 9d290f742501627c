#pragma once
/// @file
/// Evidence of which parts of prompts crash workers, and its explanation by the fewest parts.

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "registry/cell_state.h"
#include "walnut/registry/prompt_part_messages.h"

namespace walnut::registry {

/// Records which parts the requests had that were cut at crashed workers, and when requests with a
/// part were last answered.
///
/// A part is evidence only against itself: a crash counts against each part of the requests that
/// may have caused it (those that had begun or, if none is known to have begun, all), but not
/// against a part with which a request was answered after the crash. A part needs crashes under
/// different requests, as one request that is repeated shows nothing about its parts; and at
/// different times, as workers that end at the same time have another cause.
class PartEvidence {
 public:
  /// A part that may have caused crashes.
  struct Suspect {
    PromptPartDigest part;
    std::set<WorkerId> crashes;  ///< Since it was last answered.
    std::size_t events = 0;      ///< The same, with workers that ended together counted once.
    std::size_t requests = 0;    ///< Events that different requests can be assigned to.
    std::size_t depth = 0;       ///< Greatest number of parts before it.
    base::TimePoint firstCrashAt;
    std::optional<base::TimePoint> answeredAt;

    /// @return true if there are enough crashes, under enough different requests.
    bool isAtLimit() const;
    /// @return true if it was answered so shortly before the crashes that it was sound by then.
    bool wasSoundBefore() const;
  };
  using Suspects = std::vector<Suspect>;

  /// @name Cut requests, in any order
  /// @{
  void addParts(const CutPromptParts& cut);
  void addCut(const WorkerId& worker, const RequestDigest& request, bool begun,
              base::TimePoint cutAt);
  /// @}
  /// The worker is known to have ended.
  /// @return false if that was known before.
  bool confirm(const WorkerId& worker);
  /// The worker has not ended.
  void remove(const WorkerId& worker) { crashes_.erase(worker); }
  /// @return true if this clears the part of crashes.
  bool addAnswer(const PromptPartDigest& part, base::TimePoint at);
  void removeOld(base::TimePoint now);

  bool empty() const { return crashes_.empty(); }
  bool isConfirmed(const WorkerId& worker) const {
    const auto found = crashes_.find(worker);
    return found != crashes_.end() && found->second.confirmed;
  }
  /// @param confirmedOnly leaves out workers that are not yet known to have ended.
  Suspects suspects(bool confirmedOnly) const;
  /// @return true if a request that may have caused the crash of that worker has one of the parts.
  bool explains(const std::set<PromptPartDigest>& parts, const WorkerId& worker) const;
  /// @return the confirmed crashes that these parts explain.
  std::set<WorkerId> explainedBy(const std::set<PromptPartDigest>& parts) const;

 private:
  struct Request {
    bool begun = false;
    std::vector<PromptPartDigest> parts;
  };
  struct Crash {
    base::TimePoint at;  ///< When the first of its requests was cut.
    bool confirmed = false;
    std::map<RequestDigest, Request> requests;
  };
  /// Requests with one part, by the number of the event at which each was cut.
  using Cuts = std::map<std::size_t, std::vector<RequestDigest>>;

  Request* requestOf(const WorkerId& worker, const RequestDigest& request, base::TimePoint at);
  std::map<WorkerId, std::size_t> events() const;
  static bool anyBegun(const Crash& crash);
  static std::size_t distinctRequests(const Cuts& cuts);

  std::map<WorkerId, Crash> crashes_;
  std::map<PromptPartDigest, base::TimePoint> answeredAt_;
};

/// Chooses the parts that explain the crashes: the fewest that leave less than the crash limit
/// unexplained. Parts that were not answered shortly before their crashes come first; of the
/// others, which software that has changed since may crash on, only what nothing else explains.
/// @param explained crashes that have an explanation already.
/// @param requests evidence against requests. One request that is repeated has all crashes of its
/// parts.
std::set<PromptPartDigest> chooseCauses(const PartEvidence::Suspects& suspects,
                                        std::set<WorkerId> explained,
                                        const RequestCrashLedger& requests);

}  // namespace walnut::registry
