#include "simulator/retry_campaign.h"

#include <sstream>

namespace walnut::simulator {

namespace {

constexpr base::Duration kCalm = std::chrono::seconds(8);
constexpr base::Duration kTrouble = std::chrono::seconds(30);
constexpr std::uint64_t kMostEpisodes = 3;  ///< In which workers fail.
constexpr std::uint64_t kMostGatewayKills = 4;
constexpr std::uint64_t kMostGatewayCuts = 2;
constexpr std::uint64_t kMostLeaderChanges = 2;

base::Duration drawTime(base::Random& random) {
  return random.between(base::Duration::zero(), kTrouble);
}

ServingFleetOptions drawFleet(base::Random& random, std::uint64_t seed) {
  ServingFleetOptions options;
  options.seed = seed;
  options.plain = random.chance(0.5);
  options.workers = random.uniform(3, 14);
  options.gateways = random.uniform(2, 16);
  options.models = options.workers + 4;
  options.requestsPerSecond = 5 + 40 * random.unit();
  options.unrepeatableShare = 0.3 * random.unit();
  options.retrySlack = 20 + 60 * random.unit();
  return options;
}

/// Draws faults that begin as time passes.
class RetryTroubles {
 public:
  RetryTroubles(base::Random& random, ServingFleet& fleet, const ServingFleetOptions& options)
      : random_(random), fleet_(fleet), options_(options) {}

  void add() {
    failWorkers();
    const std::uint64_t kills = random_.uniform(0, kMostGatewayKills);
    const std::uint64_t cuts = random_.uniform(0, kMostGatewayCuts);
    const std::uint64_t leaderChanges = random_.uniform(0, kMostLeaderChanges);
    for (std::uint64_t count = 0; count < kills; ++count) {
      killGateways();
    }
    for (std::uint64_t count = 0; count < cuts; ++count) {
      cutGateways();
    }
    for (std::uint64_t count = 0; count < leaderChanges; ++count) {
      const base::Duration gap =
          random_.between(std::chrono::milliseconds(500), std::chrono::seconds(4));
      fleet_.later(drawTime(random_), [gap](ServingFleet& fleet) { fleet.changeLeader(gap); });
    }
    text_ << " kills=" << kills << " cuts=" << cuts << " leader-changes=" << leaderChanges;
  }
  std::string description() const { return text_.str(); }

 private:
  void failWorkers() {
    const std::uint64_t episodes = random_.uniform(1, kMostEpisodes);
    for (std::uint64_t count = 0; count < episodes; ++count) {
      const base::Duration begin = random_.between(base::Duration::zero(), kTrouble / 2);
      const base::Duration end = begin + random_.between(std::chrono::seconds(3), kTrouble / 2);
      const std::size_t failing = random_.uniform(1, options_.workers);
      const WorkerFault fault = random_.chance(0.5) ? WorkerFault::errors : WorkerFault::reset;
      fleet_.failWorkers(begin, end, failing, fault);
      text_ << " failing=" << failing;
    }
  }

  /// Most gateways at once, or each by itself.
  void killGateways() {
    const base::Duration at = drawTime(random_);
    const bool atOnce = random_.chance(0.5);
    for (std::size_t gateway = 0; gateway < options_.gateways; ++gateway) {
      const base::Duration begin = atOnce ? at : drawTime(random_);
      if (random_.chance(0.8)) {
        fleet_.later(begin, [gateway](ServingFleet& fleet) { fleet.restartGateway(gateway); });
      }
    }
  }

  /// Half of the gateways.
  void cutGateways() {
    const base::Duration at = drawTime(random_);
    const base::Duration lasts = random_.between(std::chrono::seconds(1), std::chrono::seconds(15));
    for (std::size_t gateway = 0; gateway < options_.gateways / 2; ++gateway) {
      fleet_.later(at, [gateway, lasts](ServingFleet& fleet) { fleet.cutGateway(gateway, lasts); });
    }
  }

  base::Random& random_;
  ServingFleet& fleet_;
  const ServingFleetOptions& options_;
  std::ostringstream text_;
};

}  // namespace

RetryCampaignResult runRetryCampaign(std::uint64_t seed) {
  base::Random random(seed);
  const ServingFleetOptions options = drawFleet(random, seed);
  ServingFleet fleet(options);
  fleet.run(kCalm);
  fleet.countAnew();
  RetryTroubles troubles(random, fleet, options);
  troubles.add();
  fleet.run(kTrouble);
  RetryCampaignResult result;
  result.worst = fleet.retryAccount().worst();
  std::ostringstream text;
  text << "retries " << (options.plain ? "plain " : "") << "workers=" << options.workers
       << " gateways=" << options.gateways << " requests/s=" << options.requestsPerSecond
       << troubles.description() << " retries=" << fleet.retryAccount().retries()
       << " served=" << fleet.servedShare() << " share=" << result.worst.share()
       << " worst: " << fleet.describe(result.worst);
  result.description = text.str();
  return result;
}

}  // namespace walnut::simulator
