#pragma once
/// @file
/// Outlier detection: which workers or engines fail their requests though they report that they are
/// well, by the outcomes that all gateways or routers report together.

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

namespace outlier {

/// Weight of one attempt in the share of failures: three in a row make one that was well
/// failing, two one that nobody has seen answer. Well below, the stray errors of sound workers,
/// some in a hundred, would eject several of a hundred workers each minute; well above, a rare
/// model is asked for in vain several times before its worker is known.
inline constexpr double kAttemptWeight = 0.25;
/// The share of a worker without any outcome: what was never seen to answer is trusted less.
inline constexpr double kUnknownShare = 0.2;
inline constexpr double kFailingShare = 0.5;
/// Beyond the share of the rest of its service.
inline constexpr double kExcessShare = 0.35;
/// Below this share a worker counts as well again.
inline constexpr double kSoundShare = 0.25;
/// Of a worker that is returned: its next failure ejects it anew.
inline constexpr double kReturnShare = 0.45;
/// At most this part of a service's workers: the rest could not carry its load.
inline constexpr double kMostFailing = 0.5;
/// A single reporter may be what fails itself.
inline constexpr std::size_t kLeastReporters = 2;
/// @name Ejection time
/// The first one; it doubles with each ejection, up to the longest. To return a worker that still
/// fails costs an attempt or two; one that is well again is left without work until then.
/// @{
inline constexpr base::Duration kBaseEjectionTime = std::chrono::seconds(4);
inline constexpr std::uint32_t kMostDoublings = 2;
/// @}
/// Outcomes before a silence of this length say nothing of a worker any more.
inline constexpr base::Duration kOutcomesLast = std::chrono::seconds(30);

/// One that has all the work it takes begins another request within a fraction of a second, as
/// others end: without any answer for this long it hangs.
inline constexpr base::Duration kFullPatience = std::chrono::seconds(3);

}  // namespace outlier

/// Kept by a leader; empty at the start of its leadership. Reporters tell the outcomes of their
/// attempts; each alone sees too few of one subject.
///
/// A subject is failing, and ejected, once half or more of its latest attempts failed, clearly more
/// than of the others of its group: where all fail alike, none of them is worth avoiding. One
/// reporter alone ejects nobody, as it may be what fails. An ejection ends after a while, so that
/// the subject is tried again, or as soon as attempts that were made all the same succeed.
///
/// @tparam Subject id of a worker or an engine.
/// @tparam Reporter id of who makes attempts.
template <class Subject, class Reporter>
class OutlierDetector {
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
  struct Change {
    Subject subject;
    bool failing = false;
    double share = 0;             ///< Of its latest attempts, those that failed.
    double restShare = 0;         ///< The same of the others of its group.
    std::uint32_t reporters = 0;  ///< That have seen it fail.
    base::Duration heldFor{0};    ///< How long it was as before; 0: always.
  };

  void report(Reporter reporter, const Outcomes& outcomes, base::TimePoint now);
  /// @return true if a review may eject or return a subject.
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
  std::vector<Change> takeChanges() { return std::exchange(changes_, {}); }

 private:
  struct Record {
    double share = 0;
    base::TimePoint reportedAt;           ///< Of the latest outcomes; long ago: there were none.
    base::TimePoint answeredAt;           ///< Of the latest success, or since it is known.
    std::set<Reporter> failureReporters;  ///< That have seen it fail.
    bool failing = false;
    base::TimePoint changedAt;     ///< When it was ejected or returned; zero: never.
    base::TimePoint ejectedUntil;  ///< When one that fails is tried again.
    std::uint32_t ejections = 0;   ///< Verdicts since it last answered well.
  };

  void reviewGroup(const std::vector<Subject>& subjects, std::size_t reporters,
                   base::TimePoint now);
  void endEjection(const Subject& subject, Record& record, base::TimePoint now);
  void eject(const Subject& subject, Record& record, double restShare, base::TimePoint now);
  void note(const Subject& subject, Record& record, double restShare, base::TimePoint now);

  std::map<Subject, Record> records_;  ///< Of those with outcomes.
  bool unreviewed_ = false;            ///< Outcomes came that may eject or return one.
  std::vector<Change> changes_;
};

