/// @file
/// Subcommand experiment: cold starts against idle accelerator hours, for several policies.

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <string>

#include "commands.h"
#include "experiment/campaign.h"
#include "experiment/report.h"
#include "experiment/scenario.h"
#include "walnut/runtime/settings.h"

namespace walnut::rehearsal {

namespace {

using runtime::ExitCode;

struct ExperimentSettings {
  std::string deployment = "muistikortti";
  std::string policy = "all";
  std::string out;
  std::int64_t days = 1;
  std::int64_t seed = 1;
  std::int64_t seeds = 1;
  std::int64_t jobs = 1;
  std::int64_t target = 0;
};

constexpr std::int64_t kMaxDays = 30;
constexpr std::int64_t kMaxSeed = 1'000'000;
constexpr std::int64_t kMaxSeeds = 1000;
constexpr std::int64_t kMaxJobs = 256;
constexpr std::int64_t kMaxTarget = 3600;

void declare(runtime::Settings& keys, ExperimentSettings& chosen) {
  keys.addChoice("deployment", chosen.deployment, {"small", "muistikortti", "gallery"},
                 "what is simulated");
  keys.addString("policy", chosen.policy,
                 "all, learned, learned-PRICE, unload-at-once, idle-1-min, idle-10-min, "
                 "idle-60-min or all-loaded");
  keys.addInteger("days", chosen.days, 1, kMaxDays, "measured days, after one that is not");
  keys.addInteger("seed", chosen.seed, 0, kMaxSeed, "first seed");
  keys.addInteger("seeds", chosen.seeds, 1, kMaxSeeds, "number of seeds");
  keys.addInteger("jobs", chosen.jobs, 1, kMaxJobs, "runs at the same time");
  keys.addInteger("target-seconds", chosen.target, 0, kMaxTarget,
                  "cold_start_target_seconds of the learned policies");
  keys.addString("out", chosen.out, "folder for the CSV files and the page");
}

experiment::CampaignOptions campaignOf(const ExperimentSettings& chosen) {
  experiment::CampaignOptions campaign;
  campaign.deployment = experiment::findExperimentDeployment(chosen.deployment);
  campaign.policies =
      experiment::policiesNamed(chosen.policy, static_cast<std::uint32_t>(chosen.target));
  campaign.firstSeed = static_cast<std::uint64_t>(chosen.seed);
  campaign.lastSeed = static_cast<std::uint64_t>(chosen.seed + chosen.seeds - 1);
  campaign.days = static_cast<std::uint32_t>(chosen.days);
  campaign.jobs = static_cast<unsigned>(chosen.jobs);
  return campaign;
}

std::string titleOf(const ExperimentSettings& chosen) {
  return chosen.deployment + ", " + std::to_string(chosen.days) + " days, seeds " +
         std::to_string(chosen.seed) + " to " + std::to_string(chosen.seed + chosen.seeds - 1);
}

/// @return false if a file could not be written.
bool writeFiles(const ExperimentSettings& chosen,
                const std::vector<experiment::NamedPolicy>& policies,
                const std::vector<experiment::Figures>& runs) {
  const std::filesystem::path folder(chosen.out);
  std::error_code failure;
  std::filesystem::create_directories(folder, failure);
  const auto summaries = experiment::summarize(policies, runs);
  const auto comparisons = experiment::compare(policies, runs);
  std::ofstream runsFile(folder / "runs.csv");
  experiment::writeRunsCsv(runsFile, runs);
  std::ofstream summaryFile(folder / "summary.csv");
  experiment::writeSummaryCsv(summaryFile, summaries);
  std::ofstream comparisonFile(folder / "comparison.csv");
  experiment::writeComparisonCsv(comparisonFile, comparisons);
  std::ofstream page(folder / "report.html");
  experiment::writeHtml(page, titleOf(chosen), summaries, comparisons);
  return runsFile.good() && summaryFile.good() && comparisonFile.good() && page.good();
}

bool anyViolation(const std::vector<experiment::Figures>& runs) {
  return std::any_of(runs.begin(), runs.end(),
                     [](const experiment::Figures& run) { return run.violations > 0; });
}

}  // namespace

int runExperiment(int argc, char** argv) {
  ExperimentSettings chosen;
  runtime::Settings settings("walnut-rehearse experiment",
                             "Cold starts against idle accelerator hours, over simulated days.");
  declare(settings, chosen);
  const runtime::Settings::Parsed parsed = settings.parse(argc, argv);
  if (parsed.exitNow) {
    return static_cast<int>(parsed.exitCode);
  }
  const experiment::CampaignOptions campaign = campaignOf(chosen);
  if (campaign.policies.empty() || chosen.out.empty()) {
    std::cerr << "walnut-rehearse experiment: "
              << (chosen.out.empty() ? "missing_field: out" : "not_found: policy") << "\n";
    return static_cast<int>(ExitCode::usage);
  }
  const auto runs = experiment::runCampaign(campaign, [](const experiment::Figures& run) {
    std::cout << run.policy << " seed " << run.seed << ": idle " << run.idleHours
              << " h, cold starts " << run.interactive().coldSeconds.size() << ", p99 "
              << run.interactive().coldQuantile(0.99) << " s" << std::endl;
  });
  if (!writeFiles(chosen, campaign.policies, runs)) {
    std::cerr << "walnut-rehearse experiment: file_error: out: " << chosen.out << "\n";
    return static_cast<int>(ExitCode::unavailable);
  }
  return static_cast<int>(anyViolation(runs) ? ExitCode::failed : ExitCode::ok);
}

}  // namespace walnut::rehearsal
