/// @file
/// Tests with a follower that lost acknowledged entries at the end of its log, and restarts.

#include "consensus/test_messages.h"
#include "consensus/test_server.h"

// Must be included last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::consensus;
using namespace walnut::consensus::test;

namespace {

constexpr std::uint64_t kFollower = 2;

void refuse(TestServer& leader, const AppendRequest& request, LogIndex hintIndex) {
  AppendReply reply;
  reply.term = request.term;
  reply.accepted = false;
  reply.hintIndex = hintIndex;
  reply.round = request.round;
  leader.receive(kFollower, reply);
}

/// @return the last append sent to the follower.
AppendRequest lastAppend(TestServer& leader) {
  std::optional<AppendRequest> last;
  for (const Message& message : leader.takeSent()) {
    const auto* request = std::get_if<AppendRequest>(&message.body);
    if (request != nullptr && message.to.value == kFollower) {
      last = *request;
    }
  }
  CHECK_TRUE(last.has_value());
  return *last;
}

}  // namespace

TEST_GROUP(LostLogTailTest){};

TEST(LostLogTailTest, leaderResendsLostAcknowledgedEntries) {
  TestServer leader(1, makeMembership(3));
  leader.elect();
  CHECK_TRUE(leader.raft().propose(leader.now(), "one").has_value());
  CHECK_TRUE(leader.raft().propose(leader.now(), "two").has_value());
  leader.drain();
  leader.acknowledge(kFollower);
  leader.acknowledge(kFollower);
  const LogIndex committed = leader.status().commitIndex;
  CHECK_EQUAL(leader.status().lastIndex, committed);

  leader.advanceToWakeup();
  refuse(leader, lastAppend(leader), committed);
  const AppendRequest again = lastAppend(leader);
  CHECK_EQUAL(committed - 1, again.previousIndex);
  CHECK_EQUAL(1U, again.entries.size());
  CHECK_EQUAL_TEXT(committed, leader.status().commitIndex, "the commit index must not decrease");

  leader.advanceToWakeup();
  refuse(leader, lastAppend(leader), committed - 1);
  CHECK_EQUAL(2U, lastAppend(leader).entries.size());
}

TEST(LostLogTailTest, lostEntryNoLongerCountsForCommitment) {
  TestServer leader(1, makeMembership(5));
  leader.elect();
  leader.acknowledge(kFollower);
  CHECK_TRUE(leader.raft().propose(leader.now(), "one").has_value());
  leader.drain();
  leader.acknowledge(kFollower);
  leader.acknowledge(kFollower);
  const LogIndex last = leader.status().lastIndex;
  leader.advanceToWakeup();
  refuse(leader, lastAppend(leader), last);
  AppendReply accepted;
  accepted.term = leader.status().term;
  accepted.accepted = true;
  accepted.matchIndex = last;
  leader.receive(3, accepted);
  CHECK_TRUE(leader.status().commitIndex < last);
  leader.receive(4, accepted);
  CHECK_EQUAL(last, leader.status().commitIndex);
}
