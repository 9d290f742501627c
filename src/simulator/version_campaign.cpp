#include "simulator/version_campaign.h"

#include <algorithm>
#include <sstream>

namespace walnut::simulator {

namespace {

constexpr base::Duration kCalm = std::chrono::seconds(8);
constexpr base::Duration kTrouble = std::chrono::seconds(30);
constexpr std::uint64_t kMostReleases = 3;
constexpr std::uint64_t kMostCrashes = 3;
constexpr std::uint64_t kMostResets = 3;
constexpr std::uint64_t kMostGatewayKills = 2;
constexpr std::uint64_t kMostGatewayCuts = 2;
constexpr std::uint64_t kMostLeaderChanges = 2;
constexpr std::uint64_t kMostSuspensions = 3;

base::Duration drawTime(base::Random& random) {
  return random.between(base::Duration::zero(), kTrouble);
}

ServingFleetOptions drawFleet(base::Random& random, std::uint64_t seed) {
  constexpr double kMostLoad = 0.6;  ///< Share of all slots.
  ServingFleetOptions options;
  options.seed = seed;
  options.workers = random.uniform(6, 16);
  options.gateways = random.uniform(2, 12);
  options.models = options.workers + 2;
  options.unrepeatableShare = 0.2 * random.unit();
  options.retrySlack = 10 + 40 * random.unit();
  options.retries = static_cast<std::uint32_t>(random.uniform(1, 4));
  options.callersTakeUp = true;
  options.worker.events = static_cast<std::uint32_t>(random.uniform(4, 20));
  options.worker.eventGap =
      random.between(std::chrono::milliseconds(80), std::chrono::milliseconds(300));
  options.targetGap = options.worker.eventGap * 2;
  const double streamSeconds =
      std::chrono::duration<double>(options.worker.firstEventTime +
                                    options.worker.events * options.worker.eventGap)
          .count();
  const double slots = static_cast<double>(options.workers * options.worker.slots);
  options.requestsPerSecond =
      std::min(30.0, slots * kMostLoad * (0.3 + 0.7 * random.unit()) / streamSeconds);
  return options;
}

/// Draws faults that begin as time passes.
class VersionTroubles {
 public:
  VersionTroubles(base::Random& random, ServingFleet& fleet, const ServingFleetOptions& options)
      : random_(random), fleet_(fleet), options_(options) {}

  void add() {
    release();
    repeat("crashes", kMostCrashes, [this] {
      fleet_.crashWorkers(drawTime(random_), random_.uniform(1, options_.workers / 3));
    });
    repeat("resets", kMostResets,
           [this] { fleet_.resetConnections(drawTime(random_), 0.3 + 0.5 * random_.unit()); });
    repeat("kills", kMostGatewayKills, [this] { killGateways(); });
    repeat("cuts", kMostGatewayCuts, [this] { cutGateway(); });
    repeat("leader-changes", kMostLeaderChanges, [this] { changeLeader(); });
  }
  std::string description() const { return text_.str(); }
  static base::Duration earliest() { return base::Duration::zero(); }
  static base::Duration latest() { return kTrouble; }

 private:
  void repeat(const char* name, std::uint64_t most, const std::function<void()>& fault) {
    const std::uint64_t times = random_.uniform(0, most);
    for (std::uint64_t count = 0; count < times; ++count) {
      fault();
    }
    text_ << " " << name << "=" << times;
  }

  void release() {
    const std::uint64_t releases = random_.uniform(1, kMostReleases);
    for (std::uint64_t count = 0; count < releases; ++count) {
      const base::Duration pause =
          random_.between(std::chrono::milliseconds(50), std::chrono::milliseconds(1500));
      fleet_.releaseVersion(drawTime(random_), pause, "v1." + std::to_string(count + 1));
    }
    text_ << " releases=" << releases;
  }

  /// Half of the gateways at once.
  void killGateways() {
    const base::Duration at = drawTime(random_);
    for (std::size_t gateway = 0; gateway < options_.gateways / 2; ++gateway) {
      fleet_.later(at, [gateway](ServingFleet& fleet) { fleet.restartGateway(gateway); });
    }
  }

  void cutGateway() {
    const std::size_t gateway = random_.uniform(0, options_.gateways - 1);
    const base::Duration lasts = random_.between(std::chrono::seconds(1), std::chrono::seconds(15));
    fleet_.later(drawTime(random_),
                 [gateway, lasts](ServingFleet& fleet) { fleet.cutGateway(gateway, lasts); });
  }

  void changeLeader() {
    const base::Duration gap =
        random_.between(std::chrono::milliseconds(500), std::chrono::seconds(4));
    fleet_.later(drawTime(random_), [gap](ServingFleet& fleet) { fleet.changeLeader(gap); });
  }

  base::Random& random_;
  ServingFleet& fleet_;
  const ServingFleetOptions& options_;
  std::ostringstream text_;
};

/// Draws faults around one moment at which all gateways are killed.
class RejoinedTroubles {
 public:
  RejoinedTroubles(base::Random& random, ServingFleet& fleet, const ServingFleetOptions& options)
      : random_(random), fleet_(fleet), options_(options), killAt_(drawKill(random)) {}

