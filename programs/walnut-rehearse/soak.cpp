/// @file
/// Subcommand soak: registry servers and gateways as real processes, under faults drawn by seed.

#include "rehearsal/soak.h"

#include <getopt.h>

#include <filesystem>
#include <iostream>
#include <string>

#include "commands.h"
#include "seed_range.h"
#include "walnut/runtime/settings.h"

namespace walnut::rehearsal {

namespace {

using runtime::ExitCode;

constexpr std::uint64_t kLeastServers = 3;
constexpr std::uint64_t kMaxServers = 9;
constexpr std::uint64_t kMaxGateways = 150;
constexpr std::uint64_t kMaxWorkers = 200;
constexpr std::uint64_t kMaxSeconds = 3600;
constexpr std::uint64_t kMaxCycles = 1000;
constexpr std::uint64_t kPlainPart = 4;  ///< One of so many workers serves the plain service.

constexpr const char* kUsage =
    "Usage: walnut-rehearse soak --seeds A-B [FLAGS]\n"
    "Runs registry servers and gateways as real processes on loopback, with stand-ins for "
    "workers,\n"
    "clients and the operator. The seed draws overlapping kills, stops, reloads, freezes, lost\n"
    "disks, servers replaced at new addresses, slow syncs, cut servers and workers, workers of\n"
    "several software versions and changes, planned stops beside processor quotas, answers "
    "without\n"
    "end, losses of power, and a final fault of all processes. A process that takes more memory "
    "than\n"
    "its machine has is killed.\n"
    "  --seeds A-B     seeds to run, or one seed A\n"
    "  --servers N     3 .. 9; default: 5\n"
    "  --gateways N    1 .. 150; default: 5\n"
    "  --workers N     2 .. 200; default: 11\n"
    "  --seconds N     of faults before the final one, 1 .. 3600; default: 12\n"
    "  --cycles N      in place of the final fault, so many faults of all or most processes and\n"
    "                  returns in one life of the cell, 1 .. 1000: processes that end, lost "
    "disks,\n"
    "                  frozen processes, beside slow syncs, held-up servers or a paused host, and\n"
    "                  machines that answer nobody while they are down; every gateway has to be\n"
    "                  ready in time after each\n"
    "  --orders        only workers that restart under their names and servers that end, beside\n"
    "                  many late orders\n"
    "  --no-hosts      without servers that are held up, full disks, spare servers, wrong clocks "
    "and\n"
    "                  the check that gateways say they are ready\n"
    "  --no-limits     the same, and without planned stops beside processor quotas, answers "
    "without\n"
    "                  end and losses of power\n"
    "  --keep          keeps the logs of runs that passed, too\n"
    "Exit code 1: a rule is broken: RECOVER, LIMIT, LOST (an acknowledged document, "
    "streams\n"
    "that are taken up, requests in a planned stop), READY, REFUSED, MEMORY, MIXED, ORDER, TWICE; "
    "a "
    "process ended by itself; or the fleet served too "
    "little from the start.\n";

enum Flag : int {
  seeds = 1,
  servers,
  gateways,
  workers,
  duration,
  cycles,
  orders,
  noHosts,
  noLimits,
  keep,
  help
};

constexpr option kOptions[] = {{"seeds", required_argument, nullptr, Flag::seeds},
                               {"servers", required_argument, nullptr, Flag::servers},
                               {"gateways", required_argument, nullptr, Flag::gateways},
                               {"workers", required_argument, nullptr, Flag::workers},
                               {"seconds", required_argument, nullptr, Flag::duration},
                               {"cycles", required_argument, nullptr, Flag::cycles},
                               {"orders", no_argument, nullptr, Flag::orders},
                               {"no-hosts", no_argument, nullptr, Flag::noHosts},
                               {"no-limits", no_argument, nullptr, Flag::noLimits},
                               {"keep", no_argument, nullptr, Flag::keep},
                               {"help", no_argument, nullptr, Flag::help},
                               {nullptr, 0, nullptr, 0}};

struct Flags {
  std::uint64_t firstSeed = 0;
  std::uint64_t lastSeed = 0;
  bool seedsGiven = false;
  bool help = false;
  SoakOptions soak;
};

/// @return false if the text is no number of the range.
bool readNumber(const char* text, std::uint64_t least, std::uint64_t most, std::uint64_t& number) {
  return parseNumber(text, number) && number >= least && number <= most;
}

/// @return false if the flag's value is refused.
bool takeFlag(int flag, const char* value, Flags& flags) {
  std::uint64_t number = 0;
  switch (flag) {
    case Flag::seeds:
      flags.seedsGiven = true;
      return parseSeeds(value, flags.firstSeed, flags.lastSeed);
    case Flag::servers:
      flags.soak.servers = readNumber(value, kLeastServers, kMaxServers, number) ? number : 0;
      return flags.soak.servers != 0;
    case Flag::gateways:
      flags.soak.gateways = readNumber(value, 1, kMaxGateways, number) ? number : 0;
      return flags.soak.gateways != 0;
    case Flag::workers:
      if (!readNumber(value, 2, kMaxWorkers, number)) {
        return false;
      }
      flags.soak.plainWorkers = std::max<std::uint64_t>(number / kPlainPart, 1);
      flags.soak.modelWorkers = number - flags.soak.plainWorkers;
      return true;
    case Flag::duration:
      flags.soak.faults =
          std::chrono::seconds(readNumber(value, 1, kMaxSeconds, number) ? number : 0);
      return flags.soak.faults > base::Duration::zero();
    case Flag::cycles:
      flags.soak.cycles = readNumber(value, 1, kMaxCycles, number) ? number : 0;
      return flags.soak.cycles != 0;
    case Flag::orders:
      flags.soak.ordersOnly = true;
      flags.soak.limits = false;
      flags.soak.hosts = false;
      return true;
    case Flag::noHosts:
      flags.soak.hosts = false;
      return true;
    case Flag::noLimits:
      flags.soak.limits = false;
      flags.soak.hosts = false;
      return true;
    case Flag::keep:
      flags.soak.keepsLogs = true;
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

int percent(double share) {
  constexpr int kHundred = 100;
  return static_cast<int>(share * kHundred);
}

void print(std::uint64_t seed, const SoakResult& result) {
  std::cout << "seed " << seed << (result.passed ? " passed" : " FAILED")
            << " served-before=" << percent(result.servedBefore)
            << "% until-recovery=" << percent(result.servedSoonAfter)
            << "% after=" << percent(result.servedAfter) << "%";
  for (const auto& [event, count] : result.counts) {
    std::cout << ", " << event << ": " << count;
  }
  std::cout << "\n";
  for (const std::string& violation : result.violations) {
    std::cout << "  " << violation << "\n";
  }
  if (!result.folder.empty()) {
    std::cout << "  logs: " << result.folder << "\n";
  }
  std::cout.flush();
}

}  // namespace

int runSoakCommand(int argc, char** argv) {
  Flags flags;
  if (!parseFlags(argc, argv, flags)) {
    std::cerr << kUsage;
    return static_cast<int>(ExitCode::usage);
  }
  if (flags.help) {
    std::cout << kUsage;
    return static_cast<int>(ExitCode::ok);
  }
  flags.soak.binFolder = std::filesystem::canonical("/proc/self/exe").parent_path().string();
  std::uint64_t failed = 0;
  for (std::uint64_t seed = flags.firstSeed; seed <= flags.lastSeed; ++seed) {
    flags.soak.seed = seed;
    const auto result = runSoak(flags.soak);
    if (result.has_error()) {
      std::cerr << "walnut-rehearse soak: " << result.error().field << ": " << result.error().detail
                << "\n";
      return static_cast<int>(ExitCode::unavailable);
    }
    print(seed, result.value());
    failed += result.value().passed ? 0 : 1;
  }
  std::cout << flags.lastSeed - flags.firstSeed + 1 << " seeds, " << failed << " failed\n";
  return failed == 0 ? 0 : 1;
}

}  // namespace walnut::rehearsal
