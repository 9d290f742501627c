#include "storage/memory_file_system.h"
#include "storage/scripted_batches.h"
#include "walnut/factories.h"

// Must be included last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::storage;
using namespace walnut::storage::test;

namespace {

/// Segment size, small enough that the script spans many segments.
constexpr std::uint64_t kSegmentBytes = 200;
/// Limit above the number of operations of the whole script; the loops end at the first run without
/// a failure.
constexpr std::uint64_t kMaxOperations = 100'000;

/// Result of a run of the script: the states that may be recovered after it.
struct Run {
  bool finished = false;
  std::vector<consensus::RecoveredState> allowed{freshState()};
};

/// Runs the script from the start until an operation fails.
Run runScript(FileSystem& files) {
  Run run;
  const auto storage = makeLogStorage(files, kSegmentBytes);
  if (!storage->recover(kIdentity)) {
    return run;
  }
  for (const consensus::PersistBatch& batch : scriptedBatches()) {
    run.allowed = prefixStates(run.allowed.back(), batch);
    if (!storage->persist(batch)) {
      return run;
    }
    run.allowed.erase(run.allowed.begin(), run.allowed.end() - 1);
  }
  run.finished = true;
  return run;
}

/// Checks that the folder recovers to an allowed state and that the log can be continued from
/// there.
void checkRecovers(FileSystem& files, const Run& run) {
  const auto storage = makeLogStorage(files, kSegmentBytes);
  const auto recovered = storage->recover(kIdentity);
  CHECK_TRUE_TEXT(recovered.has_value(), "recovery fails after a crash");
  CHECK_TRUE_TEXT(containsState(run.allowed, recovered.value()),
                  "the recovered state is not a prefix of the batch");

  consensus::RecoveredState expected = recovered.value();
  const consensus::LogIndex base = expected.snapshot ? expected.snapshot->lastIndex : 0;
  const consensus::LogIndex next = base + expected.entries.size() + 1;
  consensus::PersistBatch batch;
  batch.entries = makeEntries(9, next, next + 1);
  CHECK_TRUE(storage->persist(batch).has_value());
  expected.entries.insert(expected.entries.end(), batch.entries.begin(), batch.entries.end());
  const auto again = makeLogStorage(files, kSegmentBytes)->recover(kIdentity);
  CHECK_TRUE(again.has_value());
  CHECK_TRUE_TEXT(equal(expected, again.value()), "the log cannot be continued after recovery");
}

}  // namespace

TEST_GROUP(CrashTest){};

TEST(CrashTest, scriptRecoversAsAWhole) {
  MemoryFileSystem files;
  const Run run = runScript(files);
  CHECK_TRUE(run.finished);
  CHECK_EQUAL(1U, run.allowed.size());
  checkRecovers(files, run);
}

TEST(CrashTest, everyCrashPointLeavesAPrefix) {
  for (const Crash& crash : allCrashes()) {
    bool finished = false;
    for (std::uint64_t point = 0; !finished && point < kMaxOperations; ++point) {
      MemoryFileSystem files;
      files.failAfter(point);
      const Run run = runScript(files);
      finished = run.finished;
      files.crash(crash);
      checkRecovers(files, run);
    }
    CHECK_TRUE(finished);
  }
}

TEST(CrashTest, everyCrashWithinRecoveryLeavesAPrefix) {
  for (const Crash& crash : allCrashes()) {
    bool finished = false;
    for (std::uint64_t point = 0; !finished && point < kMaxOperations; ++point) {
      bool recovered = false;
      for (std::uint64_t second = 0; !recovered; ++second) {
        MemoryFileSystem files;
        files.failAfter(point);
        const Run run = runScript(files);
        finished = run.finished;
        files.crash(crash);
        files.failAfter(second);
        recovered = makeLogStorage(files, kSegmentBytes)->recover(kIdentity).has_value();
        files.crash(crash);
        checkRecovers(files, run);
      }
    }
  }
}

/// Guards against a torn frame that is taken for damage because the next process appended to it:
/// what a process recovers is synced together with its first batch.
TEST(CrashTest, aMachineCrashWithinTheFirstBatchAfterAProcessCrashLeavesAPrefix) {
  for (const Crash& crash : allCrashes()) {
    bool finished = false;
    for (std::uint64_t point = 0; !finished && point < kMaxOperations; ++point) {
      bool persisted = false;
      for (std::uint64_t second = 0; !persisted; ++second) {
        MemoryFileSystem files;
        files.failAfter(point);
        Run run = runScript(files);
        finished = run.finished;
        files.failAfter(kMaxOperations);
        const auto storage = makeLogStorage(files, kSegmentBytes);
        const auto recovered = storage->recover(kIdentity);
        CHECK_TRUE(recovered.has_value());
        consensus::PersistBatch batch;
        batch.hardState =
            consensus::HardState{recovered.value().hardState.term + 1, base::ServerId{1}};
        batch.syncsRecovered = true;
        files.failAfter(second);
        persisted = storage->persist(batch).has_value();
        files.crash(crash);
        const auto prefixes = prefixStates(recovered.value(), batch);
        if (persisted) {
          run.allowed = {prefixes.back()};
        } else {
          run.allowed.insert(run.allowed.end(), prefixes.begin(), prefixes.end());
        }
        checkRecovers(files, run);
      }
    }
  }
}

TEST(CrashTest, recoveredStateSurvivesALaterMachineCrashOnceItIsSynced) {
  // After a crash of the process alone, unsynced data is still readable. What the next process
  // recovers must not be lost if the machine stops after the first batch.
  for (std::uint64_t point = 0; point < kMaxOperations; ++point) {
    MemoryFileSystem files;
    files.failAfter(point);
    const Run run = runScript(files);
    files.failAfter(kMaxOperations);
    const auto storage = makeLogStorage(files, kSegmentBytes);
    const auto recovered = storage->recover(kIdentity);
    CHECK_TRUE(recovered.has_value());
    CHECK_TRUE(recovered.value().needsSync);
    consensus::PersistBatch first;
    first.syncsRecovered = true;
    CHECK_TRUE(storage->persist(first).has_value());
    files.crash({DataLoss::all, FolderLoss::all});
    Run reported;
    reported.allowed = {recovered.value()};
    checkRecovers(files, reported);
    if (run.finished) {
      return;
    }
  }
}

TEST(CrashTest, persistAfterAnErrorIsRefused) {
  MemoryFileSystem files;
  const auto storage = makeLogStorage(files, kSegmentBytes);
  CHECK_TRUE(storage->recover(kIdentity).has_value());
  consensus::PersistBatch batch;
  batch.entries = makeEntries(1, 1, 1);
  files.failAfter(1);
  CHECK_FALSE(storage->persist(batch).has_value());
  files.failAfter(kMaxOperations);
  const auto refused = storage->persist(batch);
  CHECK_FALSE(refused.has_value());
  CHECK_TRUE(refused.error().code == base::ErrorCode::internal);
}
