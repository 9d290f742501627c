#include "consensus/snapshot_transfer.h"

#include "consensus/test_messages.h"
#include "consensus/test_server.h"
#include "walnut/consensus/codec.h"

// Must be included last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace walnut;
using namespace walnut::consensus;
using namespace walnut::consensus::test;
using namespace std::chrono_literals;

namespace {

constexpr LogPosition kBootstrap{1, 1};
constexpr std::size_t kChunkBytes = 50;

Snapshot makeSnapshot(LogIndex lastIndex, Term lastTerm) {
  Snapshot snapshot;
  snapshot.lastIndex = lastIndex;
  snapshot.lastTerm = lastTerm;
  snapshot.membershipIndex = 1;
  snapshot.membership = makeMembership(3);
  snapshot.data = "state at " + std::to_string(lastIndex);
  return snapshot;
}

/// @return the chunks of the snapshot as the leader of `term` sends them.
std::vector<SnapshotChunk> chunksOf(const Snapshot& snapshot, Term term) {
  const std::string bytes = encodeSnapshot(snapshot);
  std::vector<SnapshotChunk> chunks;
  for (std::size_t offset = 0; offset < bytes.size(); offset += kChunkBytes) {
    SnapshotChunk chunk;
    chunk.term = term;
    chunk.lastIndex = snapshot.lastIndex;
    chunk.lastTerm = snapshot.lastTerm;
    chunk.offset = offset;
    chunk.totalBytes = bytes.size();
    chunk.data = bytes.substr(offset, kChunkBytes);
    chunks.push_back(chunk);
  }
  CHECK_TRUE(chunks.size() > 3);
  return chunks;
}

}  // namespace

TEST_GROUP(SnapshotReceiveTest) {
  TestServer server{1, makeMembership(3)};
  const Snapshot snapshot = makeSnapshot(20, 3);
  const std::vector<SnapshotChunk> chunks = chunksOf(snapshot, 4);

  SnapshotReply receive(const SnapshotChunk& chunk, std::uint64_t from = 2) {
    server.takeSent();
    server.receive(from, chunk);
    const auto replies = server.takeSentBodies<SnapshotReply>();
    CHECK_EQUAL(1U, replies.size());
    return replies.front();
  }

  void receiveAll(const std::vector<SnapshotChunk>& all) {
    for (const SnapshotChunk& chunk : all) {
      receive(chunk);
    }
  }
};

TEST(SnapshotReceiveTest, isInstalledWithItsLastChunk) {
  for (std::size_t index = 0; index + 1 < chunks.size(); ++index) {
    const SnapshotReply reply = receive(chunks[index]);
    CHECK_FALSE(reply.installed);
    CHECK_EQUAL(chunks[index].offset + kChunkBytes, reply.nextOffset);
  }
  CHECK_FALSE(server.installed().has_value());
  const SnapshotReply reply = receive(chunks.back());
  CHECK_TRUE(reply.installed);
  CHECK_EQUAL(chunks.back().totalBytes, reply.nextOffset);
  CHECK_TRUE(server.installed() == snapshot);
  CHECK_EQUAL(20U, server.status().commitIndex);
  CHECK_EQUAL(21U, server.status().firstIndex);
  CHECK_TRUE(server.disk().state().snapshot == snapshot);
  CHECK_TRUE(server.disk().state().entries.empty());
}

TEST(SnapshotReceiveTest, itsReplyGoesOutOnceItIsDurable) {
  for (const SnapshotChunk& chunk : chunks) {
    server.drain();
    server.raft().receive(server.now(), {base::ServerId{2}, base::ServerId{1}, chunk});
  }
  const RaftOutputs outputs = server.raft().takeOutputs();
  CHECK_TRUE(outputs.persist.snapshot == snapshot);
  CHECK_TRUE(outputs.persist.discardLog);
  CHECK_TRUE(outputs.installed == snapshot);
  for (const Message& message : outputs.messages) {
    CHECK_FALSE(std::get<SnapshotReply>(message.body).installed);
  }
  server.raft().onPersisted(server.now());
  const RaftOutputs synced = server.raft().takeOutputs();
  CHECK_TRUE(std::get<SnapshotReply>(synced.messages.back().body).installed);
}

TEST(SnapshotReceiveTest, staleRepeatedAndMissingChunksLeaveWhatIsHeld) {
  receive(chunks[0]);
  receive(chunks[1]);
  CHECK_EQUAL(2 * kChunkBytes, receive(chunks[0]).nextOffset);
  CHECK_EQUAL(2 * kChunkBytes, receive(chunks[1]).nextOffset);
  CHECK_EQUAL(2 * kChunkBytes, receive(chunks[3]).nextOffset);
  SnapshotChunk probe = chunks[2];
  probe.data.clear();
  CHECK_EQUAL(2 * kChunkBytes, receive(probe).nextOffset);
  receiveAll({chunks.begin() + 2, chunks.end()});
  CHECK_TRUE(server.installed() == snapshot);
}

