#pragma once
/// @file
/// Outlier detection: finds the workers or engines that fail requests although they report that
/// they are healthy, from the outcomes that all gateways or routers report.

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

/// Weight of one attempt in the failure share. With this value, three failures in a row eject a
/// subject that was healthy, and two eject one that nobody has seen succeed. A much lower weight
/// (longer memory) needs several more requests to find the failing worker of a rarely requested
/// model; with a much higher one, the stray errors of healthy workers (a few per cent) would eject
/// several of a hundred workers each minute.
inline constexpr double kAttemptWeight = 0.25;
/// Initial failure share of a subject without any outcome: a subject that has not been seen to
/// succeed is trusted less.
inline constexpr double kInitialFailureShare = 0.2;
inline constexpr double kEjectionFailureShare = 0.5;
/// A subject is ejected only if its failure share exceeds that of the rest of its service by this
/// much.
inline constexpr double kMinExcessFailureShare = 0.35;
/// A subject with a failure share below this value counts as healthy again.
inline constexpr double kHealthyFailureShare = 0.25;
/// Failure share given to a subject when its ejection ends: its next failure ejects it again.
inline constexpr double kReturnFailureShare = 0.45;
/// At most this fraction of a service's workers is ejected: the remaining ones could not carry the
/// load of more.
inline constexpr double kMaxEjectedFraction = 0.5;
/// Minimum number of reporters that must have seen a subject fail. A single reporter may be the
/// faulty one itself.
inline constexpr std::size_t kMinReporters = 2;
/// A reporter that gets no answer from anybody and fails at this many subjects that are not ejected
/// has most likely lost its own links.
inline constexpr std::size_t kCutOffFailedSubjects = 2;
/// @name Ejection time
/// The first ejection lasts the base time. The time doubles with each further ejection, up to a
/// maximum number of doublings. Returning a worker that still fails costs one or two attempts; a
/// worker that has recovered gets no work until its ejection ends.
/// @{
inline constexpr base::Duration kBaseEjectionTime = std::chrono::seconds(4);
inline constexpr std::uint32_t kMaxDoublings = 2;
/// @}
/// Outcomes older than this, without any since, are no longer used to judge a subject.
inline constexpr base::Duration kOutcomeLifetime = std::chrono::seconds(30);

/// A subject at its concurrency limit that answers nothing for this long is considered hung. A
/// working one starts another request within a fraction of a second, as others end.
inline constexpr base::Duration kHangTimeout = std::chrono::seconds(3);

}  // namespace outlier

/// Tracks the failure share of each subject and decides which subjects to eject. The leader owns
/// it; it is empty at the start of each leadership. Each reporter sends the outcomes of its own
/// attempts, because a single reporter sees too few attempts per subject.
///
/// A subject counts as failing, and is ejected, once at least half of its latest attempts failed
/// and clearly more than those of the others of its group: if all fail alike, avoiding one of them
/// gains nothing. A single reporter, unless it is the only one, never causes an ejection, because
/// the reporter itself may be faulty. Nor do reporters that get no answers where others do: several
/// may be cut off from the subjects together. An ejection ends after its ejection time, so that the
/// subject gets requests again, or as soon as attempts that were made in spite of it succeed.
///
/// @tparam Subject id of a worker or an engine.
/// @tparam Reporter id of the process that makes the attempts.
template <class Subject, class Reporter>
class OutlierDetector {
 public:
  /// Outcomes of the attempts of one reporter at one subject since its last report.
  struct Outcomes {
    Subject subject;
    std::uint32_t answered = 0;
    std::uint32_t failed = 0;
    /// Attempts that failed while the subject was at its concurrency limit. They count as failures
    /// only if the subject answers nobody.
    std::uint32_t stalled = 0;
  };
  /// A subject was ejected or returned, with the figures that led to the decision.
  struct Change {
    Subject subject;
    bool failing = false;
    double share = 0;               ///< Failure share of the subject.
    double othersFailureShare = 0;  ///< Average failure share of the others of its group.
    std::uint32_t reporters = 0;    ///< Number of reporters that have seen it fail.
    /// Time since the previous ejection or return; 0 if there was none.
    base::Duration heldFor{0};
  };

