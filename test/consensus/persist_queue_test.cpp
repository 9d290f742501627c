#include "consensus/persist_queue.h"

#include "consensus/test_messages.h"

// Must be included last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::consensus;
using namespace walnut::consensus::test;

TEST_GROUP(PersistQueueTest) {
  RaftLog log{0, 0, {}};
  PersistQueue queue{{}, 0, false, 1};

  void append(Term term, LogIndex from, LogIndex to) {
    for (const LogEntry& entry : makeEntries(term, from, to)) {
      log.append(entry);
    }
  }

  void truncateFrom(LogIndex index) {
    log.truncateFrom(index);
    queue.logTruncated(index);
  }

  void persistAll() {
    CHECK_FALSE(queue.take(log).empty());
    queue.onPersisted(kAllBatches);
  }
};

TEST(PersistQueueTest, entriesCountOnceTheirBatchIsSynced) {
  append(1, 1, 3);
  CHECK_EQUAL(3U, queue.take(log).entries.size());
  append(1, 4, 5);
  CHECK_EQUAL(0U, queue.durableIndex());
  queue.onPersisted(kAllBatches);
  CHECK_EQUAL(3U, queue.durableIndex());
  CHECK_EQUAL(2U, queue.take(log).entries.size());
}

TEST(PersistQueueTest, entriesThatWereCutOffDuringTheirSyncDoNotCount) {
  append(1, 1, 5);
  CHECK_FALSE(queue.take(log).empty());
  truncateFrom(3);
  append(2, 3, 6);
  queue.onPersisted(kAllBatches);
  CHECK_EQUAL(2U, queue.durableIndex());
  const PersistBatch next = queue.take(log);
  CHECK_EQUAL(3U, next.truncateFrom.value());
  CHECK_TRUE(next.entries == makeEntries(2, 3, 6));
  queue.onPersisted(kAllBatches);
  CHECK_EQUAL(6U, queue.durableIndex());
}

TEST(PersistQueueTest, entriesThatStorageNeverSawNeedNoTruncation) {
  append(1, 1, 2);
  persistAll();
  append(1, 3, 5);
  truncateFrom(4);
  append(2, 4, 4);
  const PersistBatch batch = queue.take(log);
  CHECK_FALSE(batch.truncateFrom.has_value());
  CHECK_EQUAL(2U, batch.entries.size());
}

TEST(PersistQueueTest, severalTruncationsGoBackToTheLowest) {
  append(1, 1, 9);
  persistAll();
  truncateFrom(7);
  append(2, 7, 8);
  truncateFrom(4);
  append(3, 4, 4);
  truncateFrom(6);
  const PersistBatch batch = queue.take(log);
  CHECK_EQUAL(4U, batch.truncateFrom.value());
  CHECK_TRUE(batch.entries == makeEntries(3, 4, 4));
}

TEST(PersistQueueTest, anInstalledSnapshotVoidsWhatWasPending) {
  append(1, 1, 9);
  persistAll();
  truncateFrom(7);
  Snapshot snapshot;
  snapshot.lastIndex = 20;
  snapshot.lastTerm = 3;
  log.reset(20, 3);
  queue.snapshotInstalled(snapshot);
  append(3, 21, 22);
  CHECK_EQUAL(0U, queue.durableIndex());
  const PersistBatch batch = queue.take(log);
  CHECK_TRUE(batch.snapshot == snapshot);
  CHECK_TRUE(batch.discardLog);
  CHECK_FALSE(batch.truncateFrom.has_value());
  CHECK_TRUE(batch.entries == makeEntries(3, 21, 22));
  queue.onPersisted(kAllBatches);
  CHECK_EQUAL(22U, queue.durableIndex());
}

TEST(PersistQueueTest, aVoteIsDurableWithTheBatchThatHoldsIt) {
  append(1, 1, 1);
  CHECK_FALSE(queue.take(log).empty());
  queue.hardStateChanged({2, base::ServerId{7}});
  queue.onPersisted(kAllBatches);
  CHECK_TRUE(queue.durableHardState() == HardState{});
  CHECK_TRUE(queue.take(log).hardState == (HardState{2, base::ServerId{7}}));
  CHECK_TRUE(queue.durableHardState() == HardState{});
  queue.onPersisted(kAllBatches);
  CHECK_TRUE(queue.durableHardState() == (HardState{2, base::ServerId{7}}));
}

/// Guards against an entry that waits for the sync of an earlier one before its own begins.
TEST(PersistQueueTest, batchesOfEntriesOverlapAndCountInTheirOrder) {
  queue = PersistQueue({}, 0, false, 2);
  append(1, 1, 2);
  CHECK_EQUAL(1U, queue.take(log).number);
  CHECK_TRUE(queue.mayTake());
  append(1, 3, 5);
  CHECK_EQUAL(3U, queue.take(log).entries.size());
  CHECK_FALSE_TEXT(queue.mayTake(), "two are in flight");
  queue.hardStateChanged({2, base::ServerId{1}});
  CHECK_TRUE_TEXT(queue.mayTake(), "a vote waits for neither");
  queue.onPersisted(2);
  CHECK_EQUAL_TEXT(0U, queue.durableIndex(), "the sync of the first may still fail");
  queue.onPersisted(1);
  CHECK_EQUAL(5U, queue.durableIndex());
}

TEST(PersistQueueTest, aSnapshotOverlapsWithNothing) {
  queue = PersistQueue({}, 0, false, 3);
  append(1, 1, 5);
  CHECK_FALSE(queue.take(log).empty());
  Snapshot snapshot;
  snapshot.lastIndex = 3;
  queue.snapshotTaken(snapshot, 2);
  CHECK_FALSE(queue.mayTake());
  queue.onPersisted(1);
  CHECK_TRUE(queue.mayTake());
  CHECK_FALSE(queue.take(log).empty());
  append(1, 6, 6);
  CHECK_FALSE(queue.mayTake());
}

TEST(PersistQueueTest, whatWasRecoveredIsDurableWithTheFirstBatch) {
  const HardState recovered{3, base::ServerId{1}};
  append(1, 1, 4);
  queue = PersistQueue(recovered, 4, true, 1);
  CHECK_EQUAL(0U, queue.durableIndex());
  CHECK_TRUE(queue.durableHardState() == HardState{});
  CHECK_TRUE_TEXT(queue.take(log).empty(), "nothing depends on it");
  queue.requestSync();
  const PersistBatch batch = queue.take(log);
  CHECK_TRUE(batch.syncsRecovered);
  CHECK_FALSE(queue.isRecoveryDurable());
  queue.onPersisted(batch.number);
  CHECK_TRUE(queue.isRecoveryDurable());
  CHECK_EQUAL(4U, queue.durableIndex());
  CHECK_TRUE(queue.durableHardState() == recovered);
  CHECK_TRUE(queue.take(log).empty());
}