template <class Subject, class Reporter>
void OutlierDetector<Subject, Reporter>::report(Reporter reporter, const Outcomes& outcomes,
                                                base::TimePoint now) {
  const auto [found, added] = records_.try_emplace(outcomes.subject);
  Record& record = found->second;
  if (added || outcomes.answered > 0) {
    record.answeredAt = now;
  }
  const bool answersNobody = now > record.answeredAt + outlier::kFullPatience;
  const std::uint32_t failures = outcomes.failed + (answersNobody ? outcomes.stalled : 0);
  const std::uint32_t attempts = outcomes.answered + failures;
  if (attempts == 0) {
    return;
  }
  if (now > record.reportedAt + outlier::kOutcomesLast) {
    record.share = outlier::kUnknownShare;
    record.failureReporters.clear();
  }
  record.reportedAt = now;
  const double failed = static_cast<double>(failures) / attempts;
  const double former = std::pow(1 - outlier::kAttemptWeight, attempts);
  record.share = former * record.share + (1 - former) * failed;
  if (failures > 0) {
    record.failureReporters.insert(reporter);
  }
  if (record.share < outlier::kSoundShare) {
    record.failureReporters.clear();
    record.ejections = record.failing ? record.ejections : 0;
  }
  unreviewed_ = unreviewed_ || record.failing || record.share >= outlier::kFailingShare;
}

template <class Subject, class Reporter>
bool OutlierDetector<Subject, Reporter>::reviewDue(base::TimePoint now) const {
  return unreviewed_ || std::any_of(records_.begin(), records_.end(), [now](const auto& entry) {
           return entry.second.failing && now >= entry.second.ejectedUntil;
         });
}

template <class Subject, class Reporter>
void OutlierDetector<Subject, Reporter>::review(
    const std::map<std::string_view, std::vector<Subject>>& groups, std::size_t reporters,
    base::TimePoint now) {
  unreviewed_ = false;
  for (const auto& [group, subjects] : groups) {
    reviewGroup(subjects, reporters, now);
  }
}

template <class Subject, class Reporter>
void OutlierDetector<Subject, Reporter>::reviewGroup(const std::vector<Subject>& subjects,
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
      endEjection(subject, record, now);
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
  const std::size_t failureReporters = std::min(outlier::kLeastReporters, reporters);
  const double most = outlier::kMostFailing * static_cast<double>(subjects.size());
  std::size_t rest = sound.size();
  for (const auto& [subject, record] : sound) {
    if (record->share < outlier::kFailingShare || static_cast<double>(failing + 1) > most) {
      return;
    }
    const double restShare =
        rest <= 1 ? 0 : (shares - record->share) / static_cast<double>(rest - 1);
    if (record->share >= restShare + outlier::kExcessShare &&
        record->failureReporters.size() >= failureReporters) {
      eject(subject, *record, restShare, now);
      shares -= record->share;
      --rest;
      ++failing;
    }
  }
}

template <class Subject, class Reporter>
void OutlierDetector<Subject, Reporter>::endEjection(const Subject& subject, Record& record,
                                                     base::TimePoint now) {
  const bool answers = record.share < outlier::kSoundShare;
  if (!answers && now < record.ejectedUntil) {
    return;
  }
  record.failing = false;
  if (answers) {
    record.ejections = 0;
  } else {
    record.share = outlier::kReturnShare;
  }
  note(subject, record, 0, now);
}

template <class Subject, class Reporter>
void OutlierDetector<Subject, Reporter>::eject(const Subject& subject, Record& record,
                                               double restShare, base::TimePoint now) {
  record.failing = true;
  record.ejectedUntil = now + outlier::kBaseEjectionTime *
                                  (1U << std::min(record.ejections, outlier::kMostDoublings));
  ++record.ejections;
  note(subject, record, restShare, now);
}

template <class Subject, class Reporter>
void OutlierDetector<Subject, Reporter>::note(const Subject& subject, Record& record,
                                              double restShare, base::TimePoint now) {
  const bool first = record.changedAt == base::TimePoint();
  const base::TimePoint since = std::exchange(record.changedAt, now);
  changes_.push_back({subject, record.failing, record.share, restShare,
                      static_cast<std::uint32_t>(record.failureReporters.size()),
                      first ? base::Duration::zero() : now - since});
}

template <class Subject, class Reporter>
bool OutlierDetector<Subject, Reporter>::failing(const Subject& subject) const {
  const auto found = records_.find(subject);
  return found != records_.end() && found->second.failing;
}

}  // namespace walnut::control