  void report(Reporter reporter, const Outcomes& outcomes, base::TimePoint now);
  /// @return true if a review may eject or return a subject, so that one is due.
  bool isReviewDue(base::TimePoint now) const;
  /// Ejects and returns subjects.
  /// @param groups subjects that can serve the same requests, by group name.
  /// @param reporters number of known reporters.
  void review(const std::map<std::string_view, std::vector<Subject>>& groups, std::size_t reporters,
              base::TimePoint now);
  /// Removes all subjects for which the predicate is true.
  template <class Predicate>
  void forgetIf(Predicate predicate) {
    std::erase_if(records_, [&predicate](const auto& entry) { return predicate(entry.first); });
    for (auto& [reporter, subjects] : failedSince_) {
      std::erase_if(subjects, predicate);
    }
  }

  void forgetReporter(Reporter reporter) { failedSince_.erase(reporter); }

  bool failing(const Subject& subject) const;
  /// @return true if the reporter's attempts fail wherever it makes them.
  bool seemsCutOff(Reporter reporter) const;
  /// @return ejections and returns since the last call.
  std::vector<Change> takeChanges() { return std::exchange(changes_, {}); }

 private:
  struct Record {
    double share = 0;
    /// Time of the latest report with attempts; zero if there was none.
    base::TimePoint reportedAt;
    base::TimePoint answeredAt;  ///< Time of the latest success; without one, of the first report.
    std::set<Reporter> failureReporters;  ///< Reporters that have seen it fail.
    bool failing = false;
    base::TimePoint changedAt;     ///< Time of the last ejection or return; zero if there was none.
    base::TimePoint ejectedUntil;  ///< End of the current ejection.
    std::uint32_t ejections = 0;   ///< Ejections since it was last healthy.
  };

  void recordReporter(Reporter reporter, const Outcomes& outcomes);
  std::size_t credibleReporters(const Record& record) const;
  void reviewGroup(const std::vector<Subject>& subjects, std::size_t reporters,
                   base::TimePoint now);
  void endEjection(const Subject& subject, Record& record, base::TimePoint now);
  void eject(const Subject& subject, Record& record, double othersFailureShare,
             base::TimePoint now);
  void recordChange(const Subject& subject, Record& record, double othersFailureShare,
                    base::TimePoint now);

  std::map<Subject, Record> records_;  ///< Subjects with reported outcomes.
  /// By reporter, the subjects that failed it since it last had an answer from any; without those
  /// that were ejected, since which it is known why.
  std::map<Reporter, std::set<Subject>> failedSince_;
  bool needsReview_ = false;  ///< Outcomes have arrived that may eject or return a subject.
  std::vector<Change> changes_;
};

template <class Subject, class Reporter>
void OutlierDetector<Subject, Reporter>::report(Reporter reporter, const Outcomes& outcomes,
                                                base::TimePoint now) {
  recordReporter(reporter, outcomes);
  if (seemsCutOff(reporter)) {
    return;
  }
  const auto [found, added] = records_.try_emplace(outcomes.subject);
  Record& record = found->second;
  if (added || outcomes.answered > 0) {
    record.answeredAt = now;
  }
  const bool isHung = now > record.answeredAt + outlier::kHangTimeout;
  const std::uint32_t failures = outcomes.failed + (isHung ? outcomes.stalled : 0);
  const std::uint32_t attempts = outcomes.answered + failures;
  if (attempts == 0) {
    return;
  }
  if (now > record.reportedAt + outlier::kOutcomeLifetime) {
    record.share = outlier::kInitialFailureShare;
    record.failureReporters.clear();
  }
  record.reportedAt = now;
  const double failed = static_cast<double>(failures) / attempts;
  const double retainedWeight = std::pow(1 - outlier::kAttemptWeight, attempts);
  record.share = retainedWeight * record.share + (1 - retainedWeight) * failed;
  if (failures > 0) {
    record.failureReporters.insert(reporter);
  }
  if (record.share < outlier::kHealthyFailureShare) {
    record.failureReporters.clear();
    record.ejections = record.failing ? record.ejections : 0;
  }
  needsReview_ = needsReview_ || record.failing || record.share >= outlier::kEjectionFailureShare;
}

template <class Subject, class Reporter>
void OutlierDetector<Subject, Reporter>::recordReporter(Reporter reporter,
                                                        const Outcomes& outcomes) {
  if (outcomes.answered > 0) {
    failedSince_.erase(reporter);
  } else if (outcomes.failed > 0) {
    failedSince_[reporter].insert(outcomes.subject);
  }
}

template <class Subject, class Reporter>
bool OutlierDetector<Subject, Reporter>::seemsCutOff(Reporter reporter) const {
  const auto found = failedSince_.find(reporter);
  return found != failedSince_.end() && found->second.size() >= outlier::kCutOffFailedSubjects;
}

