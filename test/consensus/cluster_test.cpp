/// @file
/// Property test of a whole cell. WALNUT_CONSENSUS_SEEDS sets the number of seeds and
/// WALNUT_CONSENSUS_FIRST_SEED the first seed, with which a failure can be reproduced.

#include "consensus/cluster.h"

#include <cstdlib>

// Must be included last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::consensus::test;

namespace {

constexpr std::uint64_t kDefaultSeeds = 150;

std::uint64_t fromEnvironment(const char* name, std::uint64_t otherwise) {
  const char* value = std::getenv(name);
  return value == nullptr ? otherwise : std::strtoull(value, nullptr, 10);
}

/// Runs a cell with each seed and prints the total counts of faults and events.
void runSeeds(std::uint64_t voters, base::Duration maxSlowSync = base::Duration::zero()) {
  const std::uint64_t first = fromEnvironment("WALNUT_CONSENSUS_FIRST_SEED", 1);
  const std::uint64_t seeds = fromEnvironment("WALNUT_CONSENSUS_SEEDS", kDefaultSeeds);
  ClusterCounts total;
  for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
    Cluster cluster(seed, voters, maxSlowSync);
    const std::string violation = cluster.run();
    const std::string text = "seed " + std::to_string(seed) + ": " + violation;
    CHECK_TRUE_TEXT(violation.empty(), text.c_str());
    total.add(cluster.counts());
  }
  UT_PRINT(total.describe().c_str());
  CHECK_TRUE(total.everyFaultReached());
}

}  // namespace

TEST_GROUP(ClusterTest){};

TEST(ClusterTest, threeServers) { runSeeds(3); }

TEST(ClusterTest, fiveServers) { runSeeds(5); }

/// Guards against elections that don't settle, and against what goes out before it is durable,
/// while syncs take longer than an election timeout.
TEST(ClusterTest, fiveServersWithSlowSyncs) { runSeeds(5, std::chrono::seconds(1)); }
