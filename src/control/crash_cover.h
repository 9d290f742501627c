#pragma once
/// @file
/// The fewest requests that explain a set of crashes.

#include <bitset>
#include <cstddef>
#include <vector>

namespace walnut::control {

/// Each crash has a cause among the requests that were cut by it, and few requests are causes: of
/// all ways to explain the crashes those with the fewest causes are the likely ones. A request that
/// is in all of these is a cause; one that some of them do without may have been merely beside.
class CrashCover {
 public:
  /// Far more crashes at once than any day had of which evidence was kept; beyond, some count as
  /// one.
  static constexpr std::size_t kMostCrashes = 256;
  using Crashes = std::bitset<kMostCrashes>;
  using Candidates = std::vector<Crashes>;

  /// @param candidates the crashes at which each candidate was.
  explicit CrashCover(const Candidates& candidates);

  /// @return true if without that candidate more of the others would be needed, or some crash would
  /// have no cause; false also if that takes too long to find out.
  bool needs(const Crashes& candidate);

 private:
  /// Causes beyond which no cover is looked for.
  static constexpr std::size_t kMostCauses = 8;
  /// Steps of all searches together. With 500 suspects at 40 crashes one takes some 10 us, and all
  /// of them keep the leader for no longer than a plan does.
  static constexpr std::size_t kMostSteps = 1000;

  /// @return those that are no part of another.
  static Candidates largest(const Candidates& candidates);
  /// @return the candidates that share crashes with that one, or with one that does.
  Candidates connected(const Crashes& candidate) const;
  /// @return the least number of candidates that have all crashes; kMostCauses + 1: not found.
  std::size_t least(const Crashes& crashes, const Candidates& candidates);
  bool coverable(const Crashes& crashes, const Candidates& candidates, std::size_t causes);
  /// @return the crash that the fewest candidates explain.
  static std::size_t hardest(const Crashes& crashes, const Candidates& candidates);

  const Candidates all_;
  const Candidates largest_;
  std::size_t steps_ = 0;
};

}  // namespace walnut::control
