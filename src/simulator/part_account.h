#pragma once
/// @file
/// Judges what becomes of requests whose prompts share a part that crashes workers, and of sound
/// ones beside.

#include <cstdint>
#include <string>
#include <vector>

#include "walnut/base/time.h"

namespace walnut::simulator {

/// A first try of a sound request whose first part is that of requests with a crashing part, sent
/// to a gateway in touch.
struct SoundTry {
  base::TimePoint sentAt;
  bool begun = false;
};

class PartAccount {
 public:
  struct Count {
    std::uint64_t sent = 0;
    std::uint64_t begun = 0;

    void add(const SoundTry& attempt) {
      ++sent;
      begun += attempt.begun ? 1 : 0;
    }
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

  /// @return true if sound requests with the same first part had to begin then: from twice the
  /// contact time after the fifth crash, or the last one if there were fewer. It is settled once
  /// there are no more crashes.
  bool soundHadToBegin(base::TimePoint at) const;
  /// @return true if workers had begun to crash then, and sound requests did not have to begin yet.
  bool wasNew(base::TimePoint at) const {
    return crashes_ > 0 && at >= firstCrashAt_ && !soundHadToBegin(at);
  }
  /// @name Sound tries
  /// @{
  /// Adds one from before any disruption.
  void addBefore(const SoundTry& attempt) { before_.add(attempt); }
  /// Adds one that had to begin.
  void addBeside(const SoundTry& attempt) { beside_.add(attempt); }
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
  base::TimePoint firstCrashAt_;
  base::TimePoint lastOfAllowedAt_;  ///< Of the fifth crash, or the last one so far.
  Count before_;
  Count beside_;
};

}  // namespace walnut::simulator
