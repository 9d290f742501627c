#include "walnut/runtime/clock.h"

#include <ctime>
#include <random>

namespace walnut::runtime {

namespace {

constexpr std::int64_t kMicrosPerSecond = 1'000'000;
constexpr std::int64_t kNanosPerMicro = 1'000;

std::int64_t readMicros(clockid_t clock) {
  timespec value{};
  clock_gettime(clock, &value);
  return static_cast<std::int64_t>(value.tv_sec) * kMicrosPerSecond +
         value.tv_nsec / kNanosPerMicro;
}

}  // namespace

base::TimePoint now() {
  // The boot clock also counts while the machine is suspended, so that a lease that expired
  // during a suspension is recognised as expired.
  static const std::int64_t kOffset = readMicros(CLOCK_REALTIME) - readMicros(CLOCK_BOOTTIME);
  return base::fromMicros(kOffset + readMicros(CLOCK_BOOTTIME));
}

std::uint64_t randomSeed() {
  constexpr unsigned kHalfBits = 32;
  std::random_device device;
  const std::uint64_t high = device();
  return (high << kHalfBits) | device();
}

}  // namespace walnut::runtime
