#include "control/crash_cover.h"

#include <algorithm>
#include <iterator>

namespace walnut::control {

namespace {

bool isPart(const CrashCover::Crashes& part, const CrashCover::Crashes& whole) {
  return part != whole && (part & ~whole).none();
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
    : all_(candidates), largest_(largest(candidates)) {}

CrashCover::Candidates CrashCover::largest(const Candidates& candidates) {
  Candidates kept;
  std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(kept),
               [&candidates](const Crashes& each) {
                 return std::none_of(candidates.begin(), candidates.end(),
                                     [&each](const Crashes& other) { return isPart(each, other); });
               });
  return kept;
}

bool CrashCover::needs(const Crashes& candidate) {
  const auto is = [&candidate](const Crashes& each) { return each == candidate; };
  const bool isLargest = std::any_of(largest_.begin(), largest_.end(), is);
  if (!isLargest || std::count_if(all_.begin(), all_.end(), is) > 1) {
    return false;  // A superset, or an equal candidate, explains the same crashes.
  }
  Candidates others = all_;
  std::erase_if(others, is);
  if ((candidate & ~unionOf(others)).any()) {
    return true;
  }
  const Candidates with = connected(candidate);
  const Crashes crashes = unionOf(with);
  const std::size_t causes = least(crashes, with);
  if (causes > kMostCauses) {
    return false;
  }
  std::erase_if(others, [&crashes](const Crashes& each) { return (each & crashes).none(); });
  return least(crashes, largest(others)) > causes && steps_ <= kMostSteps;
}

CrashCover::Candidates CrashCover::connected(const Crashes& candidate) const {
  Crashes reached = candidate;
  std::size_t before = 0;
  while (reached.count() != before) {
    before = reached.count();
    for (const Crashes& each : largest_) {
      reached |= (each & reached).any() ? each : Crashes();
    }
  }
  Candidates related;
  std::copy_if(largest_.begin(), largest_.end(), std::back_inserter(related),
               [&reached](const Crashes& each) { return (each & reached).any(); });
  return related;
}

std::size_t CrashCover::least(const Crashes& crashes, const Candidates& candidates) {
  for (std::size_t causes = 1; causes <= kMostCauses && steps_ <= kMostSteps; ++causes) {
    if (coverable(crashes, candidates, causes)) {
      return causes;
    }
  }
  return kMostCauses + 1;
}

bool CrashCover::coverable(const Crashes& crashes, const Candidates& candidates,
                           std::size_t causes) {
  if (crashes.none()) {
    return true;
  }
  if (causes == 0 || ++steps_ > kMostSteps) {
    return false;
  }
  const std::size_t crash = hardest(crashes, candidates);
  Candidates choices;
  for (const Crashes& each : candidates) {
    if (each.test(crash)) {
      choices.push_back(each & crashes);
    }
  }
  std::sort(choices.begin(), choices.end(),
            [](const Crashes& left, const Crashes& right) { return left.count() > right.count(); });
  return std::any_of(choices.begin(), choices.end(), [&](const Crashes& choice) {
    return coverable(crashes & ~choice, candidates, causes - 1);
  });
}

std::size_t CrashCover::hardest(const Crashes& crashes, const Candidates& candidates) {
  std::size_t found = 0;
  std::size_t fewest = candidates.size() + 1;
  for (std::size_t crash = 0; crash < kMostCrashes; ++crash) {
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
