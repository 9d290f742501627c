#include "simulator/crash_moment.h"

namespace walnut::simulator {

namespace {

constexpr std::uint64_t kSeedOffset = 0x9e3779b97f4a7c15U;
constexpr std::uint64_t kMostEvents = 4;
constexpr base::Duration kLongestCrashTime = std::chrono::milliseconds(400);

}  // namespace

void drawCrashMoment(std::uint64_t seed, CrashMoment moment, ServingFleetOptions& options) {
  if (moment == CrashMoment::beforeEvents) {
    return;
  }
  base::Random random(seed + kSeedOffset);
  options.crashingShowsHead = random.chance(0.5);
  options.worker.crashEvents = static_cast<std::uint32_t>(random.uniform(0, kMostEvents));
  options.worker.crashTime = random.between(base::Duration::zero(), kLongestCrashTime);
}

}  // namespace walnut::simulator