  void add() {
    for (std::size_t gateway = 0; gateway < options_.gateways; ++gateway) {
      fleet_.later(killAt_, [gateway](ServingFleet& fleet) { fleet.restartGateway(gateway); });
    }
    release();
    restartInPlace();
    repeat("cuts", kMostGatewayCuts, [this] { cutGateway(); });
    repeat("leader-changes", kMostLeaderChanges, [this] {
      const base::Duration gap =
          random_.between(std::chrono::milliseconds(100), std::chrono::seconds(2));
      fleet_.later(near(std::chrono::milliseconds(500)),
                   [gap](ServingFleet& fleet) { fleet.changeLeader(gap); });
    });
    repeat("crashes", kMostCrashes, [this] {
      fleet_.crashWorkers(near(std::chrono::seconds(3)), random_.uniform(1, options_.workers / 3));
    });
    repeat("resets", kMostResets, [this] {
      fleet_.resetConnections(near(std::chrono::seconds(3)), 0.3 + 0.5 * random_.unit());
    });
  }
  std::string description() const { return text_.str(); }
  base::Duration earliest() const { return killAt_ - std::chrono::seconds(5); }
  base::Duration latest() const { return killAt_ + std::chrono::seconds(5); }

 private:
  static base::Duration drawKill(base::Random& random) {
    return random.between(std::chrono::seconds(8), std::chrono::seconds(18));
  }
  /// @return a time at most so long before or after the kill.
  base::Duration near(base::Duration distance) {
    return random_.between(killAt_ - distance, killAt_ + distance);
  }
  void repeat(const char* name, std::uint64_t most, const std::function<void()>& fault) {
    const std::uint64_t times = random_.uniform(0, most);
    for (std::uint64_t count = 0; count < times; ++count) {
      fault();
    }
    text_ << " " << name << "=" << times;
  }
  void release() {
    const std::uint64_t releases = random_.uniform(0, kMostReleases);
    for (std::uint64_t count = 0; count < releases; ++count) {
      const base::Duration pause =
          random_.between(std::chrono::milliseconds(50), std::chrono::milliseconds(1500));
      fleet_.releaseVersion(near(std::chrono::seconds(6)), pause, newVersion());
    }
    text_ << " releases=" << releases;
  }
  void restartInPlace() {
    const std::uint64_t restarts = random_.uniform(1, kMostReleases);
    for (std::uint64_t count = 0; count < restarts; ++count) {
      const base::Duration down =
          random_.between(std::chrono::milliseconds(50), std::chrono::milliseconds(800));
      fleet_.restartInPlace(near(std::chrono::seconds(3)), random_.uniform(1, options_.workers / 2),
                            down, newVersion());
    }
    text_ << " in-place=" << restarts;
  }
  void cutGateway() {
    const std::size_t gateway = random_.uniform(0, options_.gateways - 1);
    const base::Duration lasts = random_.between(std::chrono::seconds(1), std::chrono::seconds(8));
    fleet_.later(near(std::chrono::seconds(5)),
                 [gateway, lasts](ServingFleet& fleet) { fleet.cutGateway(gateway, lasts); });
  }
  std::string newVersion() { return "v1." + std::to_string(++lastVersion_); }

  base::Random& random_;
  ServingFleet& fleet_;
  const ServingFleetOptions& options_;
  const base::Duration killAt_;
  std::uint64_t lastVersion_ = 0;
  std::ostringstream text_;
};

/// Gateways stand still for seconds, at times between `from` and `until`.
std::string suspendGateways(base::Random& random, ServingFleet& fleet,
                            const ServingFleetOptions& options, base::Duration from,
                            base::Duration until) {
  const std::uint64_t times = random.uniform(1, kMostSuspensions);
  for (std::uint64_t count = 0; count < times; ++count) {
    const std::size_t gateway = random.uniform(0, options.gateways - 1);
    const base::Duration lasts =
        random.between(std::chrono::milliseconds(300), std::chrono::seconds(6));
    fleet.later(random.between(from, until), [gateway, lasts](ServingFleet& suspended) {
      suspended.suspendGateway(gateway, lasts);
    });
  }
  return " suspensions=" + std::to_string(times);
}

template <class Troubles>
VersionCampaignResult runCampaign(std::uint64_t seed, const char* name, bool suspends) {
  base::Random random(seed);
  const ServingFleetOptions options = drawFleet(random, seed);
  ServingFleet fleet(options);
  fleet.run(kCalm);
  fleet.countAnew();
  Troubles troubles(random, fleet, options);
  troubles.add();
  std::string suspensions;
  if (suspends) {
    suspensions = suspendGateways(random, fleet, options, troubles.earliest(), troubles.latest());
  }
  fleet.run(kTrouble);
  VersionCampaignResult result;
  result.account = fleet.versions();
  result.streamError = fleet.streamError();
  std::ostringstream text;
  text << name << " workers=" << options.workers << " gateways=" << options.gateways
       << " requests/s=" << options.requestsPerSecond << " retries=" << options.retries
       << troubles.description() << suspensions << " " << result.account.description()
       << " served=" << fleet.servedShare();
  if (!result.streamError.empty()) {
    text << " stream-error: " << result.streamError;
  }
  result.description = text.str();
  return result;
}

}  // namespace

VersionCampaignResult runVersionCampaign(std::uint64_t seed) {
  return runCampaign<VersionTroubles>(seed, "versions", false);
}

VersionCampaignResult runRejoinedCampaign(std::uint64_t seed) {
  return runCampaign<RejoinedTroubles>(seed, "rejoined", false);
}

VersionCampaignResult runSuspendedVersionCampaign(std::uint64_t seed) {
  return runCampaign<VersionTroubles>(seed, "suspended-versions", true);
}

VersionCampaignResult runSuspendedRejoinedCampaign(std::uint64_t seed) {
  return runCampaign<RejoinedTroubles>(seed, "suspended-rejoined", true);
}

}  // namespace walnut::simulator
