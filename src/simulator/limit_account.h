#pragma once
/// @file
/// Judges whether gateways together keep the request rates that workers name, from what the workers
/// saw.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "walnut/base/time.h"

namespace walnut::simulator {

/// The window that holds most beyond what its limit allows.
struct LimitWindow {
  std::string worker;
  std::uint64_t arrivals = 0;
  double allowed = 0;
  base::TimePoint end;

  bool broken() const { return static_cast<double>(arrivals) > allowed; }
};

/// A worker names a limit in its answers for some time: a spell. From `kContact` after the first
/// answer of a spell that a gateway was handed, no window may hold more than `kFactor` times what
/// the limit allows and `kSlack` requests, of gateways that had been handed such an answer
/// `kToldBefore` earlier.
class LimitAccount {
 public:
  static constexpr base::Duration kContact = std::chrono::seconds(3);
  static constexpr base::Duration kWindow = std::chrono::seconds(4);
  static constexpr base::Duration kToldBefore = std::chrono::milliseconds(500);
  static constexpr double kFactor = 1.5;
  static constexpr double kSlack = 5;

  /// The worker names that limit from now on.
  void limitSet(const std::string& worker, double perSecond, base::TimePoint now);
  void limitEnded(const std::string& worker, base::TimePoint now);
  /// A gateway was handed an answer that names the limit.
  /// @param gateway one life of it.
  void told(const std::string& worker, std::uint64_t gateway, base::TimePoint now);
  /// @param excused the gateway was restarted, suspended or cut off lately.
  void arrived(const std::string& worker, std::uint64_t gateway, bool excused, base::TimePoint now);

  LimitWindow worst() const;
  /// @return arrivals at limited workers from `kContact` after their limits were named, as a share
  /// of what the limits take.
  double used(base::TimePoint now) const;
  std::uint64_t arrivals() const { return arrivals_; }

 private:
  struct Rate {
    base::TimePoint from;
    double perSecond = 0;
  };
  struct Spell {
    std::string worker;
    std::vector<Rate> rates;
    base::TimePoint begin;
    base::TimePoint end = base::kNever;
    base::TimePoint toldFirst = base::kNever;
    std::map<std::uint64_t, base::TimePoint> told;  ///< By gateway, when it was first.
    std::vector<base::TimePoint> counted;           ///< Arrivals that the bound is about.
    std::uint64_t all = 0;                          ///< Arrivals once the bound holds.
  };

  Spell* open(const std::string& worker);
  static double highestRate(const Spell& spell, base::TimePoint from, base::TimePoint until);

  std::vector<Spell> spells_;
  std::map<std::string, std::size_t> open_;  ///< By worker, its present spell.
  std::uint64_t arrivals_ = 0;
};

}  // namespace walnut::simulator
