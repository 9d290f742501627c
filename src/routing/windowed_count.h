#pragma once
/// @file
/// Counts events over a sliding window.

#include <cstdint>
#include <deque>

#include "walnut/base/time.h"

namespace walnut::routing {

/// Counts events in buckets of one second, each of which is dropped as a whole.
class WindowedCount {
 public:
  static constexpr base::Duration kBucketWidth = std::chrono::seconds(1);

  /// @param keptFor age of a bucket's first event at which the bucket is dropped: its last event is
  /// up to `kBucketWidth` younger.
  explicit WindowedCount(base::Duration keptFor) : keptFor_(keptFor) {}

  void add(base::TimePoint now);
  std::uint64_t total(base::TimePoint now);
  std::size_t bucketCount() const { return buckets_.size(); }

 private:
  void dropOld(base::TimePoint now);

  struct Bucket {
    base::TimePoint begin;
    std::uint64_t events = 0;
  };

  const base::Duration keptFor_;
  std::deque<Bucket> buckets_;
  std::uint64_t total_ = 0;
};

}  // namespace walnut::routing
