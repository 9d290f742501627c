/// @file
/// The time that a simulated server's batches take, against what storage does.

#include "simulator/fleet_server.h"

#include <memory>
#include <vector>

#include "simulator/disk.h"
#include "walnut/factories.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::simulator;

namespace {

constexpr std::uint64_t kSegmentBytes = 1U << 20U;

consensus::LogEntry entryAt(consensus::LogIndex index) {
  return {1, index, consensus::EntryType::command, "command"};
}

/// @return batches of a server: the files of a new folder, its first term and entries, more
/// entries, a vote, a snapshot of its own and one of a leader.
std::vector<consensus::PersistBatch> batchesOfServer() {
  std::vector<consensus::PersistBatch> batches(6);
  batches[0].syncsRecovered = true;
  batches[1].hardState = consensus::HardState{1, base::ServerId{}};
  batches[1].entries = {entryAt(1), entryAt(2)};
  batches[2].entries = {entryAt(3), entryAt(4)};
  batches[3].hardState = consensus::HardState{2, base::ServerId{1}};
  batches[4].snapshot.emplace().lastIndex = 3;
  batches[5].snapshot.emplace().lastIndex = 9;
  batches[5].discardLog = true;
  batches[5].entries = {entryAt(10)};
  return batches;
}

}  // namespace

TEST_GROUP(FleetServerTest) {
  std::size_t syncs = 0;
  std::unique_ptr<storage::FileSystem> files =
      storage::makeSyncHookFileSystem(std::make_unique<Disk>(1), [this] { ++syncs; });

  std::unique_ptr<storage::LogStorage> recover() {
    auto storage = storage::makeLogStorage(*files, kSegmentBytes);
    CHECK_TRUE(storage->recover(base::ServerId{7}).has_value());
    return storage;
  }
  void checkCounts(storage::LogStorage & storage, const consensus::PersistBatch& batch,
                   bool isFirstOfFolder) {
    syncs = 0;
    CHECK_TRUE(storage.persist(batch).has_value());
    CHECK_EQUAL(syncs, syncCount(batch, isFirstOfFolder));
  }
};

/// Guards against simulated disks that are quicker than real ones.
TEST(FleetServerTest, batchesTakeAsManySyncsAsInStorage) {
  const std::unique_ptr<storage::LogStorage> storage = recover();
  bool isFirst = true;
  for (const consensus::PersistBatch& batch : batchesOfServer()) {
    checkCounts(*storage, batch, isFirst);
    isFirst = false;
  }
  const std::unique_ptr<storage::LogStorage> restarted = recover();
  consensus::PersistBatch vote;
  vote.hardState = consensus::HardState{3, base::ServerId{1}};
  vote.syncsRecovered = true;
  checkCounts(*restarted, vote, false);
}
