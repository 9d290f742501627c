#pragma once
/// @file
/// Runs of several policies over several seeds.

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "experiment/metrics.h"
#include "experiment/policies.h"
#include "simulator/deployment.h"

namespace walnut::experiment {

struct CampaignOptions {
  const simulator::Deployment* deployment = nullptr;
  std::vector<NamedPolicy> policies;
  std::uint64_t firstSeed = 1;
  std::uint64_t lastSeed = 1;
  std::uint32_t days = 1;  ///< Measured, after one day that is not.
  unsigned jobs = 1;
};

/// One run. The same seed gives every policy the same requests and the same caches.
Figures runPolicy(const simulator::Deployment& deployment, const NamedPolicy& policy,
                  std::uint32_t days, std::uint64_t seed);

/// @param finished is called after each run, by one thread at a time.
/// @return the figures by policy, in the order of the options, then by seed.
std::vector<Figures> runCampaign(const CampaignOptions& options,
                                 const std::function<void(const Figures&)>& finished);

}  // namespace walnut::experiment
