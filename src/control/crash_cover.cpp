#include "control/crash_cover.h"

#include <algorithm>
#include <iterator>

namespace walnut::control {

namespace {

bool isProperSubset(const CrashCover::Crashes& subset, const CrashCover::Crashes& superset) {
  return subset != superset && (subset & ~superset).none();
}

CrashCover::Crashes unionOf(const CrashCover::Candidates& candidates) {
  CrashCover::Crashes all;
  for (const CrashCover::Crashes& each : candidates) {
    all |= each;
  }
  return all;
}

}  // namespace

CrashCover::CrashCover(const Candidates& candidates)
    : all_(candidates), maximalSets_(maximalSets(candidates)) {}

CrashCover::Candidates CrashCover::maximalSets(const Candidates& candidates) {
  Candidates kept;
  std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(kept),
               [&candidates](const Crashes& each) {
                 return std::none_of(
                     candidates.begin(), candidates.end(),
                     [&each](const Crashes& other) { return isProperSubset(each, other); });
               });
  return kept;
}

bool CrashCover::isNecessary(const Crashes& candidate) {
  const auto isCandidate = [&candidate](const Crashes& each) { return each == candidate; };
  const bool isMaximal = std::any_of(maximalSets_.begin(), maximalSets_.end(), isCandidate);
  if (!isMaximal || std::count_if(all_.begin(), all_.end(), isCandidate) > 1) {
    return false;  // A superset, or an equal candidate, explains the same crashes.
  }
  Candidates others = all_;
  std::erase_if(others, isCandidate);
  if ((candidate & ~unionOf(others)).any()) {
    return true;
  }
  const Candidates connectedSets = connected(candidate);
  const Crashes crashes = unionOf(connectedSets);
  const std::size_t causes = minCauses(crashes, connectedSets);
  if (causes > kMaxCauses) {
    return false;
  }
  std::erase_if(others, [&crashes](const Crashes& each) { return (each & crashes).none(); });
  return minCauses(crashes, maximalSets(others)) > causes && steps_ <= kMaxSteps;
}

CrashCover::Candidates CrashCover::connected(const Crashes& candidate) const {
  Crashes reached = candidate;
  std::size_t before = 0;
  while (reached.count() != before) {
    before = reached.count();
    for (const Crashes& each : maximalSets_) {
      reached |= (each & reached).any() ? each : Crashes();
    }
  }
  Candidates related;
  std::copy_if(maximalSets_.begin(), maximalSets_.end(), std::back_inserter(related),
               [&reached](const Crashes& each) { return (each & reached).any(); });
  return related;
}

std::size_t CrashCover::minCauses(const Crashes& crashes, const Candidates& candidates) {
  for (std::size_t causes = 1; causes <= kMaxCauses && steps_ <= kMaxSteps; ++causes) {
    if (canCover(crashes, candidates, causes)) {
      return causes;
    }
  }
  return kMaxCauses + 1;
}

bool CrashCover::canCover(const Crashes& crashes, const Candidates& candidates,
                          std::size_t causes) {
  if (crashes.none()) {
    return true;
  }
  if (causes == 0 || ++steps_ > kMaxSteps) {
    return false;
  }
  const std::size_t crash = mostConstrainedCrash(crashes, candidates);
  Candidates choices;
  for (const Crashes& each : candidates) {
    if (each.test(crash)) {
      choices.push_back(each & crashes);
    }
  }
  std::sort(choices.begin(), choices.end(),
            [](const Crashes& left, const Crashes& right) { return left.count() > right.count(); });
  return std::any_of(choices.begin(), choices.end(), [&](const Crashes& choice) {
    return canCover(crashes & ~choice, candidates, causes - 1);
  });
}

std::size_t CrashCover::mostConstrainedCrash(const Crashes& crashes, const Candidates& candidates) {
  std::size_t found = 0;
  std::size_t fewest = candidates.size() + 1;
  for (std::size_t crash = 0; crash < kMaxCrashes; ++crash) {
    if (!crashes.test(crash)) {
      continue;
    }
    const auto explaining = static_cast<std::size_t>(
        std::count_if(candidates.begin(), candidates.end(),
                      [crash](const Crashes& each) { return each.test(crash); }));
    if (explaining < fewest) {
      fewest = explaining;
      found = crash;
    }
  }
  return found;
}

}  // namespace walnut::control
