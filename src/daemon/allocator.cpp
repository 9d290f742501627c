#include "daemon/allocator.h"

#include <malloc.h>

namespace walnut::daemon {

namespace {

/// The library otherwise raises it to the size of the largest buffer that was freed.
constexpr int kMapThreshold = 128 << 10;
constexpr int kMaxArenas = 2;

}  // namespace

void limitRetainedMemory() {
  ::mallopt(M_MMAP_THRESHOLD, kMapThreshold);
  ::mallopt(M_TRIM_THRESHOLD, kMapThreshold);
  ::mallopt(M_ARENA_MAX, kMaxArenas);
}

}  // namespace walnut::daemon
