#include "simulator/silence_campaign.h"

#include <algorithm>
#include <sstream>

namespace walnut::simulator {

namespace {

constexpr base::Duration kCalm = std::chrono::seconds(8);
constexpr base::Duration kTrouble = std::chrono::seconds(25);
constexpr base::Duration kShortestSilence = std::chrono::milliseconds(900);
constexpr base::Duration kLongestSilence = std::chrono::milliseconds(1600);
constexpr std::uint64_t kMostSilences = 8;
constexpr std::uint64_t kMostDocumentChanges = 25;

base::Duration drawTime(base::Random& random) {
  return random.between(base::Duration::zero(), kTrouble);
}

ServingFleetOptions drawFleet(base::Random& random, std::uint64_t seed) {
  constexpr double kMostLoad = 0.8;  ///< Share of all slots.
  ServingFleetOptions options;
  options.seed = seed;
  options.workers = random.uniform(4, 16);
  options.gateways = random.uniform(2, 12);
  options.models = options.workers + 2;
  options.unrepeatableShare = 0.3 * random.unit();
  options.retryRatio = 0.01 + 0.2 * random.unit();
  options.retrySlack = (random.chance(0.5) ? 12 : 60) * random.unit();
  options.worker.events = static_cast<std::uint32_t>(random.uniform(3, 16));
  options.worker.eventGap =
      random.between(std::chrono::milliseconds(60), std::chrono::milliseconds(280));
  options.worker.strayErrors = 0.06 * random.unit();
  // Silent workers are left after a few of these gaps.
  options.targetGap = options.worker.eventGap + std::chrono::milliseconds(20);
  const double streamSeconds =
      std::chrono::duration<double>(options.worker.firstEventTime +
                                    options.worker.events * options.worker.eventGap)
          .count();
  const double slots = static_cast<double>(options.workers * options.worker.slots);
  options.requestsPerSecond =
      std::min(30.0, slots * kMostLoad * (0.2 + 0.8 * random.unit()) / streamSeconds);
  return options;
}

/// Draws faults that begin as time passes.
class SilenceTroubles {
 public:
  SilenceTroubles(base::Random& random, ServingFleet& fleet, const ServingFleetOptions& options)
      : random_(random), fleet_(fleet), options_(options) {}

  void add() {
    const std::uint64_t silences = random_.uniform(1, kMostSilences);
    for (std::uint64_t count = 0; count < silences; ++count) {
      silence();
    }
    const std::uint64_t changes = random_.uniform(0, kMostDocumentChanges);
    for (std::uint64_t count = 0; count < changes; ++count) {
      fleet_.later(drawTime(random_), [](ServingFleet& fleet) { fleet.changeDocument(); });
    }
    text_ << " changes=" << changes;
    if (random_.chance(0.5)) {
      takeNoRequests();
    }
  }
  std::string description() const { return text_.str(); }

 private:
  void silence() {
    const base::Duration at = drawTime(random_);
    const base::Duration lasts = random_.between(kShortestSilence, kLongestSilence);
    const std::size_t workers = random_.uniform(1, std::max<std::size_t>(1, options_.workers / 2));
    fleet_.silenceWorkers(at, lasts, workers);
    text_ << " silent=" << workers;
  }

  void takeNoRequests() {
    const base::Duration begin = drawTime(random_);
    const base::Duration end = begin + random_.between(std::chrono::seconds(1), kTrouble / 2);
    const std::size_t workers = random_.uniform(1, std::max<std::size_t>(1, options_.workers / 4));
    fleet_.failWorkers(begin, end, workers, WorkerFault::full);
    text_ << " full=" << workers;
  }

  base::Random& random_;
  ServingFleet& fleet_;
  const ServingFleetOptions& options_;
  std::ostringstream text_;
};

}  // namespace

SilenceCampaignResult runSilenceCampaign(std::uint64_t seed) {
  base::Random random(seed);
  const ServingFleetOptions options = drawFleet(random, seed);
  ServingFleet fleet(options);
  fleet.traceCallers();
  fleet.run(kCalm);
  fleet.countAnew();
  SilenceTroubles troubles(random, fleet, options);
  troubles.add();
  fleet.run(kTrouble + kEndings);
  SilenceCampaignResult result;
  result.counts = fleet.streams().counts();
  result.unanswered = fleet.unanswered();
  result.streamError = fleet.streamError();
  std::ostringstream text;
  text << "silent workers=" << options.workers << " gateways=" << options.gateways
       << " requests/s=" << options.requestsPerSecond << " retry-slack=" << options.retrySlack
       << troubles.description() << " " << describe(result.counts)
       << " unanswered=" << result.unanswered << " served=" << fleet.servedShare();
  if (!result.streamError.empty()) {
    text << " stream-error: " << result.streamError;
  }
  text << fleet.describeEnded();
  result.description = text.str();
  return result;
}

}  // namespace walnut::simulator
