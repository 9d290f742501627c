#pragma once
/// @file
/// Stand-in weight store: loads a second, concurrent reads at full speed, bytes a second.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "walnut/base/time.h"

namespace walnut::standin {

/// Identifies a read; given by the driver.
using ReadId = std::uint64_t;

struct WeightStoreOptions {
  double loadsPerSecond = 2.0;         ///< Reads begun; others wait their turn.
  std::uint32_t fullSpeedStreams = 8;  ///< With more at once, the streams share their bandwidth.
  std::uint64_t bytesPerSecond = 1ULL << 30U;  ///< Of one stream at full speed.
};

/// A read has ended.
struct FinishedRead {
  ReadId id = 0;
  std::string checkpoint;
  bool ok = true;
};

/// Deterministic. Reads begin in the order of arrival, at most `loadsPerSecond`; all that have
/// begun share the bandwidth of `fullSpeedStreams` streams evenly, none faster than one stream's
/// rate.
class WeightStore {
 public:
  explicit WeightStore(const WeightStoreOptions& options) : options_(options) {}

  void read(base::TimePoint now, ReadId id, const std::string& checkpoint, std::uint64_t bytes);
  /// Forgets a read whose reader has gone.
  void abandon(base::TimePoint now, ReadId id);
  /// Divides all rates from now on; 1 is normal. `factor` is above 0.
  void setSlowdown(base::TimePoint now, double factor);
  /// Reads fail when they would end, until set back.
  void setFailing(bool failing) { failing_ = failing; }
  /// @return the reads that have ended by `now`, in the order of their ends.
  std::vector<FinishedRead> advance(base::TimePoint now);
  base::TimePoint nextWakeup() const;

  std::size_t activeReads() const { return active_.size(); }
  std::size_t waitingReads() const { return waiting_.size(); }

 private:
  struct Read {
    ReadId id = 0;
    std::string checkpoint;
    double bytesLeft = 0;
  };

  double streamRate() const;
  base::TimePoint nextBegin() const;
  base::TimePoint nextEnd() const;
  void progressTo(base::TimePoint now);
  void beginNext(base::TimePoint now);
  void endFinished();

  WeightStoreOptions options_;
  double slowdown_ = 1.0;
  bool failing_ = false;
  base::TimePoint progressedTo_;
  base::TimePoint mayBeginAt_;  ///< Earliest time of the next begin.
  std::vector<Read> waiting_;   ///< In the order of arrival.
  std::vector<Read> active_;    ///< In the order of begin.
  std::vector<FinishedRead> finished_;
};

}  // namespace walnut::standin
