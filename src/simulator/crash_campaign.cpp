#include "simulator/crash_campaign.h"

#include <sstream>

namespace walnut::simulator {

namespace {

constexpr base::Duration kCalm = std::chrono::seconds(8);
/// Over which crashing requests begin to come.
constexpr base::Duration kBegin = std::chrono::seconds(10);
/// For which each of them comes again.
constexpr base::Duration kComesAgain = std::chrono::seconds(30);
constexpr base::Duration kTrouble = std::chrono::seconds(42);
constexpr base::Duration kRecovery = std::chrono::seconds(12);
constexpr base::Duration kAfter = std::chrono::seconds(10);
/// A cold model may come too late for its first caller.
constexpr double kLeastServedAfter = 0.95;
/// Sends of one request to workers that the users' pages allow after its third crash.
constexpr std::uint64_t kMostLateSends = 3;
constexpr std::uint64_t kMostRequests = 4;
constexpr std::uint64_t kMostLeaderChanges = 2;
constexpr std::uint64_t kMostGatewayFaults = 3;

/// Between the head of an answer and its first event. On the users' platform one of 20 crashes
/// caught a request between the two, beside the one that caused it.
constexpr base::Duration kHeadTime = std::chrono::milliseconds(4);

ServingFleetOptions drawFleet(base::Random& random, std::uint64_t seed) {
  ServingFleetOptions options;
  options.seed = seed;
  options.workers = random.uniform(6, 20);
  options.gateways = random.uniform(3, 20);
  options.models = options.workers + 4;
  options.adapters = random.uniform(0, 4);
  options.requestsPerSecond = static_cast<double>(options.workers) * (1 + 2 * random.unit());
  options.unrepeatableShare = 0.5 * random.unit();
  options.worker.strayErrors = 0.02 * random.unit();
  return options;
}

/// The first event comes late, as if requests waited for a slot, and callers try more often.
void makeBusy(base::Random& random, ServingFleetOptions& options) {
  options.worker.slots = 64;
  options.worker.firstEventTime =
      random.between(std::chrono::milliseconds(300), std::chrono::milliseconds(1500));
  options.worker.serviceTime = 2 * options.worker.firstEventTime;
  options.worker.headTime = kHeadTime;
  options.crashingShowsHead = random.chance(0.5);
  options.requestsPerSecond *= 1.5;
  options.retries = static_cast<std::uint32_t>(random.uniform(1, 4));
}

base::Duration drawTime(base::Random& random, base::Duration longest) {
  return random.between(base::Duration::zero(), longest);
}

/// Draws faults one after the other and has them begin as time passes.
class Troubles {
 public:
  Troubles(base::Random& random, ServingFleet& fleet, std::size_t gateways)
      : random_(random), fleet_(fleet), gateways_(gateways) {}

  void add() {
    for (std::uint64_t left = random_.uniform(1, kMostRequests); left > 0; --left) {
      fleet_.addCrashingRequest(drawTime(random_, kBegin), kComesAgain, random_.chance(0.3));
    }
    for (std::uint64_t left = random_.uniform(0, kMostLeaderChanges); left > 0; --left) {
      const base::Duration gap =
          random_.between(std::chrono::milliseconds(500), std::chrono::milliseconds(3000));
      fleet_.later(drawTime(random_, kTrouble),
                   [gap](ServingFleet& fleet) { fleet.changeLeader(gap); });
    }
    for (std::uint64_t left = random_.uniform(0, kMostGatewayFaults); left > 0; --left) {
      addGatewayFault();
    }
    if (random_.chance(0.5)) {
      const base::Duration begin = drawTime(random_, kTrouble / 2);
      fleet_.failWorkers(begin, begin + std::chrono::seconds(6), 1, WorkerFault::reset);
    }
  }

 private:
  void addGatewayFault() {
    const std::size_t gateway = random_.uniform(0, gateways_ - 1);
    const base::Duration at = drawTime(random_, kTrouble);
    if (random_.chance(0.5)) {
      fleet_.later(at, [gateway](ServingFleet& fleet) { fleet.restartGateway(gateway); });
      return;
    }
    const base::Duration lasts =
        random_.between(std::chrono::milliseconds(500), std::chrono::milliseconds(5000));
    fleet_.later(at,
                 [gateway, lasts](ServingFleet& fleet) { fleet.suspendGateway(gateway, lasts); });
  }

  base::Random& random_;
  ServingFleet& fleet_;
  const std::size_t gateways_;
};

}  // namespace

bool CrashCampaignResult::passed() const {
  return account.mostLateSends <= kMostLateSends && account.innocentsRefused == 0 &&
         servedAfter >= kLeastServedAfter;
}

CrashCampaignResult runCrashCampaign(std::uint64_t seed, CrashLoad load, CrashMoment moment) {
  base::Random random(seed);
  ServingFleetOptions options = drawFleet(random, seed);
  if (load == CrashLoad::busy) {
    makeBusy(random, options);
  }
  drawCrashMoment(seed, moment, options);
  ServingFleet fleet(options);
  fleet.run(kCalm);
  fleet.countAnew();
  Troubles(random, fleet, options.gateways).add();
  fleet.run(kTrouble);
  CrashCampaignResult result;
  result.servedInTrouble = fleet.servedShare();
  fleet.run(kRecovery);
  fleet.countAnew();
  fleet.traceCallers();
  fleet.run(kAfter);
  result.servedAfter = fleet.servedShare();
  result.account = fleet.crashAccount();
  std::ostringstream text;
  text << (load == CrashLoad::busy ? "busy " : "") << "workers=" << options.workers
       << " gateways=" << options.gateways << " crash-events=" << options.worker.crashEvents
       << " crashing=" << result.account.requests << " sends=" << result.account.sends
       << " crashes=" << result.account.crashes << " cut-beside=" << result.account.cutBeside
       << " most-late-sends=" << result.account.mostLateSends
       << " innocents-refused=" << result.account.innocentsRefused
       << " served=" << result.servedInTrouble << " after=" << result.servedAfter
       << fleet.describeRefused();
  if (result.servedAfter < kLeastServedAfter) {
    text << fleet.describeLost();
  }
  result.description = text.str();
  return result;
}

}  // namespace walnut::simulator
