/// @file
/// Tests of the storage on the simulator's disk, with batches and crashes drawn by seed.

#include "simulator/disk.h"
#include "storage/scripted_batches.h"
#include "walnut/base/random.h"
#include "walnut/factories.h"

// Must be included last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::storage;
using namespace walnut::storage::test;

namespace {

constexpr std::uint64_t kSeeds = 300;
constexpr std::uint64_t kBatches = 40;
/// Approximate maximum number of disk operations per batch.
constexpr std::uint64_t kMaxOperationsPerBatch = 20;
constexpr std::uint64_t kSegmentBytes = 400;
constexpr double kCrashChance = 0.3;

/// Storage that crashes at random, together with its expected state.
class CrashingStorage {
 public:
  explicit CrashingStorage(std::uint64_t seed) : random_(seed), disk_(seed) { restart(); }

  simulator::Disk& disk() { return disk_; }

  /// @return false if a crash left a state that is not a prefix of the batch.
  bool persistOrCrash() {
    const consensus::PersistBatch batch = drawBatch();
    const std::vector<consensus::RecoveredState> prefixes = prefixStates(state_, batch);
    const bool crashes = random_.chance(kCrashChance);
    if (crashes) {
      disk_.armFailure(random_.uniform(0, kMaxOperationsPerBatch));
    }
    const bool durable = storage_->persist(batch).has_value();
    state_ = prefixes.back();
    if (!crashes) {
      return durable;
    }
    disk_.crash();
    const bool recovered = restart();
    return recovered &&
           (durable ? equal(prefixes.back(), state_) : containsState(prefixes, state_));
  }

 private:
  bool restart() {
    storage_ = makeLogStorage(disk_, kSegmentBytes);
    auto recovered = storage_->recover(kIdentity);
    if (recovered) {
      state_ = recovered.value();
    }
    return recovered.has_value();
  }

  consensus::PersistBatch drawBatch() {
    consensus::PersistBatch batch;
    const consensus::LogIndex base = state_.snapshot ? state_.snapshot->lastIndex : 0;
    consensus::LogIndex last = base + state_.entries.size();
    if (random_.chance(0.1)) {
      batch.discardLog = random_.chance(0.5);
      batch.snapshot = makeSnapshot(random_.uniform(base + 1, last + 5), term_);
      const bool replaced = batch.discardLog || batch.snapshot->lastIndex > last;
      last = replaced ? batch.snapshot->lastIndex : last;
      batch.compactTo = batch.snapshot->lastIndex;
    } else if (last > base && random_.chance(0.2)) {
      ++term_;
      batch.truncateFrom = random_.uniform(base + 1, last);
      last = *batch.truncateFrom - 1;
      batch.hardState = consensus::HardState{term_, base::ServerId{random_.uniform(0, 3)}};
    }
    batch.entries = makeEntries(term_, last + 1, last + random_.uniform(0, 4));
    return batch;
  }

  base::Random random_;
  simulator::Disk disk_;
  std::unique_ptr<LogStorage> storage_;
  consensus::RecoveredState state_;
  consensus::Term term_ = 1;
};

}  // namespace

TEST_GROUP(SimulatedDiskTest){};

TEST(SimulatedDiskTest, everyCrashLeavesAPrefix) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CrashingStorage storage(seed);
    for (std::uint64_t count = 0; count < kBatches; ++count) {
      CHECK_TRUE_TEXT(storage.persistOrCrash(), ("seed " + std::to_string(seed)).c_str());
    }
  }
}

TEST(SimulatedDiskTest, aDiskThatIgnoresSyncsIsNoticed) {
  CrashingStorage storage(1);
  storage.disk().ignoreSyncs();
  bool noticed = false;
  for (std::uint64_t count = 0; count < kBatches && !noticed; ++count) {
    noticed = !storage.persistOrCrash();
  }
  CHECK_TRUE(noticed);
}
