#include "experiment/workload.h"

#include <algorithm>
#include <array>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/geometric_distribution.hpp>
#include <cmath>

#include "walnut/base/random.h"

namespace walnut::experiment {

namespace {

using engine::Priority;

constexpr base::TimePoint kMidnight = base::fromMicros(1'764'633'600'000'000);
constexpr double kHour = 3600;
constexpr double kDay = 24 * kHour;
/// How long a person waits.
constexpr double kInteractiveDeadline = 60;

/// Relative rate of people's requests by the hour: quiet nights, two peaks.
constexpr std::array<double, 24> kHours = {0.15, 0.1, 0.08, 0.08, 0.1, 0.2, 0.5, 0.9,
                                           1.4,  1.7, 1.8,  1.7,  1.4, 1.5, 1.7, 1.6,
                                           1.4,  1.2, 1.1,  1.2,  1.2, 0.9, 0.6, 0.3};
constexpr double kPeak = 1.8;

/// Of every ten targets by popularity: the first is in use all day long.
constexpr double kSteadyShare = 0.08;
/// Of the others, this part is called by timers.
constexpr double kTimedShare = 0.2;
constexpr double kSteadyPerHour = 240;  ///< Of the most popular one; falls by Zipf's law.
constexpr double kSessionsPerDay = 10;  ///< Of the most popular sleeping one; likewise.
constexpr double kLeastSessionsPerDay = 0.7;
constexpr double kSessionRequests = 6;
constexpr double kSessionGapSeconds = 70;
constexpr std::array<double, 4> kTimerMinutes = {20, 45, 90, 180};
constexpr double kTimerJitterSeconds = 40;
constexpr std::uint32_t kBurstsPerDay = 8;
constexpr std::uint64_t kBurstLeast = 15;
constexpr std::uint64_t kBurstMost = 60;
constexpr double kBurstSeconds = 4;
constexpr std::uint32_t kBatchesPerNight = 12;
constexpr std::uint64_t kBatchLeast = 60;
constexpr std::uint64_t kBatchMost = 240;
constexpr double kBatchDue = 6.5 * kHour;
constexpr std::uint32_t kSlowdownsPerDay = 3;

base::Duration seconds(double value) {
  return base::Duration(static_cast<std::int64_t>(value * 1e6));
}

class Generator {
 public:
  Generator(const Scenario& scenario, std::uint32_t days, std::uint64_t seed)
      : scenario_(scenario), days_(days), random_(seed) {
    workload_.begin = kMidnight;
    workload_.end = kMidnight + seconds(kDay * days);
  }

  Workload run() {
    drawPopularity();
    for (std::size_t rank = 0; rank < order_.size(); ++rank) {
      drawTarget(rank);
    }
    for (std::uint32_t day = 0; day < days_; ++day) {
      drawBursts(day);
      drawBatches(day);
      drawSlowdowns(day);
    }
    std::stable_sort(
        workload_.requests.begin(), workload_.requests.end(),
        [](const Request& one, const Request& other) { return one.arrival < other.arrival; });
    return std::move(workload_);
  }

 private:
  void drawPopularity() {
    order_.resize(scenario_.targets.size());
    for (std::size_t index = 0; index < order_.size(); ++index) {
      order_[index] = index;
    }
    for (std::size_t index = order_.size(); index-- > 1;) {
      std::swap(order_[index], order_[random_.uniform(0, index)]);
    }
  }

  double exponential(double mean) {
    return boost::random::exponential_distribution<double>(1 / mean)(random_.engine());
  }

  void drawTarget(std::size_t rank) {
    const auto steady = static_cast<std::size_t>(kSteadyShare * static_cast<double>(order_.size()));
    if (rank < steady) {
      drawSteady(order_[rank], kSteadyPerHour / static_cast<double>(rank + 1));
    } else if (random_.chance(kTimedShare)) {
      drawTimer(order_[rank]);
    } else {
      const double perDay = kSessionsPerDay / std::sqrt(static_cast<double>(rank - steady + 1));
      drawSessions(order_[rank], std::max(kLeastSessionsPerDay, perDay));
    }
  }

  /// @return true if a draw at the peak's rate is one at this time, too.
  bool atThisHour(double at) {
    const auto hour = static_cast<std::size_t>(std::fmod(at, kDay) / kHour);
    return random_.chance(kHours.at(hour) / kPeak);
  }

  void drawSteady(std::size_t target, double perHour) {
    for (double at = exponential(kHour / perHour / kPeak); at < total();
         at += exponential(kHour / perHour / kPeak)) {
      if (atThisHour(at)) {
        add(at, target, Priority::interactive);
      }
    }
  }

  void drawSessions(std::size_t target, double perDay) {
    for (double at = exponential(kDay / perDay / kPeak); at < total();
         at += exponential(kDay / perDay / kPeak)) {
      if (!atThisHour(at)) {
        continue;
      }
      const int more =
          boost::random::geometric_distribution<int>(1 / kSessionRequests)(random_.engine());
      double requestAt = at;
      for (int number = 0; number <= more; ++number) {
        add(requestAt, target, Priority::interactive);
        requestAt += exponential(kSessionGapSeconds);
      }
    }
  }

  void drawTimer(std::size_t target) {
    const double period = kTimerMinutes.at(random_.uniform(0, kTimerMinutes.size() - 1)) * 60;
    for (double at = random_.unit() * period; at < total(); at += period) {
      add(at + random_.unit() * kTimerJitterSeconds, target, Priority::interactive);
    }
  }

  void drawBursts(std::uint32_t day) {
    for (std::uint32_t number = 0; number < kBurstsPerDay; ++number) {
      const double at = kDay * day + (8 + 12 * random_.unit()) * kHour;
      const std::size_t target = order_[random_.uniform(0, order_.size() - 1)];
      const std::uint64_t size = random_.uniform(kBurstLeast, kBurstMost);
      for (std::uint64_t request = 0; request < size; ++request) {
        add(at + random_.unit() * kBurstSeconds, target, Priority::interactive);
      }
    }
  }

  void drawBatches(std::uint32_t day) {
    for (std::uint32_t number = 0; number < kBatchesPerNight; ++number) {
      const double at = kDay * day + (0.5 + 3 * random_.unit()) * kHour;
      const std::size_t target = order_[random_.uniform(0, order_.size() - 1)];
      const std::uint64_t size = random_.uniform(kBatchLeast, kBatchMost);
      const std::size_t router = random_.uniform(0, scenario_.routers - 1);
      for (std::uint64_t request = 0; request < size; ++request) {
        add(at + static_cast<double>(request) * 0.01, target, Priority::batch, router);
      }
    }
  }

  void drawSlowdowns(std::uint32_t day) {
    for (std::uint32_t number = 0; number < kSlowdownsPerDay; ++number) {
      const double at = kDay * day + random_.unit() * kDay;
      const double length = (5 + 25 * random_.unit()) * 60;
      workload_.slowdowns.push_back(
          {kMidnight + seconds(at), kMidnight + seconds(at + length), 1.5 + 2.5 * random_.unit()});
    }
  }

  void add(double at, std::size_t target, Priority priority,
           std::optional<std::size_t> router = std::nullopt) {
    if (at >= total()) {
      return;
    }
    Request request;
    request.arrival = kMidnight + seconds(at);
    const double morning = std::floor(at / kDay) * kDay + kBatchDue;
    request.deadline = priority == Priority::batch
                           ? kMidnight + seconds(morning)
                           : request.arrival + seconds(kInteractiveDeadline);
    request.target = target;
    request.router = router ? *router : random_.uniform(0, scenario_.routers - 1);
    request.priority = priority;
    request.chunks = static_cast<std::uint32_t>(random_.uniform(2, 8));
    workload_.requests.push_back(request);
  }

  double total() const { return kDay * days_; }

  const Scenario& scenario_;
  std::uint32_t days_;
  base::Random random_;
  Workload workload_;
  std::vector<std::size_t> order_;  ///< Targets, the most popular first.
};

}  // namespace

Workload makeWorkload(const Scenario& scenario, std::uint32_t days, std::uint64_t seed) {
  return Generator(scenario, days, seed).run();
}

}  // namespace walnut::experiment
