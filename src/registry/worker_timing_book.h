#pragma once
/// @file
/// Speed and prompt load of workers, estimated from the measurements of all gateways together.

#include <cmath>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "walnut/registry/prompt_time_fit.h"
#include "walnut/registry/timing_messages.h"

namespace walnut::registry {

/// Exponentially decaying sum of weighted values.
class DecayingSum {
 public:
  void add(double value, double weight, base::TimePoint now, double decaySeconds) {
    const double factor = factorAt(now, decaySeconds);
    sum_ = sum_ * factor + value * weight;
    weight_ = weight_ * factor + weight;
    updatedAt_ = now;
  }
  double sum(base::TimePoint now, double decaySeconds) const {
    return sum_ * factorAt(now, decaySeconds);
  }
  /// @return the mean of the values and of `prior`, which counts as `priorWeight`.
  double mean(base::TimePoint now, double decaySeconds, double prior, double priorWeight) const {
    const double factor = factorAt(now, decaySeconds);
    return (sum_ * factor + prior * priorWeight) / (weight_ * factor + priorWeight);
  }

 private:
  double factorAt(base::TimePoint now, double decaySeconds) const {
    return std::exp(-std::chrono::duration<double>(now - updatedAt_).count() / decaySeconds);
  }

  double sum_ = 0;
  double weight_ = 0;
  base::TimePoint updatedAt_;
};

/// Estimates of the workers of services whose replicas are slow to add; the leader has one.
///
/// Each sample gives the ratio of the measured time to the time that the service's fit expects for
/// its prompt tokens and for the prompts that the worker was reading. Logarithms of these ratios
/// are averaged twice: over some ten seconds for the lasting speed of the worker, and over less
/// than a second for a temporary slowness, with the former as the prior of the latter. The mean of
/// logarithms limits the influence of single long waits.
///
/// A new leader starts without estimates. An estimate ends with its worker's incarnation.
class WorkerTimingBook {
 public:
  /// Least time between two publications.
  static constexpr base::Duration kInterval = std::chrono::milliseconds(250);
  /// Longest span of a report. A longer one is of a gateway that was suspended, whose times include
  /// the suspension.
  static constexpr base::Duration kMaxSpan = std::chrono::seconds(2);

  /// Returns the service of a worker; null if it is unknown or its service is not measured.
  using ServiceOf = std::function<const std::string*(const WorkerId&)>;

  struct Taken {
    bool tooOld = false;         ///< The whole report was ignored.
    std::size_t impossible = 0;  ///< Samples that were ignored, as they can't be true.
  };
  Taken report(const WorkerTimingReport& report, const ServiceOf& serviceOf, base::TimePoint now);
  void forget(const WorkerId& worker);
  /// Forgets the workers of services for which `measured` returns false.
  void forgetServices(const std::function<bool(const std::string&)>& measured);

  /// A change of a worker's slowness by more than half.
  struct Change {
    WorkerTiming timing;
    std::uint32_t formerPercent = 100;
    std::uint64_t samples = 0;  ///< Streams measured since the last change.
    std::uint64_t pauses = 0;   ///< Streams that paused for too long since the last change.
  };
  bool reviewDue(base::TimePoint now) const { return now >= nextReview_; }
  /// Updates the published figures.
  /// @return the changes to log: at most one for each worker in `kLogInterval`.
  std::vector<Change> review(base::TimePoint now);
  /// @param revision the last one sent to a gateway; 0: none. It is advanced.
  /// @return the figures published since; nothing if there are none.
  std::optional<WorkerTimings> takeUpdate(std::uint64_t& revision) const;

  /// @return the maxima of the published figures; zero if there are none.
  WorkerTimingMaxima maxima() const;

 private:
  static constexpr base::Duration kLogInterval = std::chrono::seconds(5);

  struct Outlier {
    double ratio = 0;
    double weight = 0;
    bool above = false;
    base::TimePoint at;
  };
  struct Estimate {
    std::string service;
    DecayingSum lasting;             ///< Logarithms of time ratios.
    DecayingSum recent;              ///< The same over less than a second.
    std::optional<Outlier> outlier;  ///< The last sample, if it differed much from the estimate.
    DecayingSum tokens;              ///< Prompt tokens of the streams that began.
    std::optional<WorkerTiming> published;
    std::uint64_t revision = 0;  ///< Of the last change of `published`.
    std::uint32_t loggedPercent = 100;
    base::TimePoint loggedAt;
    std::uint64_t samples = 0;
    std::uint64_t pauses = 0;
  };

  void add(const WorkerTimingSample& sample, const std::string& service, base::TimePoint now);
  static void addRecent(Estimate& estimate, double ratio, double weight, base::TimePoint now);
  static double logSlowness(const Estimate& estimate, base::TimePoint now);
  double promptShare(const Estimate& estimate, base::TimePoint now) const;
  std::map<std::string, double> medians(base::TimePoint now) const;
  void publish(Estimate& estimate, const WorkerTiming& timing);

  std::map<std::string, PromptTimeFit> fits_;  ///< By service.
  std::map<WorkerId, Estimate> estimates_;
  std::uint64_t revision_ = 0;
  base::TimePoint nextReview_;
};

}  // namespace walnut::registry
