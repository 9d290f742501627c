#include "walnut/storage/log_storage.h"

#include <algorithm>

#include "base/archive.h"
#include "storage/checked_block.h"
#include "storage/memory_file_system.h"
#include "storage/scripted_batches.h"
#include "storage/segment.h"
#include "storage/state_files.h"
#include "walnut/factories.h"

// Must be included last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::storage;
using namespace walnut::storage::test;

namespace {

constexpr std::uint64_t kSegmentBytes = 300;

std::size_t segmentCount(FileSystem& files) {
  const std::vector<std::string> names = files.list().value();
  return static_cast<std::size_t>(
      std::count_if(names.begin(), names.end(),
                    [](const std::string& name) { return segmentNumberOf(name) != 0; }));
}

}  // namespace

TEST_GROUP(LogStorageTest) {
  MemoryFileSystem files;
  std::unique_ptr<LogStorage> storage = makeLogStorage(files, kSegmentBytes);

  consensus::RecoveredState recoverAnew() {
    storage = makeLogStorage(files, kSegmentBytes);
    auto recovered = storage->recover(base::ServerId{99});
    CHECK_TRUE(recovered.has_value());
    return recovered.value();
  }
};

TEST(LogStorageTest, identityIsDrawnOnceAndKept) {
  CHECK_TRUE(equal(freshState(), storage->recover(kIdentity).value()));
  consensus::PersistBatch first;
  first.syncsRecovered = true;
  CHECK_TRUE(storage->persist(first).has_value());
  files.crash({DataLoss::all, FolderLoss::all});
  CHECK_TRUE(equal(freshState(), recoverAnew()));
}

/// Earlier builds keep the hard state in the vote file alone.
TEST(LogStorageTest, theLaterOfVoteFileAndLogCounts) {
  CHECK_TRUE(storage->recover(kIdentity).has_value());
  consensus::PersistBatch batch;
  batch.entries = makeEntries(1, 1, 2);
  CHECK_TRUE(storage->persist(batch).has_value());
  const consensus::HardState earlier{4, base::ServerId{2}};
  files.replaceContents(kVoteFile, encodeBlock(BlockKind::vote, base::encode(earlier)));
  CHECK_TRUE(recoverAnew().hardState == earlier);
  batch = {};
  batch.hardState = consensus::HardState{5, base::ServerId{}};
  CHECK_TRUE(storage->persist(batch).has_value());
  CHECK_TRUE(recoverAnew().hardState == *batch.hardState);
}

TEST(LogStorageTest, theHardStateOutlivesItsSegment) {
  CHECK_TRUE(storage->recover(kIdentity).has_value());
  consensus::PersistBatch batch;
  batch.hardState = consensus::HardState{7, base::ServerId{3}};
  batch.entries = makeEntries(7, 1, 9);
  CHECK_TRUE(storage->persist(batch).has_value());
  consensus::PersistBatch replaced;
  replaced.snapshot = makeSnapshot(20, 7);
  replaced.discardLog = true;
  CHECK_TRUE(storage->persist(replaced).has_value());
  CHECK_EQUAL(0U, segmentCount(files));
  CHECK_TRUE(recoverAnew().hardState == *batch.hardState);
  consensus::PersistBatch entries;
  for (consensus::LogIndex index = 21; index < 60; ++index) {
    entries.entries = makeEntries(7, index, index);
    CHECK_TRUE(storage->persist(entries).has_value());
  }
  consensus::PersistBatch compaction;
  compaction.snapshot = makeSnapshot(55, 7);
  compaction.compactTo = 55;
  CHECK_TRUE(storage->persist(compaction).has_value());
  CHECK_TRUE(recoverAnew().hardState == *batch.hardState);
}

TEST(LogStorageTest, folderWithoutIdentityIsRefusedIfNoneIsGiven) {
  const std::vector<std::vector<std::string>> cases = {{}, {"vote.tmp"}, {"identity.tmp"}, {"x"}};
  for (const std::vector<std::string>& names : cases) {
    MemoryFileSystem folder;
    for (const std::string& name : names) {
      folder.replaceContents(name, "");
    }
    const auto recovered = makeLogStorage(folder, kSegmentBytes)->recover(base::ServerId{});
    CHECK_FALSE(recovered.has_value());
    CHECK_TRUE(recovered.error().code == base::ErrorCode::identityLost);
    CHECK_TRUE(folder.list().value() == names);
  }
}