/// @return the number of reporters that have seen it fail and do not seem cut off.
template <class Subject, class Reporter>
std::size_t OutlierDetector<Subject, Reporter>::credibleReporters(const Record& record) const {
  const auto credible =
      std::count_if(record.failureReporters.begin(), record.failureReporters.end(),
                    [this](const Reporter& reporter) { return !seemsCutOff(reporter); });
  return static_cast<std::size_t>(credible);
}

template <class Subject, class Reporter>
bool OutlierDetector<Subject, Reporter>::isReviewDue(base::TimePoint now) const {
  return needsReview_ || std::any_of(records_.begin(), records_.end(), [now](const auto& entry) {
           return entry.second.failing && now >= entry.second.ejectedUntil;
         });
}

template <class Subject, class Reporter>
void OutlierDetector<Subject, Reporter>::review(
    const std::map<std::string_view, std::vector<Subject>>& groups, std::size_t reporters,
    base::TimePoint now) {
  needsReview_ = false;
  for (const auto& [group, subjects] : groups) {
    reviewGroup(subjects, reporters, now);
  }
}

template <class Subject, class Reporter>
void OutlierDetector<Subject, Reporter>::reviewGroup(const std::vector<Subject>& subjects,
                                                     std::size_t reporters, base::TimePoint now) {
  std::vector<std::pair<Subject, Record*>> healthy;
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
      healthy.emplace_back(subject, &record);
      shares += record.share;
    }
  }
  // Highest failure share first: once it is ejected, the next one is compared with a healthier
  // rest.
  std::sort(healthy.begin(), healthy.end(), [](const auto& left, const auto& right) {
    return left.second->share > right.second->share;
  });
  const std::size_t minReporters = std::min(outlier::kMinReporters, reporters);
  const double maxFailing = outlier::kMaxEjectedFraction * static_cast<double>(subjects.size());
  std::size_t healthyCount = healthy.size();
  for (const auto& [subject, record] : healthy) {
    if (record->share < outlier::kEjectionFailureShare ||
        static_cast<double>(failing + 1) > maxFailing) {
      return;
    }
    const double othersFailureShare =
        healthyCount <= 1 ? 0 : (shares - record->share) / static_cast<double>(healthyCount - 1);
    if (record->share >= othersFailureShare + outlier::kMinExcessFailureShare &&
        credibleReporters(*record) >= minReporters) {
      eject(subject, *record, othersFailureShare, now);
      shares -= record->share;
      --healthyCount;
      ++failing;
    }
  }
}

template <class Subject, class Reporter>
void OutlierDetector<Subject, Reporter>::endEjection(const Subject& subject, Record& record,
                                                     base::TimePoint now) {
  const bool isHealthy = record.share < outlier::kHealthyFailureShare;
  if (!isHealthy && now < record.ejectedUntil) {
    return;
  }
  record.failing = false;
  if (isHealthy) {
    record.ejections = 0;
  } else {
    record.share = outlier::kReturnFailureShare;
  }
  recordChange(subject, record, 0, now);
}

template <class Subject, class Reporter>
void OutlierDetector<Subject, Reporter>::eject(const Subject& subject, Record& record,
                                               double othersFailureShare, base::TimePoint now) {
  record.failing = true;
  record.ejectedUntil =
      now + outlier::kBaseEjectionTime * (1U << std::min(record.ejections, outlier::kMaxDoublings));
  ++record.ejections;
  for (auto& [reporter, subjects] : failedSince_) {
    subjects.erase(subject);
  }
  recordChange(subject, record, othersFailureShare, now);
}

template <class Subject, class Reporter>
void OutlierDetector<Subject, Reporter>::recordChange(const Subject& subject, Record& record,
                                                      double othersFailureShare,
                                                      base::TimePoint now) {
  const bool first = record.changedAt == base::TimePoint();
  const base::TimePoint since = std::exchange(record.changedAt, now);
  changes_.push_back({subject, record.failing, record.share, othersFailureShare,
                      static_cast<std::uint32_t>(record.failureReporters.size()),
                      first ? base::Duration::zero() : now - since});
}

template <class Subject, class Reporter>
bool OutlierDetector<Subject, Reporter>::failing(const Subject& subject) const {
  const auto found = records_.find(subject);
  return found != records_.end() && found->second.failing;
}

}  // namespace walnut::control
