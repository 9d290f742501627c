/// @file
/// Subcommand fleet: seeded runs of registry servers and gateways under virtual time, with changes
/// of a large document and overlapping faults.

#include <getopt.h>

#include <chrono>
#include <cstdio>
#include <iostream>
#include <string>
#include <string_view>

#include "commands.h"
#include "seed_range.h"
#include "simulator/fleet_campaign.h"
#include "simulator/fleet_figures.h"
#include "walnut/runtime/settings.h"

namespace walnut::rehearsal {

namespace {

using runtime::ExitCode;

constexpr std::uint64_t kMaxGateways = 2000;
constexpr std::uint64_t kMaxWorkers = 40000;
constexpr std::uint64_t kLeastServers = 5;
constexpr std::uint64_t kMaxServers = 20;
constexpr std::uint64_t kMaxSeconds = 3600;

constexpr const char* kUsage =
    "Usage: walnut-rehearse fleet --seeds A-B [FLAGS]\n"
    "Runs servers of the registry and gateways under virtual time, with faults drawn by seed.\n"
    "  --seeds A-B     seeds to run, or one seed A\n"
    "  --gateways N    1 .. 2000; default: 65\n"
    "  --workers N     1 .. 40000; default: 90\n"
    "  --servers N     5 .. 20; default: 5\n"
    "  --seconds N     of faults, 1 .. 3600; default: 60\n"
    "  --figures       no faults: what the fleet costs its servers at rest, and how soon it is "
    "there\n"
    "Exit code 1: a gateway served by an older document than it should have, or by none.\n";

enum Flag : int { seeds = 1, gateways, workers, servers, duration, figures, help };

constexpr option kOptions[] = {{"seeds", required_argument, nullptr, Flag::seeds},
                               {"gateways", required_argument, nullptr, Flag::gateways},
                               {"workers", required_argument, nullptr, Flag::workers},
                               {"servers", required_argument, nullptr, Flag::servers},
                               {"seconds", required_argument, nullptr, Flag::duration},
                               {"figures", no_argument, nullptr, Flag::figures},
                               {"help", no_argument, nullptr, Flag::help},
                               {nullptr, 0, nullptr, 0}};

struct Flags {
  std::uint64_t firstSeed = 0;
  std::uint64_t lastSeed = 0;
  bool seedsGiven = false;
  bool figures = false;
  bool help = false;
  simulator::FleetCampaignOptions campaign;
};

/// @return false if the flag's value is refused.
bool takeFlag(int flag, const char* value, Flags& flags) {
  std::uint64_t number = 0;
  switch (flag) {
    case Flag::seeds:
      flags.seedsGiven = true;
      return parseSeeds(value, flags.firstSeed, flags.lastSeed);
    case Flag::gateways:
      if (!parseNumber(value, number) || number == 0 || number > kMaxGateways) {
        return false;
      }
      flags.campaign.fleet.gateways = number;
      return true;
    case Flag::workers:
      if (!parseNumber(value, number) || number == 0 || number > kMaxWorkers) {
        return false;
      }
      flags.campaign.fleet.workers = number;
      return true;
    case Flag::servers:
      if (!parseNumber(value, number) || number < kLeastServers || number > kMaxServers) {
        return false;
      }
      flags.campaign.fleet.servers = number;
      return true;
    case Flag::figures:
      flags.figures = true;
      return true;
    case Flag::duration:
      if (!parseNumber(value, number) || number == 0 || number > kMaxSeconds) {
        return false;
      }
      flags.campaign.duration = std::chrono::seconds(number);
      return true;
    case Flag::help:
      flags.help = true;
      return true;
    default:
      return false;
  }
}

bool parseFlags(int argc, char** argv, Flags& flags) {
  optind = 1;
  int flag = 0;
  while ((flag = getopt_long(argc, argv, "", kOptions, nullptr)) != -1) {
    if (!takeFlag(flag, optarg, flags)) {
      return false;
    }
  }
  return optind == argc && (flags.seedsGiven || flags.help);
}

void print(std::uint64_t seed, const simulator::FleetCampaignResult& result) {
  std::cout << "seed " << seed << (result.passed() ? " passed" : " FAILED");
  for (const auto& [kind, count] : result.events) {
    std::cout << " " << kind << "=" << count;
  }
  const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(result.longestTurn);
  std::cout << " longest-turn-ms=" << millis.count() << "\n";
  if (!result.passed()) {
    std::cout << result.description << "\nnewest document everywhere at the end: "
              << (result.newestEverywhere ? "yes" : "no")
              << "\nreplay: walnut-rehearse fleet --seeds " << seed << "\n";
  }
}

/// @return true if the fleet came to rest with no more leaderships than needed.
bool printFigures(const simulator::RegistryFleetOptions& options) {
  const simulator::FleetFigures figures = simulator::measureFleet(options);
  const auto millis = [](base::Duration duration) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
  };
  std::cout << "seed " << options.seed << " gateways=" << options.gateways
            << " workers=" << options.workers << " servers=" << options.servers
            << " leader-cores=" << figures.leaderShare
            << " busiest-other-cores=" << figures.busiestOtherShare
            << " started-ms=" << millis(figures.started)
            << " restarted-ms=" << millis(figures.restarted)
            << " leaderships=" << figures.leaderships << "\n";
  constexpr std::size_t kNeeded = 2;
  return figures.leaderships <= kNeeded;
}

bool runSeed(Flags& flags, std::uint64_t seed) {
  flags.campaign.fleet.seed = seed;
  if (flags.figures) {
    return printFigures(flags.campaign.fleet);
  }
  const simulator::FleetCampaignResult result = simulator::runFleetCampaign(flags.campaign);
  print(seed, result);
  return result.passed();
}

}  // namespace

int runFleet(int argc, char** argv) {
  Flags flags;
  if (!parseFlags(argc, argv, flags)) {
    std::cerr << kUsage;
    return static_cast<int>(ExitCode::usage);
  }
  if (flags.help) {
    std::cout << kUsage;
    return static_cast<int>(ExitCode::ok);
  }
  std::uint64_t failed = 0;
  for (std::uint64_t seed = flags.firstSeed; seed <= flags.lastSeed; ++seed) {
    failed += runSeed(flags, seed) ? 0 : 1;
  }
  std::cout << flags.lastSeed - flags.firstSeed + 1 << " seeds, " << failed << " failed\n";
  return failed == 0 ? 0 : 1;
}

}  // namespace walnut::rehearsal