TEST(LogStorageTest, unknownFilesAreNotTouched) {
  const std::vector<std::string> names = {"notes.tmp", "log-1",           "log-zzzzzzzzzzzzzzzz",
                                          "log-",      "snapshot.backup", "lost+found"};
  for (const std::string& name : names) {
    files.replaceContents(name, "?");
  }
  CHECK_TRUE(storage->recover(kIdentity).has_value());
  consensus::PersistBatch batch;
  batch.entries = makeEntries(1, 1, 9);
  CHECK_TRUE(storage->persist(batch).has_value());
  CHECK_EQUAL(9U, recoverAnew().entries.size());
  for (const std::string& name : names) {
    STRCMP_EQUAL("?", files.read(name).value().c_str());
  }
}

TEST(LogStorageTest, persistBeforeRecoverIsRefused) {
  CHECK_TRUE(storage->persist({}).error().code == base::ErrorCode::internal);
}

TEST(LogStorageTest, emptyBatchDoesNothing) {
  CHECK_TRUE(storage->recover(kIdentity).has_value());
  files.failAfter(0);
  CHECK_TRUE(storage->persist({}).has_value());
}

TEST(LogStorageTest, aBatchWithAGapIsRefusedBeforeItIsWritten) {
  struct Case {
    consensus::LogIndex truncateFrom;
    consensus::LogIndex from;
  };
  for (const Case& each : {Case{0, 7}, Case{0, 5}, Case{4, 6}, Case{3, 3}, Case{2, 2}}) {
    MemoryFileSystem folder;
    const auto logStorage = makeLogStorage(folder, kSegmentBytes);
    CHECK_TRUE(logStorage->recover(kIdentity).has_value());
    consensus::PersistBatch first;
    first.entries = makeEntries(1, 1, 5);
    CHECK_TRUE(logStorage->persist(first).has_value());
    consensus::PersistBatch snapshot;
    snapshot.snapshot = makeSnapshot(3, 1);
    CHECK_TRUE(logStorage->persist(snapshot).has_value());
    consensus::PersistBatch batch;
    if (each.truncateFrom != 0) {
      batch.truncateFrom = each.truncateFrom;
    }
    batch.entries = makeEntries(2, each.from, each.from);
    folder.failAfter(0);
    CHECK_TRUE(logStorage->persist(batch).error().code == base::ErrorCode::internal);
  }
}

TEST(LogStorageTest, manySegmentsAndCompaction) {
  CHECK_TRUE(storage->recover(kIdentity).has_value());
  consensus::RecoveredState expected = freshState();
  for (consensus::LogIndex index = 1; index <= 200; ++index) {
    consensus::PersistBatch batch;
    batch.entries = makeEntries(1, index, index);
    CHECK_TRUE(storage->persist(batch).has_value());
    expected = prefixStates(expected, batch).back();
  }
  const std::size_t before = segmentCount(files);
  CHECK_TRUE(before > 40);
  CHECK_TRUE(equal(expected, recoverAnew()));

  consensus::PersistBatch compaction;
  compaction.snapshot = makeSnapshot(190, 1);
  compaction.compactTo = 150;
  CHECK_TRUE(storage->persist(compaction).has_value());
  expected = prefixStates(expected, compaction).back();
  const std::size_t after = segmentCount(files);
  CHECK_TRUE(after < before / 2);
  CHECK_TRUE(after > before / 5);
  CHECK_TRUE(equal(expected, recoverAnew()));
}

TEST(LogStorageTest, compactionWithoutASnapshotRemovesNothing) {
  CHECK_TRUE(storage->recover(kIdentity).has_value());
  consensus::PersistBatch batch;
  for (consensus::LogIndex index = 1; index <= 20; ++index) {
    batch.entries = makeEntries(1, index, index);
    batch.compactTo = index;
    CHECK_TRUE(storage->persist(batch).has_value());
  }
  CHECK_EQUAL(20U, recoverAnew().entries.size());
}

