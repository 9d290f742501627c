#pragma once
/// @file
/// Who fails what he is sent, whatever he says of himself: workers and engines, by the outcomes
/// that all gateways or routers report together.

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

#include "walnut/base/time.h"

namespace walnut::control {

namespace failure {

/// Weight of one attempt in the share of failures: three in a row make one that was well
/// failing, two one that nobody has seen answer. Well below, the stray errors of sound workers,
/// some in a hundred, would condemn several of a hundred workers each minute; well above, a rare
/// model is asked for in vain several times before its worker is known.
inline constexpr double kAttemptWeight = 0.25;
/// The share of a worker without any outcome: what was never seen to answer is trusted less.
inline constexpr double kUnknownShare = 0.2;
inline constexpr double kFailingShare = 0.5;
/// Beyond the share of the rest of its service.
inline constexpr double kExcessShare = 0.35;
/// Below this share a worker counts as well again.
inline constexpr double kSoundShare = 0.25;
/// Of a worker that is tried again: its next failure condemns it anew.
inline constexpr double kTrialShare = 0.45;
/// At most this part of a service's workers: the rest could not carry its load.
inline constexpr double kMostFailing = 0.5;
/// One may be what fails itself.
inline constexpr std::size_t kLeastAccusers = 2;
/// @name Until a failing worker is tried again
/// The first time; twice as long after each relapse, up to the longest. A trial costs an attempt or
/// two; the wait is what a worker that is well again is left without work.
/// @{
inline constexpr base::Duration kFirstHold = std::chrono::seconds(4);
inline constexpr std::uint32_t kMostDoublings = 2;
/// @}
/// Outcomes before a silence of this length say nothing of a worker any more.
inline constexpr base::Duration kOutcomesLast = std::chrono::seconds(30);

/// One that has all the work it takes begins another request within a fraction of a second, as
/// others end: without any answer for this long it hangs.
inline constexpr base::Duration kFullPatience = std::chrono::seconds(3);

}  // namespace failure

/// Kept by a leader; empty at the start of its leadership. Reporters tell the outcomes of their
/// attempts; each alone sees too few of one subject to judge it.
///
/// A subject is failing once half or more of its latest attempts failed, clearly more than of the
/// others of its group: where all fail alike, none of them is worth avoiding. One reporter alone
/// condemns nobody, as it may be what fails. The verdict ends after a while, so that the subject is
/// tried again, or as soon as attempts that were made all the same succeed.
///
/// @tparam Subject id of a worker or an engine.
/// @tparam Reporter id of who makes attempts.
template <class Subject, class Reporter>
class FailureJudge {
 public:
  /// Attempts of one reporter at one subject since its last report.
  struct Outcomes {
    Subject subject;
    std::uint32_t answered = 0;
    std::uint32_t failed = 0;
    /// Failed while the subject had all the work it takes: counts only if it answers nobody.
    std::uint32_t stalled = 0;
  };
  /// A change of what is held of a subject, with what decided it.
  struct Verdict {
    Subject subject;
    bool failing = false;
    double share = 0;             ///< Of its latest attempts, those that failed.
    double restShare = 0;         ///< The same of the others of its group.
    std::uint32_t reporters = 0;  ///< That have seen it fail.
    base::Duration heldFor{0};    ///< How long the former verdict was held; 0: it is the first one.
  };

  void report(Reporter reporter, const Outcomes& outcomes, base::TimePoint now);
  /// @return true if a review may change a verdict.
  bool reviewDue(base::TimePoint now) const;
  /// @param groups of subjects that could do each other's work. @param reporters how many there
  /// are.
  void review(const std::map<std::string_view, std::vector<Subject>>& groups, std::size_t reporters,
              base::TimePoint now);
  /// Forgets all subjects for which the predicate holds.
  template <class Predicate>
  void forgetIf(Predicate predicate) {
    std::erase_if(records_, [&predicate](const auto& entry) { return predicate(entry.first); });
  }

  bool failing(const Subject& subject) const;
  /// @return changes since the last call.
  std::vector<Verdict> takeChanges() { return std::exchange(changes_, {}); }

 private:
  struct Record {
    double share = 0;
    base::TimePoint reportedAt;   ///< Of the latest outcomes; long ago: there were none.
    base::TimePoint answeredAt;   ///< Of the latest success, or since it is known.
    std::set<Reporter> accusers;  ///< That have seen it fail.
    bool failing = false;
    base::TimePoint verdictAt;   ///< Of the present verdict, if it is not the first.
    base::TimePoint trialAt;     ///< When one that fails is tried again.
    std::uint32_t relapses = 0;  ///< Verdicts since it last answered well.
  };

  void reviewGroup(const std::vector<Subject>& subjects, std::size_t reporters,
                   base::TimePoint now);
  void endVerdict(const Subject& subject, Record& record, base::TimePoint now);
  void condemn(const Subject& subject, Record& record, double restShare, base::TimePoint now);
  void note(const Subject& subject, Record& record, double restShare, base::TimePoint now);

