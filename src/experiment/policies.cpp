#include "experiment/policies.h"

namespace walnut::experiment {

namespace {

constexpr std::uint32_t kMinute = 60;
/// Idle seconds for a cold-start second, for the learned curve.
constexpr std::uint32_t kPrices[] = {0, 3, 12, 40, 120, 300, 1000, 4000};

NamedPolicy fixed(const std::string& name, std::uint32_t seconds) {
  NamedPolicy policy{name, name, {}};
  policy.budget.idleUnloadSeconds = seconds;
  policy.budget.coldStartWeight = 0;
  return policy;
}

}  // namespace

std::vector<NamedPolicy> allPolicies(std::uint32_t coldStartTargetSeconds) {
  std::vector<NamedPolicy> policies = {fixed("unload-at-once", 0), fixed("idle-1-min", kMinute),
                                       fixed("idle-10-min", 10 * kMinute),
                                       fixed("idle-60-min", 60 * kMinute)};
  NamedPolicy resident{"all-loaded", "all-loaded", {}};
  resident.budget.keepAlive = resource::KeepAlive::resident;
  policies.push_back(resident);
  for (const std::uint32_t price : kPrices) {
    NamedPolicy learned{std::string(kLearned) + "-" + std::to_string(price), kLearned, {}};
    learned.budget.keepAlive = resource::KeepAlive::learned;
    learned.budget.idleSecondsPerColdSecond = price;
    learned.budget.coldStartTargetSeconds = coldStartTargetSeconds;
    policies.push_back(learned);
  }
  return policies;
}

std::vector<NamedPolicy> policiesNamed(const std::string& name,
                                       std::uint32_t coldStartTargetSeconds) {
  std::vector<NamedPolicy> chosen;
  for (NamedPolicy& policy : allPolicies(coldStartTargetSeconds)) {
    if (name == "all" || name == policy.name || name == policy.family) {
      chosen.push_back(std::move(policy));
    }
  }
  return chosen;
}

}  // namespace walnut::experiment