TEST(LogStorageTest, installedSnapshotReplacesALongerLog) {
  CHECK_TRUE(storage->recover(kIdentity).has_value());
  consensus::PersistBatch batch;
  batch.entries = makeEntries(1, 1, 30);
  batch.hardState = consensus::HardState{2, base::ServerId{3}};
  CHECK_TRUE(storage->persist(batch).has_value());
  consensus::PersistBatch install;
  install.snapshot = makeSnapshot(10, 2);
  install.discardLog = true;
  CHECK_TRUE(storage->persist(install).has_value());
  CHECK_EQUAL(0U, segmentCount(files));
  const consensus::RecoveredState state = recoverAnew();
  CHECK_EQUAL(0U, state.entries.size());
  CHECK_TRUE(*install.snapshot == *state.snapshot);
  CHECK_TRUE(*batch.hardState == state.hardState);
  batch.entries = makeEntries(2, 11, 12);
  CHECK_TRUE(storage->persist(batch).has_value());
  CHECK_EQUAL(2U, recoverAnew().entries.size());
}

TEST_GROUP(SyncCountTest) {
  std::size_t syncs = 0;
  std::unique_ptr<FileSystem> counted =
      makeSyncHookFileSystem(std::make_unique<MemoryFileSystem>(), [this] { ++syncs; });
  std::unique_ptr<LogStorage> storage = makeLogStorage(*counted, kSegmentBytes);

  void recover() {
    storage = makeLogStorage(*counted, kSegmentBytes);
    syncs = 0;
    CHECK_TRUE(storage->recover(kIdentity).has_value());
    CHECK_EQUAL_TEXT(0U, syncs, "a recovery promises nothing");
  }
  std::size_t syncsOf(const consensus::PersistBatch& batch) {
    syncs = 0;
    CHECK_TRUE(storage->persist(batch).has_value());
    return syncs;
  }
  static consensus::PersistBatch voteBatch(consensus::Term term) {
    consensus::PersistBatch batch;
    batch.hardState = consensus::HardState{term, base::ServerId{1}};
    return batch;
  }
};

/// Guards against a server that starts too slowly to be a voter in time where syncs are slow.
TEST(SyncCountTest, aFreshFolderTakesTwoSyncsAndItsFirstEntriesOne) {
  recover();
  consensus::PersistBatch first;
  first.syncsRecovered = true;
  CHECK_EQUAL(2U, syncsOf(first));
  consensus::PersistBatch entries = voteBatch(1);
  entries.entries = makeEntries(1, 1, 2);
  CHECK_EQUAL(1U, syncsOf(entries));
}

/// Guards against an election that takes more than one sync where syncs are slow.
TEST(SyncCountTest, aVoteTakesOneSyncAlsoWithEntriesAndAfterARecovery) {
  recover();
  CHECK_EQUAL(3U, syncsOf(voteBatch(1)));
  CHECK_EQUAL(1U, syncsOf(voteBatch(2)));
  consensus::PersistBatch both = voteBatch(3);
  both.entries = makeEntries(3, 1, 1);
  CHECK_EQUAL(1U, syncsOf(both));
  recover();
  consensus::PersistBatch next = voteBatch(4);
  next.syncsRecovered = true;
  CHECK_EQUAL(1U, syncsOf(next));
  recover();
  consensus::PersistBatch nothing;
  nothing.syncsRecovered = true;
  CHECK_EQUAL(1U, syncsOf(nothing));
}

TEST(LogStorageTest, anIdentityThatWasNeverInUseIsReplaced) {
  CHECK_TRUE(storage->recover(kIdentity).has_value());
  consensus::PersistBatch first;
  first.syncsRecovered = true;
  CHECK_TRUE(storage->persist(first).has_value());
  CHECK_TRUE(files.remove("vote").has_value());
  CHECK_EQUAL(99U, recoverAnew().self.value);
}