TEST(SnapshotReceiveTest, aNewerSnapshotOrAnotherLeaderStartsAfresh) {
  receive(chunks[0]);
  const std::vector<SnapshotChunk> newer = chunksOf(makeSnapshot(25, 4), 4);
  CHECK_EQUAL(0U, receive(newer[1]).nextOffset);
  CHECK_EQUAL(kChunkBytes, receive(newer[0]).nextOffset);
  CHECK_EQUAL_TEXT(0U, receive(chunks[1]).nextOffset, "an older snapshot of the same leader");
  CHECK_EQUAL(2 * kChunkBytes, receive(newer[1]).nextOffset);
  const std::vector<SnapshotChunk> others = chunksOf(snapshot, 5);
  CHECK_EQUAL(kChunkBytes, receive(others[0], 3).nextOffset);
  for (std::size_t index = 1; index < others.size(); ++index) {
    receive(others[index], 3);
  }
  CHECK_TRUE(server.installed() == snapshot);
}

TEST(SnapshotReceiveTest, aRestartBeginsAnew) {
  receive(chunks[0]);
  server.restart();
  CHECK_EQUAL(0U, receive(chunks[1]).nextOffset);
  receiveAll(chunks);
  CHECK_TRUE(server.installed() == snapshot);
}

TEST(SnapshotReceiveTest, aChunkOfAnEarlierTermIsRefused) {
  server.receive(3, makeAppend(6, kBootstrap, {}));
  const SnapshotReply reply = receive(chunks[0]);
  CHECK_EQUAL(6U, reply.term);
  CHECK_EQUAL(0U, reply.nextOffset);
  CHECK_EQUAL(3U, server.status().leader.value);
}

TEST(SnapshotReceiveTest, aSnapshotThatTheLogAlreadyCoversOnlyCommits) {
  server.receive(2, makeAppend(3, kBootstrap, makeEntries(3, 2, 30)));
  receiveAll(chunks);
  CHECK_FALSE(server.installed().has_value());
  CHECK_EQUAL(20U, server.status().commitIndex);
  CHECK_EQUAL(30U, server.status().lastIndex);
  CHECK_EQUAL(20U, server.applied().size());
}

TEST(SnapshotReceiveTest, aConflictingLogIsDiscarded) {
  server.receive(2, makeAppend(2, kBootstrap, makeEntries(2, 2, 30)));
  receiveAll(chunks);
  CHECK_TRUE(server.installed() == snapshot);
  CHECK_EQUAL(20U, server.status().lastIndex);
  server.restart();
  CHECK_EQUAL(20U, server.status().lastIndex);
  CHECK_EQUAL(20U, server.status().commitIndex);
  CHECK_TRUE(server.installed() == snapshot);
}

TEST(SnapshotReceiveTest, damagedChunksNeverInstall) {
  const auto check = [&](std::vector<SnapshotChunk> damaged) {
    receiveAll(damaged);
    CHECK_FALSE(server.installed().has_value());
    CHECK_EQUAL(0U, server.status().commitIndex);
  };
  std::vector<SnapshotChunk> otherIndex = chunks;
  for (SnapshotChunk& chunk : otherIndex) {
    chunk.lastIndex = 21;  // Differs from the index in the encoded snapshot.
  }
  check(otherIndex);
  std::vector<SnapshotChunk> longer = chunks;
  longer.back().data += "x";
  check(longer);
  std::vector<SnapshotChunk> cut = chunks;
  for (SnapshotChunk& chunk : cut) {
    chunk.lastIndex = 22;
    chunk.totalBytes = 2 * kChunkBytes;
  }
  cut.resize(2);
  check(cut);
}

