#pragma once
/// @file
/// Judges what becomes of requests whose prompts share a part that crashes workers, and of sound
/// ones beside.

#include <cstdint>
#include <string>

#include "walnut/base/time.h"

namespace walnut::simulator {

class PartAccount {
 public:
  struct Count {
    std::uint64_t sent = 0;
    std::uint64_t begun = 0;

    double share() const {
      return sent == 0 ? 1 : static_cast<double>(begun) / static_cast<double>(sent);
    }
  };

  /// @param contact time within which what one gateway learns is known to all in touch.
  explicit PartAccount(base::Duration contact) : contact_(contact) {}

  /// A worker has crashed under the part.
  void crashed(base::TimePoint now);
  /// A request with the part has reached a worker.
  /// @param inTouch its gateway was in touch when it sent it.
  void arrived(base::TimePoint sentAt, bool inTouch);

  /// @return true if sound requests with the same first part have to begin by now.
  bool soundHaveToBegin(base::TimePoint now) const;
  /// @return true if workers have begun to crash, and sound requests need not begin yet.
  bool isNew(base::TimePoint now) const { return crashes_ > 0 && !soundHaveToBegin(now); }
  /// @name Sound requests with the same first part, sent for the first time to a gateway in touch
  /// @{
  /// Those before any disruption.
  void setBefore(const Count& before) { before_ = before; }
  /// Those while `soundHaveToBegin`.
  Count& beside() { return beside_; }
  /// @}

  std::uint64_t crashes() const { return crashes_; }
  std::uint64_t lateSends() const { return lateSends_; }
  /// @return true if requests with the part kept reaching workers.
  bool keepsReachingWorkers() const { return lateSends_ > kMostLateSends; }
  /// @return true if sound requests with the same first part begin too seldom.
  bool keepsSoundOnesOut() const;
  std::string description() const;

 private:
  static constexpr std::uint64_t kCrashesAllowed = 5;
  static constexpr std::uint64_t kMostLateSends = 3;
  static constexpr std::uint64_t kLeastCompared = 20;

  const base::Duration contact_;
  std::uint64_t crashes_ = 0;
  std::uint64_t sends_ = 0;
  std::uint64_t lateSends_ = 0;
  base::TimePoint lastOfAllowed_ = base::kNever;  ///< When the last crash that is allowed came.
  Count before_;
  Count beside_;
};

}  // namespace walnut::simulator
