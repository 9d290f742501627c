#include "rehearsal/call_plan.h"

#include <algorithm>
#include <cmath>

#include "walnut/base/random.h"

namespace walnut::rehearsal {

namespace {

constexpr double kMicrosPerSecond = 1e6;
/// The greater, the hotter the first targets: with 3, a tenth of the targets gets about half.
constexpr double kTargetSkew = 3.0;
constexpr std::uint32_t kLeastTokens = 4;

base::Duration drawGap(base::Random& random, double rate) {
  const double micros = -std::log(1.0 - random.unit()) / rate * kMicrosPerSecond;
  return base::Duration(static_cast<std::int64_t>(micros));
}

std::size_t drawTarget(base::Random& random, std::size_t count) {
  const double place = std::pow(random.unit(), kTargetSkew) * static_cast<double>(count);
  return std::min(static_cast<std::size_t>(place), count - 1);
}

CallIntent drawIntent(base::Random& random, const CallPlanOptions& options, std::size_t number) {
  const std::string name = std::to_string(options.seed) + "-" + std::to_string(number);
  CallIntent intent;
  intent.prompt = "question " + name;
  intent.maxTokens = static_cast<std::uint32_t>(
      random.uniform(std::min(kLeastTokens, options.maxTokens), options.maxTokens));
  intent.stream = random.chance(options.streamShare);
  intent.batch = random.chance(options.batchShare);
  intent.deadline = options.deadline;
  if (random.chance(options.onceShare)) {
    intent.idempotencyKey = "key-" + name;
  }
  return intent;
}

}  // namespace

std::vector<PlannedCall> planCalls(const CallPlanOptions& options,
                                   const std::vector<Target>& targets) {
  base::Random random(options.seed);
  std::vector<PlannedCall> calls;
  base::Duration at = drawGap(random, options.rate);
  while (at < options.duration) {
    PlannedCall call;
    call.at = at;
    call.router = random.uniform(0, options.routers - 1);
    call.target = drawTarget(random, targets.size());
    call.intent = drawIntent(random, options, calls.size());
    call.intent.target = targets[call.target].name;
    calls.push_back(std::move(call));
    at += drawGap(random, options.rate);
  }
  return calls;
}

}  // namespace walnut::rehearsal
