#include "simulator/limit_campaign.h"

#include <cmath>
#include <sstream>

namespace walnut::simulator {

namespace {

constexpr base::Duration kCalm = std::chrono::seconds(8);
constexpr base::Duration kTrouble = std::chrono::seconds(40);
/// From the end of the last limit until all is well again.
constexpr base::Duration kRecovery = LimitAccount::kContact;
constexpr base::Duration kAfter = std::chrono::seconds(10);
/// A cold model may come too late for its first caller.
constexpr double kLeastServedAfter = 0.95;

constexpr double kLowestLimit = 0.2;
constexpr double kHighestLimit = 50;
constexpr std::uint64_t kMostLimits = 4;  ///< That one worker names in turn.
constexpr std::uint64_t kMostLeaderChanges = 3;
constexpr std::uint64_t kMostGatewayFaults = 4;
constexpr base::Duration kLongestLeaderless = std::chrono::seconds(20);

ServingFleetOptions drawFleet(base::Random& random, std::uint64_t seed) {
  ServingFleetOptions options;
  options.seed = seed;
  options.workers = random.uniform(3, 14);
  options.gateways = random.uniform(2, 65);
  options.plain = random.chance(0.5);
  options.models = options.workers + 4;
  options.adapters = random.uniform(0, 4);
  options.requestsPerSecond = static_cast<double>(options.workers) * (1 + 5 * random.unit());
  options.unrepeatableShare = 0.5 * random.unit();
  options.worker.strayErrors = 0.01 * random.unit();
  options.worker.answerTravel = random.chance(0.5) ? random.between(std::chrono::milliseconds(20),
                                                                    std::chrono::milliseconds(400))
                                                   : base::Duration::zero();
  return options;
}

base::Duration drawTime(base::Random& random, base::Duration longest) {
  return random.between(base::Duration::zero(), longest);
}

/// Low and high limits are drawn as often.
double drawLimit(base::Random& random) {
  constexpr double kUnits = 1000;  // Limits go over the wire in thousandths.
  const double drawn = kLowestLimit * std::pow(kHighestLimit / kLowestLimit, random.unit());
  return std::round(drawn * kUnits) / kUnits;
}

/// Draws limits and faults one after the other and has them begin as time passes.
class LimitTroubles {
 public:
  LimitTroubles(base::Random& random, ServingFleet& fleet, const ServingFleetOptions& options)
      : random_(random), fleet_(fleet), options_(options) {}

  void add() {
    const std::size_t limited =
        random_.chance(0.3) ? options_.workers : random_.uniform(1, options_.workers);
    for (std::size_t worker = 0; worker < limited; ++worker) {
      addLimits(worker);
    }
    for (std::uint64_t left = random_.uniform(0, kMostLeaderChanges); left > 0; --left) {
      const base::Duration gap =
          random_.between(std::chrono::milliseconds(500),
                          random_.chance(0.3) ? kLongestLeaderless : std::chrono::seconds(3));
      fleet_.later(drawTime(random_, kTrouble - gap),
                   [gap](ServingFleet& fleet) { fleet.changeLeader(gap); });
    }
    for (std::uint64_t left = random_.uniform(0, kMostGatewayFaults); left > 0; --left) {
      addGatewayFault();
    }
  }

 private:
  /// Some workers name another limit after the first one; the last one ends with the trouble.
  void addLimits(std::size_t worker) {
    base::Duration at = drawTime(random_, kTrouble / 4);
    for (std::uint64_t left = random_.uniform(1, kMostLimits); left > 0 && at < kTrouble; --left) {
      const double limit = drawLimit(random_);
      fleet_.later(at, [worker, limit](ServingFleet& fleet) { fleet.limitWorker(worker, limit); });
      at += random_.between(std::chrono::seconds(4), kTrouble / 2);
      if (at >= kTrouble) {
        break;
      }
      if (random_.chance(0.5)) {
        fleet_.later(at, [worker](ServingFleet& fleet) { fleet.endLimit(worker); });
        at += random_.between(std::chrono::milliseconds(200), std::chrono::seconds(6));
      }
    }
    fleet_.later(kTrouble, [worker](ServingFleet& fleet) { fleet.endLimit(worker); });
  }

  void addGatewayFault() {
    const std::size_t gateway = random_.uniform(0, options_.gateways - 1);
    const base::Duration lasts =
        random_.between(std::chrono::milliseconds(500), std::chrono::milliseconds(8000));
    const base::Duration at = drawTime(random_, kTrouble - lasts);
    switch (random_.uniform(0, 2)) {
      case 0:
        fleet_.later(at, [gateway](ServingFleet& fleet) { fleet.restartGateway(gateway); });
        break;
      case 1:
        fleet_.later(
            at, [gateway, lasts](ServingFleet& fleet) { fleet.suspendGateway(gateway, lasts); });
        break;
      default:
        fleet_.later(at,
                     [gateway, lasts](ServingFleet& fleet) { fleet.cutGateway(gateway, lasts); });
    }
  }

  base::Random& random_;
  ServingFleet& fleet_;
  const ServingFleetOptions& options_;
};

}  // namespace

bool LimitCampaignResult::passed() const {
  return !worst.broken() && servedAfter >= kLeastServedAfter;
}

LimitCampaignResult runLimitCampaign(std::uint64_t seed) {
  base::Random random(seed);
  const ServingFleetOptions options = drawFleet(random, seed);
  ServingFleet fleet(options);
  fleet.run(kCalm);
  fleet.countAnew();
  LimitTroubles(random, fleet, options).add();
  fleet.run(kTrouble);
  LimitCampaignResult result;
  result.worst = fleet.limitAccount().worst();
  result.used = fleet.limitUsed();
  result.arrivals = fleet.limitAccount().arrivals();
  result.servedInTrouble = fleet.servedShare();
  result.refusedWithin = fleet.refusals().mostlyAfter();
  result.questions = fleet.shareQuestions();
  const std::size_t refused = fleet.refusals().after.size();
  fleet.run(kRecovery);
  fleet.countAnew();
  fleet.run(kAfter);
  result.servedAfter = fleet.servedShare();
  std::ostringstream text;
  text << "limited " << (options.plain ? "plain " : "") << "workers=" << options.workers
       << " gateways=" << options.gateways << " arrivals=" << result.arrivals
       << " used=" << result.used << " refused=" << refused << " within-ms="
       << std::chrono::duration_cast<std::chrono::milliseconds>(result.refusedWithin).count()
       << " questions=" << result.questions << " served=" << result.servedInTrouble
       << " after=" << result.servedAfter << " worst: " << fleet.describe(result.worst);
  result.description = text.str();
  return result;
}

}  // namespace walnut::simulator
