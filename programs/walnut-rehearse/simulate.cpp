/// @file
/// Subcommand simulate: seeded runs of the whole system under virtual time, judged by the oracle.

#include <getopt.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <iostream>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "commands.h"
#include "seed_range.h"
#include "simulator/campaign.h"
#include "simulator/coverage.h"
#include "simulator/trace.h"
#include "walnut/runtime/settings.h"

namespace walnut::rehearsal {

namespace {

using runtime::ExitCode;

constexpr unsigned kMaxJobs = 256;
/// Lines of the timeline that are printed of a failing run; all with --trace.
constexpr std::size_t kTimelineLines = 60;

constexpr const char* kUsage =
    "Usage: walnut-rehearse simulate --seeds A-B [FLAGS]\n"
    "Runs the product's own logic under virtual time, with faults drawn by seed.\n"
    "  --seeds A-B        seeds to run, or one seed A\n"
    "  --preset NAME      small | muistikortti | gallery; default: small\n"
    "  --sabotage NAME    plant a fault in the kit that the oracle must catch\n"
    "  --list-sabotage    list these faults and exit\n"
    "  --no-faults        draw no faults\n"
    "  --only-fault NAME  this fault, often, in place of those that the seed draws\n"
    "  --trace            print every event of each run\n"
    "  --jobs N           runs at the same time, 1 .. 256; default: 1\n"
    "Exit code 1: a violation, or a planted fault that was not caught.\n";

/// The command line. Its switches take no value, which runtime::Settings does not offer.
struct Flags {
  simulator::CampaignOptions campaign;
  std::string preset = "small";
  std::optional<simulator::SabotageInfo> sabotage;
  bool listSabotage = false;
  bool help = false;
  bool seedsGiven = false;
};

enum Flag : int {
  seeds = 1,
  preset,
  sabotage,
  listSabotage,
  noFaults,
  onlyFault,
  trace,
  jobs,
  help
};

constexpr option kOptions[] = {{"seeds", required_argument, nullptr, Flag::seeds},
                               {"preset", required_argument, nullptr, Flag::preset},
                               {"sabotage", required_argument, nullptr, Flag::sabotage},
                               {"list-sabotage", no_argument, nullptr, Flag::listSabotage},
                               {"no-faults", no_argument, nullptr, Flag::noFaults},
                               {"only-fault", required_argument, nullptr, Flag::onlyFault},
                               {"trace", no_argument, nullptr, Flag::trace},
                               {"jobs", required_argument, nullptr, Flag::jobs},
                               {"help", no_argument, nullptr, Flag::help},
                               {nullptr, 0, nullptr, 0}};

/// @return false if the flag's value is refused.
bool takeFlag(int flag, const char* value, Flags& flags) {
  std::uint64_t number = 0;
  switch (flag) {
    case Flag::seeds:
      flags.seedsGiven = true;
      return parseSeeds(value, flags.campaign.firstSeed, flags.campaign.lastSeed);
    case Flag::preset:
      flags.preset = value;
      flags.campaign.deployment = simulator::findDeployment(value);
      return flags.campaign.deployment != nullptr;
    case Flag::sabotage:
      flags.sabotage = simulator::findSabotage(value);
      return flags.sabotage.has_value();
    case Flag::jobs:
      if (!parseNumber(value, number) || number == 0 || number > kMaxJobs) {
        return false;
      }
      flags.campaign.jobs = static_cast<unsigned>(number);
      return true;
    case Flag::listSabotage:
      flags.listSabotage = true;
      return true;
    case Flag::noFaults:
      flags.campaign.faults = false;
      return true;
    case Flag::onlyFault:
      flags.campaign.onlyFault = simulator::findFault(value);
      return flags.campaign.onlyFault.has_value();
    case Flag::trace:
      flags.campaign.keepTrace = true;
      return true;
    case Flag::help:
      flags.help = true;
      return true;
    default:
      return false;
  }
}

std::optional<Flags> parseFlags(int argc, char** argv) {
  Flags flags;
  flags.campaign.deployment = simulator::findDeployment(flags.preset);
  optind = 0;
  int found = getopt_long(argc, argv, "", kOptions, nullptr);
  while (found != -1) {
    if (!takeFlag(found, optarg, flags)) {
      if (found != '?') {
        std::cerr << "walnut-rehearse simulate: value not accepted: " << optarg << "\n";
      }
      return std::nullopt;
    }
    found = getopt_long(argc, argv, "", kOptions, nullptr);
  }
  if (optind != argc || !(flags.seedsGiven || flags.listSabotage || flags.help)) {
    return std::nullopt;
  }
  if (flags.sabotage) {
    flags.campaign.sabotage = flags.sabotage->sabotage;
  }
  return flags;
}

void printSabotages() {
  for (const simulator::SabotageInfo& info : simulator::sabotageTable()) {
    std::cout << info.name << ": " << info.description << " (";
    for (std::size_t index = 0; index < info.points.size(); ++index) {
      std::cout << (index == 0 ? "" : " or ") << simulator::pointName(info.points[index]);
    }
    std::cout << ")\n";
  }
}

std::string replayCommand(const Flags& flags, std::uint64_t seed) {
  std::string command = "walnut-rehearse simulate --seeds " + std::to_string(seed) + "-" +
                        std::to_string(seed) + " --preset " + flags.preset;
  if (flags.sabotage) {
    command += std::string(" --sabotage ") + flags.sabotage->name;
  }
  if (!flags.campaign.faults) {
    command += " --no-faults";
  }
  if (flags.campaign.onlyFault) {
    command += std::string(" --only-fault ") + simulator::faultName(*flags.campaign.onlyFault);
  }
  return command + " --trace";
}

void printTimeline(const Flags& flags, const simulator::RunReport& report) {
  const bool failed = !flags.campaign.keepTrace && !report.failureTimeline.empty();
  const std::vector<std::string>& lines = failed ? report.failureTimeline : report.timeline;
  const std::size_t all = lines.size();
  const std::size_t shown = flags.campaign.keepTrace ? all : std::min(all, kTimelineLines);
  for (std::size_t line = all - shown; line < all; ++line) {
    std::cout << "  " << lines[line] << "\n";
  }
}

void printRun(const Flags& flags, const simulator::RunReport& report) {
  const bool single = flags.campaign.firstSeed == flags.campaign.lastSeed;
  if (!single && !flags.campaign.keepTrace && report.violations.empty()) {
    return;
  }
  printTimeline(flags, report);
  for (const simulator::PointViolation& violation : report.violations) {
    std::cout << "VIOLATION seed " << report.seed << " at" << simulator::formatTime(violation.at)
              << " s, " << simulator::pointName(violation.point) << ": " << violation.what << "\n";
  }
  char hash[17];
  std::snprintf(hash, sizeof(hash), "%016llx",
                static_cast<unsigned long long>(report.traceHash));  // NOLINT(runtime/int)
  std::cout << "seed " << report.seed << " trace hash " << hash << "\n";
  if (!report.violations.empty()) {
    std::cout << "replay: " << replayCommand(flags, report.seed) << "\n";
  }
  std::cout << std::flush;
}

void printSummary(const simulator::CampaignReport& campaign, double wallSeconds) {
  for (const std::string& line : simulator::describeActivity(campaign.counters)) {
    std::cout << line << "\n";
  }
  const std::vector<std::string> missing = simulator::missingActivity(campaign.counters);
  std::cout << "never seen in this range:";
  for (const std::string& name : missing) {
    std::cout << " [" << name << "]";
  }
  std::cout << (missing.empty() ? " nothing\n" : "\n");
  const double hours = static_cast<double>(campaign.simulated.count()) / 3.6e9;
  char line[120];
  std::snprintf(line, sizeof(line), "simulated %.2f hours in %.1f s: %.3f hours a second\n", hours,
                wallSeconds, hours / std::max(wallSeconds, 1e-9));
  std::cout << line;
}

/// @return true if every run ended with the violation that the planted fault must cause, alone.
bool printVerdicts(const simulator::SabotageInfo& info, const simulator::CampaignReport& campaign) {
  std::uint64_t caught = 0;
  for (const simulator::RunReport& report : campaign.reports) {
    const simulator::SabotageVerdict verdict = simulator::judgeSabotage(info, report);
    caught += verdict == simulator::SabotageVerdict::caught ? 1 : 0;
    if (verdict == simulator::SabotageVerdict::missed) {
      std::cout << "seed " << report.seed << ": sabotage was MISSED\n";
    } else if (verdict == simulator::SabotageVerdict::otherPoints) {
      std::cout << "seed " << report.seed << ": sabotage violated OTHER points than its own\n";
    }
  }
  std::cout << "sabotage " << info.name << ": caught in " << caught << " of " << campaign.runs
            << " runs\n";
  return caught == campaign.runs;
}

}  // namespace

int runSimulate(int argc, char** argv) {
  const std::optional<Flags> flags = parseFlags(argc, argv);
  if (!flags) {
    std::cerr << kUsage;
    return static_cast<int>(ExitCode::usage);
  }
  if (flags->help || flags->listSabotage) {
    flags->help ? void(std::cout << kUsage) : printSabotages();
    return static_cast<int>(ExitCode::ok);
  }
  const auto begun = std::chrono::steady_clock::now();
  const simulator::CampaignReport campaign = simulator::runCampaign(
      flags->campaign, [&](const simulator::RunReport& report) { printRun(*flags, report); });
  const std::chrono::duration<double> wall = std::chrono::steady_clock::now() - begun;
  printSummary(campaign, wall.count());
  const bool caught = !flags->sabotage || printVerdicts(*flags->sabotage, campaign);
  std::cout << "simulate: " << campaign.runs << " runs, " << campaign.violations << " violations\n";
  const bool clean = campaign.violations == 0 && caught;
  return static_cast<int>(clean ? ExitCode::ok : ExitCode::failed);
}

}  // namespace walnut::rehearsal
