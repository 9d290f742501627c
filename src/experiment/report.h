#pragma once
/// @file
/// Files that an experiment leaves: figures of each run and of each policy, and a page to look at.

#include <ostream>
#include <string>
#include <vector>

#include "experiment/metrics.h"
#include "experiment/policies.h"

namespace walnut::experiment {

/// Mean over the seeds and the standard deviation of one seed.
struct Spread {
  double mean = 0;
  double deviation = 0;
};
Spread spreadOf(const std::vector<double>& values);

/// A policy over all its seeds.
struct PolicySummary {
  NamedPolicy policy;
  Spread idleHours;
  Spread coldStarts;  ///< Of interactive requests, a day.
  Spread coldP50;     ///< Seconds, over cold starts of interactive requests.
  Spread coldP95;
  Spread coldP99;
  Spread coldWorst;
  Spread startP99;     ///< Over all interactive requests, 0 if warm.
  Spread coldSeconds;  ///< In total, a day.
  Spread batchColdP99;
  Spread loads;                ///< A day.
  Spread refused;              ///< A day.
  Spread missed;               ///< Deadlines of batch requests, a day.
  Spread storeGiB;             ///< A day.
  double batchReadsAhead = 0;  ///< In all runs.
  double violations = 0;       ///< In all runs.
};

std::vector<PolicySummary> summarize(const std::vector<NamedPolicy>& policies,
                                     const std::vector<Figures>& runs);

/// How the learned curve compares with one baseline in one measure, over the seeds.
struct Comparison {
  std::string baseline;
  std::string measure;
  std::size_t seeds = 0;
  /// Seeds in which the learned curve, a line between its points, has at most the baseline's
  /// measure at the baseline's idle hours.
  std::size_t onOrAhead = 0;
  Spread baselineIdle;
  Spread baselineMeasure;
  Spread measureAtIdle;  ///< Of the learned curve at the baseline's idle hours.
  Spread idleAtMeasure;  ///< Least of the learned curve at the baseline's measure.
};

std::vector<Comparison> compare(const std::vector<NamedPolicy>& policies,
                                const std::vector<Figures>& runs);

void writeRunsCsv(std::ostream& output, const std::vector<Figures>& runs);
void writeSummaryCsv(std::ostream& output, const std::vector<PolicySummary>& summaries);
void writeComparisonCsv(std::ostream& output, const std::vector<Comparison>& comparisons);
/// @param title names the deployment, the days and the seeds.
void writeHtml(std::ostream& output, const std::string& title,
               const std::vector<PolicySummary>& summaries,
               const std::vector<Comparison>& comparisons);

}  // namespace walnut::experiment
