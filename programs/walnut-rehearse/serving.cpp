/// @file
/// Subcommand serving: seeded runs of a leader, gateways and workers of a model service under
/// virtual time, with workers that say they are well and fail what they are sent, and requests that
/// crash their workers.

#include <getopt.h>

#include <iostream>
#include <string>

#include "commands.h"
#include "seed_range.h"
#include "simulator/crash_campaign.h"
#include "simulator/late_answer_campaign.h"
#include "simulator/limit_campaign.h"
#include "simulator/part_campaign.h"
#include "simulator/retry_campaign.h"
#include "simulator/serving_campaign.h"
#include "simulator/silence_campaign.h"
#include "simulator/store_campaign.h"
#include "simulator/version_campaign.h"
#include "walnut/runtime/settings.h"

namespace walnut::rehearsal {

namespace {

using runtime::ExitCode;

constexpr const char* kUsage =
    "Usage: walnut-rehearse serving --seeds A-B\n"
    "           [--only failing|crashing|busy|limited|retries|silent|versions|\n"
    "                  slow-store|parts|late-answers|answering|answering-parts|rejoined|\n"
    "                  suspended-versions|suspended-rejoined]\n"
    "Runs a leader, gateways, workers and callers under virtual time. The seed draws the size of\n"
    "the fleet and workers that fail what they are sent, in overlapping episodes; and in two more\n"
    "runs requests that crash the workers that run them, beside changes of the leader and "
    "gateways\n"
    "that restart or stand still.\n"
    "  --seeds A-B     seeds to run, or one seed A\n"
    "  --only KIND     just the runs with failing workers, with crashing requests, with such\n"
    "                  requests beside others that queue, with workers that name the requests a\n"
    "                  second that they take, with gateways that are killed while workers fail,\n"
    "                  or ten kinds that are not among the others: with workers that are\n"
    "                  silent within streams beside new documents; with workers of several\n"
    "                  software versions; with a weight store that is too slow\n"
    "                  for the demand, once with callers that come back after a short pause and\n"
    "                  once with others that heed Retry-After; with prompts that share parts, one\n"
    "                  of which crashes workers; with workers that send answers once more;\n"
    "                  with requests, or parts, that crash workers which have begun to answer;\n"
    "                  with versions again, and all gateways killed at once; and with both of\n"
    "                  these beside gateways that stand still\n"
    "Exit code 1: a model or an adapter was asked for and never served; too little was served\n"
    "once all was well again; a request that had crashed three workers was sent to workers more\n"
    "than three times later on; another request was refused as if it did such things; a worker\n"
    "got more than the limit that it had named allows; a service got more retries than its retry\n"
    "budget allows; a gateway ended a stream though no worker had broken it, or passed its events\n"
    "on with a gap; a stream holds events of two software versions, or streams that callers take\n"
    "up go on less than half as often as new ones begin; more than three requests with a part\n"
    "under which five workers had crashed were sent to workers later on, or sound requests with\n"
    "the same first part began less than half as often as before; a request that may run once\n"
    "ran twice, or was refused though it ran.\n";

enum Flag : int { seeds = 1, only, help };

constexpr option kOptions[] = {{"seeds", required_argument, nullptr, Flag::seeds},
                               {"only", required_argument, nullptr, Flag::only},
                               {"help", no_argument, nullptr, Flag::help},
                               {nullptr, 0, nullptr, 0}};

/// @name Kinds of runs
/// @{
constexpr const char* kFailing = "failing";
constexpr const char* kCrashing = "crashing";
constexpr const char* kBusy = "busy";
constexpr const char* kLimited = "limited";
constexpr const char* kRetries = "retries";
constexpr const char* kSilent = "silent";
constexpr const char* kVersions = "versions";
constexpr const char* kSlowStore = "slow-store";
constexpr const char* kParts = "parts";
constexpr const char* kLateAnswers = "late-answers";
constexpr const char* kAnswering = "answering";
constexpr const char* kAnsweringParts = "answering-parts";
constexpr const char* kRejoined = "rejoined";
constexpr const char* kSuspendedVersions = "suspended-versions";
constexpr const char* kSuspendedRejoined = "suspended-rejoined";
/// @}

struct Flags {
  std::uint64_t firstSeed = 0;
  std::uint64_t lastSeed = 0;
  bool seedsGiven = false;
  std::string only;  ///< Empty: those kinds that kUsage lists as not among the others are left out.
  bool help = false;
};

bool isKind(const std::string& text) {
  return text == kFailing || text == kCrashing || text == kBusy || text == kLimited ||
         text == kRetries || text == kSilent || text == kVersions || text == kSlowStore ||
         text == kParts || text == kLateAnswers || text == kAnswering || text == kAnsweringParts ||
         text == kRejoined || text == kSuspendedVersions || text == kSuspendedRejoined;
}

bool parseFlags(int argc, char** argv, Flags& flags) {
  optind = 1;
  int flag = 0;
  while ((flag = getopt_long(argc, argv, "", kOptions, nullptr)) != -1) {
    if (flag == Flag::help) {
      flags.help = true;
    } else if (flag == Flag::seeds && parseSeeds(optarg, flags.firstSeed, flags.lastSeed)) {
      flags.seedsGiven = true;
    } else if (flag == Flag::only && isKind(optarg)) {
      flags.only = optarg;
    } else {
      return false;
    }
  }
  return optind == argc && (flags.seedsGiven || flags.help);
}

/// @return true if it passed.
template <class Result>
bool print(std::uint64_t seed, const char* kind, const Result& result) {
  std::cout << "seed " << seed << (result.passed() ? " passed" : " FAILED") << " "
            << result.description << "\n";
  if (!result.passed()) {
    std::cout << "replay: walnut-rehearse serving --only " << kind << " --seeds " << seed << "\n";
  }
  return result.passed();
}

/// @return true if all runs of the seed passed.
bool runSeed(std::uint64_t seed, const std::string& only) {
  const auto runs = [&only](const char* kind) { return only.empty() || only == kind; };
  bool passed = true;
  if (runs(kFailing)) {
    passed = print(seed, kFailing, simulator::runServingCampaign(seed)) && passed;
  }
  if (runs(kCrashing)) {
    passed =
        print(seed, kCrashing, simulator::runCrashCampaign(seed, simulator::CrashLoad::light)) &&
        passed;
  }
  if (runs(kBusy)) {
    passed =
        print(seed, kBusy, simulator::runCrashCampaign(seed, simulator::CrashLoad::busy)) && passed;
  }
  if (runs(kLimited)) {
    passed = print(seed, kLimited, simulator::runLimitCampaign(seed)) && passed;
  }
  if (runs(kRetries)) {
    passed = print(seed, kRetries, simulator::runRetryCampaign(seed)) && passed;
  }
  if (only == kSilent) {
    passed = print(seed, kSilent, simulator::runSilenceCampaign(seed)) && passed;
  }
  if (only == kVersions) {
    passed = print(seed, kVersions, simulator::runVersionCampaign(seed)) && passed;
  }
  if (only == kRejoined) {
    passed = print(seed, kRejoined, simulator::runRejoinedCampaign(seed)) && passed;
  }
  if (only == kSuspendedVersions) {
    passed =
        print(seed, kSuspendedVersions, simulator::runSuspendedVersionCampaign(seed)) && passed;
  }
  if (only == kSuspendedRejoined) {
    passed =
        print(seed, kSuspendedRejoined, simulator::runSuspendedRejoinedCampaign(seed)) && passed;
  }
  if (only == kParts) {
    passed = print(seed, kParts, simulator::runPartCampaign(seed)) && passed;
  }
  if (only == kLateAnswers) {
    passed = print(seed, kLateAnswers, simulator::runLateAnswerCampaign(seed)) && passed;
  }
  if (only == kAnswering) {
    passed = print(seed, kAnswering,
                   simulator::runCrashCampaign(seed, simulator::CrashLoad::busy,
                                               simulator::CrashMoment::whileAnswering)) &&
             passed;
  }
  if (only == kAnsweringParts) {
    passed = print(seed, kAnsweringParts,
                   simulator::runPartCampaign(seed, simulator::CrashMoment::whileAnswering)) &&
             passed;
  }
  if (only == kSlowStore) {
    passed = print(seed, kSlowStore, simulator::runStoreCampaign(seed)) && passed;
    passed = print(seed, kSlowStore, simulator::runHeedingCallersCampaign(seed)) && passed;
  }
  return passed;
}

}  // namespace

int runServing(int argc, char** argv) {
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
    failed += runSeed(seed, flags.only) ? 0 : 1;
  }
  std::cout << flags.lastSeed - flags.firstSeed + 1 << " seeds, " << failed << " failed\n";
  return failed == 0 ? 0 : 1;
}

}  // namespace walnut::rehearsal
