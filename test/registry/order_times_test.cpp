/// Tests when a worker may be ordered after a change of leader, and which server is elected first
/// after a restart.

#include "registry/order_times.h"

#include "registry/cell_state.h"

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::registry;
using namespace std::chrono_literals;

namespace {

constexpr base::Duration kLease = 3s;

}  // namespace

TEST_GROUP(OrderTimesTest) {
  const base::TimePoint start = base::TimePoint(100s);
  OrderTimes turns{start};

  static consensus::LogEntry entryOf(consensus::LogIndex index, const Command& command) {
    consensus::LogEntry entry;
    entry.index = index;
    entry.term = 1;
    entry.type = consensus::EntryType::command;
    entry.payload = encodeCommand(command);
    return entry;
  }
};

TEST(OrderTimesTest, theLeaseRunsFromTheOrderAndNotFromTheElection) {
  turns.ordered({{"w"}}, start + 10s);
  const base::TimePoint allowed = turns.allowedAt({"w"}, start + 12s, kLease);
  CHECK_TRUE(allowed == start + 10s + kOrderSendMargin + kLease + kOrderLeaseMargin);
}

TEST(OrderTimesTest, noOrderOfAPreviousHolderIsLaterThanTheElection) {
  turns.ordered({{"w"}}, start + 12s);
  CHECK_TRUE(turns.allowedAt({"w"}, start + 12s, kLease) ==
             start + 12s + kLease + kOrderLeaseMargin);
}

TEST(OrderTimesTest, unseenOrdersMayBeAsLateAsTheStartOrTheRestoredState) {
  CHECK_TRUE(turns.allowedAt({"w"}, start + 9s, kLease) >= start + kLease);
  turns.ordered({{"w"}}, start + 1s);
  turns.restored(start + 5s);
  CHECK_TRUE(turns.allowedAt({"w"}, start + 9s, kLease) >= start + 5s + kLease);
}

TEST(OrderTimesTest, theHolderIsFoundInTheSnapshotAndInTheLogAfterIt) {
  consensus::RecoveredState recovered;
  CHECK_TRUE(recoveredOrderHolder(recovered) == base::ServerId{});
  CellState state;
  state.apply(StoreOrderHolder{base::ServerId{5}});
  recovered.snapshot.emplace();
  recovered.snapshot->data = state.encode();
  CHECK_TRUE(recoveredOrderHolder(recovered) == base::ServerId{5});
  recovered.entries.push_back(entryOf(1, StoreOrderHolder{base::ServerId{6}}));
  recovered.entries.push_back(entryOf(2, ForgetWorker{{"w"}}));
  CHECK_TRUE(recoveredOrderHolder(recovered) == base::ServerId{6});
}

TEST(OrderTimesTest, afterARestartThePreviousHolderIsTheFirstToRequestVotes) {
  const consensus::RaftOptions options;
  const base::Duration own = firstElectionTimeout(options, base::ServerId{6}, base::ServerId{6});
  CHECK_TRUE(own > options.electionTimeoutMin);
  for (std::uint64_t other = 7; other < 30; ++other) {
    CHECK_TRUE(firstElectionTimeout(options, base::ServerId{other}, base::ServerId{6}) >
               own + 300ms);
  }
  CHECK_TRUE(firstElectionTimeout(options, base::ServerId{6}, {}) == base::Duration::zero());
}
