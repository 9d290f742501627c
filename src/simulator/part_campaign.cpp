#include "simulator/part_campaign.h"

#include <algorithm>
#include <functional>
#include <sstream>

namespace walnut::simulator {

namespace {

constexpr base::Duration kCalm = std::chrono::seconds(12);
/// Over which crashing parts begin to come.
constexpr base::Duration kBegin = std::chrono::seconds(6);
/// For which requests with each of them come.
constexpr base::Duration kLasts = std::chrono::seconds(20);
constexpr base::Duration kTrouble = std::chrono::seconds(34);
constexpr base::Duration kRecovery = std::chrono::seconds(12);
constexpr base::Duration kAfter = std::chrono::seconds(10);
/// A cold model may come too late for its first caller.
constexpr double kLeastServedAfter = 0.95;
constexpr std::uint64_t kMostLateSends = 3;
constexpr std::uint64_t kMostPlaces = 2;
constexpr std::uint64_t kMostLeaderChanges = 2;
constexpr std::uint64_t kMostGatewayFaults = 3;
constexpr std::uint64_t kMostCrashes = 2;

base::Duration drawTime(base::Random& random, base::Duration longest) {
  return random.between(base::Duration::zero(), longest);
}

ServingFleetOptions drawFleet(base::Random& random, std::uint64_t seed) {
  constexpr base::Duration kCrashQueueTime = std::chrono::milliseconds(320);
  constexpr base::Duration kHeadTime = std::chrono::milliseconds(4);
  ServingFleetOptions options;
  options.seed = seed;
  options.promptParts = true;
  options.workers = random.uniform(8, 20);
  options.gateways = random.uniform(3, 20);
  options.models = options.workers + 4;
  options.requestsPerSecond = static_cast<double>(options.workers) * (1 + random.unit());
  options.unrepeatableShare = 0.5 * random.unit();
  options.retries = static_cast<std::uint32_t>(random.uniform(1, 3));
  options.crashingShowsHead = random.chance(0.5);
  options.worker.crashQueueTime = kCrashQueueTime;
  options.worker.firstEventTime =
      random.between(std::chrono::milliseconds(100), std::chrono::milliseconds(900));
  options.worker.serviceTime = 2 * options.worker.firstEventTime;
  options.worker.headTime = kHeadTime;
  return options;
}

/// Draws faults that begin as time passes.
class PartTroubles {
 public:
  PartTroubles(base::Random& random, ServingFleet& fleet, const ServingFleetOptions& options)
      : random_(random), fleet_(fleet), options_(options) {}

  void add() {
    repeat("parts", random_.chance(0.25) ? 2 : 1, [this] { addPart(); });
    repeat("leader-changes", random_.uniform(0, kMostLeaderChanges), [this] { changeLeader(); });
    repeat("gateway-faults", random_.uniform(0, kMostGatewayFaults), [this] { addGatewayFault(); });
    repeat("crashes", random_.uniform(0, kMostCrashes),
           [this] { fleet_.crashWorkers(drawTime(random_, kTrouble), 1); });
    repeat("crashing-requests", random_.chance(0.3) ? 1 : 0, [this] {
      fleet_.addCrashingRequest(drawTime(random_, kBegin), kLasts, random_.chance(0.3));
    });
  }
  std::string description() const { return text_.str(); }

 private:
  void repeat(const char* name, std::uint64_t times, const std::function<void()>& fault) {
    for (std::uint64_t count = 0; count < times; ++count) {
      fault();
    }
    text_ << " " << name << "=" << times;
  }

  void addPart() {
    CrashingPartOptions part;
    part.begin = drawTime(random_, kBegin);
    part.soundFor =
        random_.chance(0.25) ? drawTime(random_, std::chrono::seconds(6)) : base::Duration::zero();
    part.lasts = kLasts;
    part.perSecond = 2 + 4 * random_.unit();
    part.place = random_.uniform(0, kMostPlaces);
    text_ << " part: place=" << part.place << " per-second=" << part.perSecond
          << " sound-for=" << std::chrono::duration<double>(part.soundFor).count();
    fleet_.addCrashingPart(part);
  }

  void changeLeader() {
    const base::Duration gap =
        random_.between(std::chrono::milliseconds(500), std::chrono::milliseconds(3000));
    fleet_.later(drawTime(random_, kTrouble),
                 [gap](ServingFleet& fleet) { fleet.changeLeader(gap); });
  }

  void addGatewayFault() {
    const std::size_t gateway = random_.uniform(0, options_.gateways - 1);
    const base::Duration at = drawTime(random_, kTrouble);
    const base::Duration lasts =
        random_.between(std::chrono::milliseconds(500), std::chrono::milliseconds(8000));
    switch (random_.uniform(0, 2)) {
      case 0:
        fleet_.later(at, [gateway](ServingFleet& fleet) { fleet.restartGateway(gateway); });
        return;
      case 1:
        fleet_.later(
            at, [gateway, lasts](ServingFleet& fleet) { fleet.suspendGateway(gateway, lasts); });
        return;
      default:
        fleet_.later(at,
                     [gateway, lasts](ServingFleet& fleet) { fleet.cutGateway(gateway, lasts); });
    }
  }

  base::Random& random_;
  ServingFleet& fleet_;
  const ServingFleetOptions& options_;
  std::ostringstream text_;
};

}  // namespace

bool PartCampaignResult::passed() const {
  const bool stopped = std::none_of(parts.begin(), parts.end(), [](const PartAccount& part) {
    return part.keepsReachingWorkers() || part.keepsSoundOnesOut();
  });
  return stopped && account.mostLateSends <= kMostLateSends && servedAfter >= kLeastServedAfter;
}

PartCampaignResult runPartCampaign(std::uint64_t seed, CrashMoment moment) {
  base::Random random(seed);
  ServingFleetOptions options = drawFleet(random, seed);
  drawCrashMoment(seed, moment, options);
  ServingFleet fleet(options);
  fleet.run(kCalm);
  fleet.beginDisruption();
  fleet.countAnew();
  PartTroubles troubles(random, fleet, options);
  troubles.add();
  fleet.run(kTrouble);
  const double servedBeside = fleet.servedShare();
  fleet.run(kRecovery);
  fleet.countAnew();
  fleet.run(kAfter);
  PartCampaignResult result;
  result.parts = fleet.partAccounts();
  result.account = fleet.crashAccount();
  result.servedAfter = fleet.servedShare();
  std::ostringstream text;
  text << "parts workers=" << options.workers << " gateways=" << options.gateways
       << " requests/s=" << options.requestsPerSecond
       << " crash-events=" << options.worker.crashEvents << troubles.description();
  for (const PartAccount& part : result.parts) {
    text << " [" << part.description() << "]";
  }
  text << " crashing-requests: crashes=" << result.account.crashes
       << " most-late-sends=" << result.account.mostLateSends
       << " cut-beside=" << result.account.cutBeside
       << " sound-refused=" << result.account.innocentsRefused << " served=" << servedBeside
       << " after=" << result.servedAfter;
  result.description = text.str();
  return result;
}

}  // namespace walnut::simulator
