#pragma once
/// @file
/// Finds the smallest sets of requests that explain a set of crashes (a minimum set cover).

#include <bitset>
#include <cstddef>
#include <vector>

namespace walnut::control {

/// Decides which requests are part of every smallest explanation of the crashes.
/// Each crash is caused by one of the requests that it cut, and few requests cause crashes, so the
/// explanations with the fewest causes are the likely ones. A request that is in all of these is a
/// cause; a request that is missing in some of them may just have been on the same workers.
class CrashCover {
 public:
  /// Width of the bit set. It is far above the number of crashes with evidence at one time; beyond
  /// it, several crashes share a bit.
  static constexpr std::size_t kMaxCrashes = 256;
  using Crashes = std::bitset<kMaxCrashes>;
  using Candidates = std::vector<Crashes>;

  /// @param candidates for each candidate request, the crashes that cut it.
  explicit CrashCover(const Candidates& candidates);

  /// @return true if without this candidate more of the others would be needed, or some crash would
  /// remain unexplained; false also if the step limit is reached first.
  bool isNecessary(const Crashes& candidate);

 private:
  /// Largest number of causes that is searched for.
  static constexpr std::size_t kMaxCauses = 8;
  /// Step limit of all searches together. With 500 suspects and 40 crashes one step takes about 10
  /// us, so all of them block the leader for no longer than a planning run does.
  static constexpr std::size_t kMaxSteps = 1000;

  /// @return the candidates that are not a proper subset of another one.
  static Candidates maximalSets(const Candidates& candidates);
  /// @return the candidates that share crashes with this one, directly or through other candidates.
  Candidates connected(const Crashes& candidate) const;
  /// @return the smallest number of candidates that cover all crashes; kMaxCauses + 1 if none was
  /// found.
  std::size_t minCauses(const Crashes& crashes, const Candidates& candidates);
  bool canCover(const Crashes& crashes, const Candidates& candidates, std::size_t causes);
  /// @return the crash that the fewest candidates explain; searching from it prunes the most.
  static std::size_t mostConstrainedCrash(const Crashes& crashes, const Candidates& candidates);

  const Candidates all_;
  const Candidates maximalSets_;
  std::size_t steps_ = 0;
};

}  // namespace walnut::control