TEST_GROUP(SnapshotSendTest) {
  std::unique_ptr<TestServer> server;
  Term term = 0;
  std::uint64_t round = 0;

  /// Sets up a leader whose log begins after index 12 and whose follower 3 has an empty log.
  void setup() override {
    RaftOptions options;
    options.snapshotChunkBytes = kChunkBytes;
    server = std::make_unique<TestServer>(1, makeMembership(3), options);
    server->elect();
    term = server->status().term;
    for (int count = 0; count < 10; ++count) {
      server->raft().propose(server->now(), "x").value();
    }
    server->drain();
    server->receive(2, makeAccepted(term, 12));
    CHECK_EQUAL(12U, server->status().commitIndex);
    server->takeSent();
    compact();
  }

  void compact() {
    server->raft().compact(server->status().commitIndex, std::string(200, 's'), 0);
    server->drain();
  }

  std::vector<SnapshotChunk> sentChunks() { return server->takeSentBodies<SnapshotChunk>(); }

  SnapshotChunk onlyChunk() {
    const std::vector<SnapshotChunk> chunks = sentChunks();
    CHECK_EQUAL(1U, chunks.size());
    return chunks.front();
  }

  void reply(const SnapshotChunk& chunk, std::uint64_t nextOffset, bool installed = false) {
    SnapshotReply answer;
    answer.term = term;
    answer.lastIndex = chunk.lastIndex;
    answer.nextOffset = nextOffset;
    answer.installed = installed;
    answer.round = chunk.round;
    server->receive(3, answer);
  }
};

TEST(SnapshotSendTest, chunksFollowTheRepliesToTheEnd) {
  SnapshotChunk chunk = onlyChunk();
  std::string received;
  while (true) {
    CHECK_EQUAL(received.size(), chunk.offset);
    received += chunk.data;
    if (received.size() == chunk.totalBytes) {
      break;
    }
    reply(chunk, received.size());
    chunk = onlyChunk();
  }
  CHECK_TRUE(decodeSnapshot(received).value() == *server->disk().state().snapshot);
  const LogIndex next = server->raft().propose(server->now(), "after").value();
  server->drain();
  server->takeSent();
  reply(chunk, received.size(), true);
  const auto requests = server->takeSentBodies<AppendRequest>();
  CHECK_EQUAL(1U, requests.size());
  CHECK_EQUAL(12U, requests.front().previousIndex);
  CHECK_EQUAL(next, requests.front().entries.front().index);
}

TEST(SnapshotSendTest, aLostChunkIsSentAgainOnceAHeartbeatShowsIt) {
  const SnapshotChunk lost = onlyChunk();
  server->advance(RaftOptions{}.heartbeatInterval);
  const SnapshotChunk probe = onlyChunk();
  CHECK_EQUAL(0U, probe.data.size());
  CHECK_TRUE(probe.round > lost.round);
  reply(probe, 0);
  const SnapshotChunk again = onlyChunk();
  CHECK_EQUAL(0U, again.offset);
  CHECK_TRUE(again.data == lost.data);
}

TEST(SnapshotSendTest, aFollowerThatRestartedIsSentTheSnapshotAnew) {
  const SnapshotChunk first = onlyChunk();
  reply(first, kChunkBytes);
  CHECK_EQUAL(kChunkBytes, onlyChunk().offset);
  server->advance(RaftOptions{}.heartbeatInterval);
  reply(onlyChunk(), 0);
  CHECK_EQUAL(0U, onlyChunk().offset);
}

TEST(SnapshotSendTest, lateRepliesSendNothing) {
  const SnapshotChunk first = onlyChunk();
  reply(first, kChunkBytes);
  CHECK_EQUAL(1U, sentChunks().size());
  reply(first, kChunkBytes);
  reply(first, 0);
  reply(first, first.totalBytes + 1);
  CHECK_EQUAL(0U, sentChunks().size());
}

TEST(SnapshotSendTest, anOldSnapshotIsFinishedAndFollowedByTheNewer) {
  const SnapshotChunk first = onlyChunk();
  reply(first, kChunkBytes);
  SnapshotChunk chunk = onlyChunk();
  server->raft().propose(server->now(), "x").value();
  server->drain();
  server->receive(2, makeAccepted(term, 13));
  compact();
  server->takeSent();
  while (chunk.offset + chunk.data.size() < chunk.totalBytes) {
    reply(chunk, chunk.offset + chunk.data.size());
    chunk = onlyChunk();
    CHECK_EQUAL(12U, chunk.lastIndex);
  }
  reply(chunk, chunk.totalBytes, true);
  chunk = onlyChunk();
  CHECK_EQUAL(13U, chunk.lastIndex);
  CHECK_EQUAL(0U, chunk.offset);
}

TEST(SnapshotSendTest, chunksCarryTheRoundsThatKeepTheLease) {
  static_cast<void>(onlyChunk());
  for (int count = 0; count < 10; ++count) {
    server->advance(RaftOptions{}.heartbeatInterval);
    reply(onlyChunk(), 0);
    server->takeSent();
  }
  CHECK_TRUE(server->status().role == Role::leader);
  CHECK_TRUE(server->raft().leaseValid(server->now()));
}
