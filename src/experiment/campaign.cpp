#include "experiment/campaign.h"

#include <atomic>
#include <mutex>
#include <thread>

#include "experiment/world.h"

namespace walnut::experiment {

namespace {
/// The first day fills the caches and lets the policy learn.
constexpr std::uint32_t kDaysBefore = 1;
}  // namespace

Figures runPolicy(const simulator::Deployment& deployment, const NamedPolicy& policy,
                  std::uint32_t days, std::uint64_t seed) {
  const Scenario scenario = makeScenario(deployment, policy.budget, seed);
  const Workload workload = makeWorkload(scenario, kDaysBefore + days, seed);
  World world(scenario, workload, seed);
  Figures figures = world.run(workload.begin + std::chrono::hours(24) * kDaysBefore);
  figures.policy = policy.name;
  figures.seed = seed;
  return figures;
}

std::vector<Figures> runCampaign(const CampaignOptions& options,
                                 const std::function<void(const Figures&)>& finished) {
  const std::size_t seeds = options.lastSeed - options.firstSeed + 1;
  std::vector<Figures> all(options.policies.size() * seeds);
  std::atomic<std::size_t> next{0};
  std::mutex mutex;
  const auto work = [&] {
    for (std::size_t run = next.fetch_add(1); run < all.size(); run = next.fetch_add(1)) {
      const NamedPolicy& policy = options.policies[run / seeds];
      all[run] =
          runPolicy(*options.deployment, policy, options.days, options.firstSeed + run % seeds);
      const std::lock_guard<std::mutex> lock(mutex);
      finished(all[run]);
    }
  };
  std::vector<std::thread> threads;
  for (unsigned job = 1; job < options.jobs; ++job) {
    threads.emplace_back(work);
  }
  work();
  for (std::thread& thread : threads) {
    thread.join();
  }
  return all;
}

}  // namespace walnut::experiment