  std::map<Subject, Record> records_;  ///< Of those with outcomes.
  bool unreviewed_ = false;            ///< Outcomes came that may change a verdict.
  std::vector<Verdict> changes_;
};

template <class Subject, class Reporter>
void FailureJudge<Subject, Reporter>::report(Reporter reporter, const Outcomes& outcomes,
                                             base::TimePoint now) {
  const auto [found, added] = records_.try_emplace(outcomes.subject);
  Record& record = found->second;
  if (added || outcomes.answered > 0) {
    record.answeredAt = now;
  }
  const bool answersNobody = now > record.answeredAt + failure::kFullPatience;
  const std::uint32_t failures = outcomes.failed + (answersNobody ? outcomes.stalled : 0);
  const std::uint32_t attempts = outcomes.answered + failures;
  if (attempts == 0) {
    return;
  }
  if (now > record.reportedAt + failure::kOutcomesLast) {
    record.share = failure::kUnknownShare;
    record.accusers.clear();
  }
  record.reportedAt = now;
  const double failed = static_cast<double>(failures) / attempts;
  const double former = std::pow(1 - failure::kAttemptWeight, attempts);
  record.share = former * record.share + (1 - former) * failed;
  if (failures > 0) {
    record.accusers.insert(reporter);
  }
  if (record.share < failure::kSoundShare) {
    record.accusers.clear();
    record.relapses = record.failing ? record.relapses : 0;
  }
  unreviewed_ = unreviewed_ || record.failing || record.share >= failure::kFailingShare;
}

template <class Subject, class Reporter>
bool FailureJudge<Subject, Reporter>::reviewDue(base::TimePoint now) const {
  return unreviewed_ || std::any_of(records_.begin(), records_.end(), [now](const auto& entry) {
           return entry.second.failing && now >= entry.second.trialAt;
         });
}

template <class Subject, class Reporter>
void FailureJudge<Subject, Reporter>::review(
    const std::map<std::string_view, std::vector<Subject>>& groups, std::size_t reporters,
    base::TimePoint now) {
  unreviewed_ = false;
  for (const auto& [group, subjects] : groups) {
    reviewGroup(subjects, reporters, now);
  }
}

template <class Subject, class Reporter>
void FailureJudge<Subject, Reporter>::reviewGroup(const std::vector<Subject>& subjects,
                                                  std::size_t reporters, base::TimePoint now) {
  std::vector<std::pair<Subject, Record*>> sound;
  double shares = 0;
  std::size_t failing = 0;
  for (const Subject& subject : subjects) {
    const auto found = records_.find(subject);
    if (found == records_.end()) {
      continue;
    }
    Record& record = found->second;
    if (record.failing) {
      endVerdict(subject, record, now);
    }
    if (record.failing) {
      ++failing;
    } else {
      sound.emplace_back(subject, &record);
      shares += record.share;
    }
  }
  // The worst first: without it, the next one is compared with a better rest.
  std::sort(sound.begin(), sound.end(), [](const auto& left, const auto& right) {
    return left.second->share > right.second->share;
  });
  const std::size_t accusers = std::min(failure::kLeastAccusers, reporters);
  const double most = failure::kMostFailing * static_cast<double>(subjects.size());
  std::size_t rest = sound.size();
  for (const auto& [subject, record] : sound) {
    if (record->share < failure::kFailingShare || static_cast<double>(failing + 1) > most) {
      return;
    }
    const double restShare =
        rest <= 1 ? 0 : (shares - record->share) / static_cast<double>(rest - 1);
    if (record->share >= restShare + failure::kExcessShare && record->accusers.size() >= accusers) {
      condemn(subject, *record, restShare, now);
      shares -= record->share;
      --rest;
      ++failing;
    }
  }
}

template <class Subject, class Reporter>
void FailureJudge<Subject, Reporter>::endVerdict(const Subject& subject, Record& record,
                                                 base::TimePoint now) {
  const bool answers = record.share < failure::kSoundShare;
  if (!answers && now < record.trialAt) {
    return;
  }
  record.failing = false;
  if (answers) {
    record.relapses = 0;
  } else {
    record.share = failure::kTrialShare;
  }
  note(subject, record, 0, now);
}

template <class Subject, class Reporter>
void FailureJudge<Subject, Reporter>::condemn(const Subject& subject, Record& record,
                                              double restShare, base::TimePoint now) {
  record.failing = true;
  record.trialAt =
      now + failure::kFirstHold * (1U << std::min(record.relapses, failure::kMostDoublings));
  ++record.relapses;
  note(subject, record, restShare, now);
}

template <class Subject, class Reporter>
void FailureJudge<Subject, Reporter>::note(const Subject& subject, Record& record, double restShare,
                                           base::TimePoint now) {
  const bool first = record.verdictAt == base::TimePoint();
  const base::TimePoint since = std::exchange(record.verdictAt, now);
  changes_.push_back({subject, record.failing, record.share, restShare,
                      static_cast<std::uint32_t>(record.accusers.size()),
                      first ? base::Duration::zero() : now - since});
}

template <class Subject, class Reporter>
bool FailureJudge<Subject, Reporter>::failing(const Subject& subject) const {
  const auto found = records_.find(subject);
  return found != records_.end() && found->second.failing;
}

}  // namespace walnut::control
