#include "simulator/serving_campaign.h"

#include <algorithm>
#include <array>
#include <sstream>

#include "simulator/serving_fleet.h"

namespace walnut::simulator {

namespace {

constexpr base::Duration kCalm = std::chrono::seconds(8);
constexpr base::Duration kTrouble = std::chrono::seconds(28);
/// Until a worker that is well again is tried: the longest hold, and some.
constexpr base::Duration kRecovery = std::chrono::seconds(18);
constexpr base::Duration kAfter = std::chrono::seconds(10);
/// Over which a model is asked for, to be counted.
constexpr base::Duration kSpan = std::chrono::seconds(8);
/// Sound workers fail some requests too, and a cold model may come too late for its first caller.
constexpr double kLeastServedAfter = 0.95;
/// Workers of the first episode; of all at one time, more than half are not avoided
/// (OutlierDetector).
constexpr double kMostFailing = 0.35;

constexpr std::array kFaults = {WorkerFault::errors, WorkerFault::hang, WorkerFault::reset};
constexpr std::array<const char*, 4> kFaultNames = {"none", "errors", "hang", "reset"};

/// Workers that begin to fail at one moment, until they are well again.
struct Episode {
  base::Duration begin{0};
  base::Duration end{0};
  std::size_t workers = 0;
  WorkerFault fault = WorkerFault::none;
};

ServingFleetOptions drawFleet(base::Random& random, std::uint64_t seed) {
  ServingFleetOptions options;
  options.seed = seed;
  options.workers = random.uniform(8, 24);
  options.gateways = random.uniform(3, 24);
  options.modelsPerWorker = random.uniform(2, 4);
  // Half of the places stay free for further replicas and for what failing workers held.
  options.models = options.workers * options.modelsPerWorker / 2 + 4;
  options.adapters = random.uniform(0, 6);
  // Most models are asked for once in some seconds.
  options.requestsPerSecond = static_cast<double>(options.models) * (0.5 + random.unit());
  options.popularShare = 0.4 + 0.3 * random.unit();
  options.unrepeatableShare = 0.5 * random.unit();
  options.worker.strayErrors = 0.03 * random.unit();
  return options;
}

std::vector<Episode> drawEpisodes(base::Random& random, std::size_t workers) {
  constexpr std::uint64_t kMostEpisodes = 3;
  const auto most = static_cast<std::size_t>(kMostFailing * static_cast<double>(workers));
  std::vector<Episode> episodes(random.uniform(1, kMostEpisodes));
  for (Episode& episode : episodes) {
    episode.begin = random.between(base::Duration::zero(), kTrouble / 2);
    episode.end = random.between(episode.begin + std::chrono::seconds(4), kTrouble);
    episode.workers = 1;
    episode.fault = kFaults.at(random.uniform(0, kFaults.size() - 1));
  }
  // The first one lasts, so that a model may be out of luck all the time.
  episodes.front().begin = base::Duration::zero();
  episodes.front().end = kTrouble;
  episodes.front().workers = std::max<std::size_t>(1, random.uniform(most / 2, most));
  return episodes;
}

}  // namespace

bool ServingCampaignResult::passed() const {
  return neverServed.empty() && servedAfter >= kLeastServedAfter;
}

ServingCampaignResult runServingCampaign(std::uint64_t seed) {
  base::Random random(seed);
  const ServingFleetOptions options = drawFleet(random, seed);
  const std::vector<Episode> episodes = drawEpisodes(random, options.workers);
  std::ostringstream text;
  text << "workers=" << options.workers << " gateways=" << options.gateways
       << " models=" << options.models;
  ServingFleet fleet(options);
  fleet.run(kCalm);
  fleet.countAnew();
  for (const Episode& episode : episodes) {
    fleet.failWorkers(episode.begin, episode.end, episode.workers, episode.fault);
    text << " " << kFaultNames.at(static_cast<std::size_t>(episode.fault)) << "="
         << episode.workers;
  }
  fleet.run(kTrouble);
  ServingCampaignResult result;
  result.neverServed = fleet.neverServed(kSpan);
  result.servedInTrouble = fleet.servedShare();
  fleet.run(kRecovery);
  fleet.countAnew();
  fleet.run(kAfter);
  result.servedAfter = fleet.servedShare();
  text << " served=" << result.servedInTrouble << " after=" << result.servedAfter;
  for (const std::string& name : result.neverServed) {
    text << " never-served=" << name;
  }
  result.description = text.str();
  return result;
}

}  // namespace walnut::simulator
