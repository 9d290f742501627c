#include "routing/prefix_index.h"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace walnut;
using namespace walnut::routing;

namespace {

base::EngineId engineNumber(std::uint64_t number) { return {"engine" + std::to_string(number)}; }

}  // namespace

TEST_GROUP(PrefixIndexTest) { PrefixIndex index; };

TEST(PrefixIndexTest, isBoundedOverAllEngines) {
  constexpr std::uint64_t kEngines = 40;
  constexpr std::uint64_t kBlocksOfEngine = 4000;
  for (std::uint64_t engine = 0; engine < kEngines; ++engine) {
    for (std::uint64_t block = 0; block < kBlocksOfEngine; ++block) {
      index.recordPrompt(engineNumber(engine), {block});
    }
  }
  CHECK_EQUAL(kMaxPrefixHashes, index.size());
  CHECK_EQUAL(0U, index.matchingBlocks(engineNumber(0), {kBlocksOfEngine - 1}));
  CHECK_EQUAL(1U, index.matchingBlocks(engineNumber(kEngines - 1), {0}));
}

TEST(PrefixIndexTest, erasingAnEngineRemovesOnlyItsBlocks) {
  index.recordPrompt(engineNumber(1), {1, 2, 3});
  index.recordPrompt(engineNumber(2), {1, 2});
  index.eraseEngine(engineNumber(1));
  CHECK_EQUAL(2U, index.size());
  CHECK_EQUAL(0U, index.matchingBlocks(engineNumber(1), {1}));
  CHECK_EQUAL(2U, index.matchingBlocks(engineNumber(2), {1, 2, 3}));
}

TEST(PrefixIndexTest, evictionsAndSequenceGapsRemoveBlocks) {
  index.recordPrompt(engineNumber(1), {1, 2});
  index.apply(engineNumber(1), {{1, {}, 2, true}});
  CHECK_EQUAL(1U, index.matchingBlocks(engineNumber(1), {1, 2}));
  index.apply(engineNumber(1), {{5, {}, 9, false}});
  CHECK_EQUAL(0U, index.matchingBlocks(engineNumber(1), {1}));
  CHECK_EQUAL(1U, index.size());
}
