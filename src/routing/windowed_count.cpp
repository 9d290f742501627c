#include "routing/windowed_count.h"

namespace walnut::routing {

void WindowedCount::dropOld(base::TimePoint now) {
  while (!buckets_.empty() && now - buckets_.front().begin >= keptFor_) {
    total_ -= buckets_.front().events;
    buckets_.pop_front();
  }
}

void WindowedCount::add(base::TimePoint now) {
  dropOld(now);
  if (buckets_.empty() || now - buckets_.back().begin >= kBucketWidth) {
    buckets_.push_back({now, 0});
  }
  ++buckets_.back().events;
  ++total_;
}

std::uint64_t WindowedCount::total(base::TimePoint now) {
  dropOld(now);
  return total_;
}

}  // namespace walnut::routing
