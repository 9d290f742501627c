/// @file
/// Handling of messages from a leader.

#include <algorithm>

#include "consensus/raft_impl.h"
#include "consensus/validation.h"
#include "walnut/consensus/codec.h"

namespace walnut::consensus {

namespace {

/// Round of a reply that does not confirm the leader; rounds begin with 1.
constexpr std::uint64_t kNoRound = 0;

/// @return true if the entries are contiguous and follow the previous position, have terms that do
/// not decrease or exceed the sender's, have known types and contain decodable memberships.
bool wellFormed(const AppendRequest& request) {
  LogIndex index = request.previousIndex;
  Term term = request.previousTerm;
  for (const LogEntry& entry : request.entries) {
    if (entry.index != ++index || entry.term < term || entry.term > request.term ||
        !isKnown(entry.type)) {
      return false;
    }
    if (entry.type == EntryType::membership && decodeMembership(entry.payload).has_error()) {
      return false;
    }
    term = entry.term;
  }
  return term <= request.term;
}

}  // namespace

/// Accepts `from` as leader and enters `term`, if it is not older than the current term.
/// @return true if `from` is now the leader that this server follows.
bool RaftImpl::followLeader(base::ServerId from, Term term) {
  if (term < hardState_.term || (term == hardState_.term && isLeader())) {
    return false;
  }
  becomeFollower(term, from);
  electionTimer_.onLeaderContact(now_, silenceAllowance());
  clearPreVotes();  // They were granted while no leader was heard.
  return true;
}

void RaftImpl::handle(base::ServerId from, const AppendRequest& request) {
  if (!wellFormed(request)) {
    return;
  }
  AppendReply reply;
  if (followLeader(from, request.term)) {
    reply = applyAppend(request);
  }
  reply.term = hardState_.term;
  reply.round = request.round;
  sendAppendReply(from, reply);
}

/// Confirms the leader at once, with what is durable, and the rest after the sync: the leader's
/// lease must not depend on how long a sync of a follower takes. What only asks for other entries
/// promises nothing and needs no sync.
void RaftImpl::sendAppendReply(base::ServerId to, const AppendReply& reply) {
  const LogIndex durable = persistQueue_.durableIndex();
  if (!isHardStateDurable()) {
    if (reply.accepted) {
      sendWhenDurable(to, reply);
    } else {
      AppendReply unconfirmed = reply;
      unconfirmed.round = kNoRound;
      send(to, unconfirmed);
      persistQueue_.requestSync();  // Later replies can confirm the leader.
    }
    return;
  }
  AppendReply confirmed = reply;
  confirmed.matchIndex = std::min(reply.matchIndex, durable);
  send(to, confirmed);
  if (reply.accepted && reply.matchIndex > durable) {
    sendWhenDurable(to, reply);
  }
}

AppendReply RaftImpl::applyAppend(const AppendRequest& request) {
  AppendReply reply;
  if (request.previousIndex < commitIndex_) {
    // Committed entries need no comparison: they are in the log of every later leader.
    reply.accepted = true;
    reply.matchIndex = commitIndex_;
    return reply;
  }
  if (!log_.matches(request.previousIndex, request.previousTerm)) {
    reply.hintIndex = conflictHint(request.previousIndex);
    return reply;
  }
  storeEntries(request.entries);
  reply.accepted = true;
  reply.matchIndex = request.previousIndex + request.entries.size();
  advanceCommit(std::min(request.commitIndex, reply.matchIndex));
  return reply;
}

LogIndex RaftImpl::conflictHint(LogIndex previousIndex) const {
  if (previousIndex > log_.lastIndex()) {
    return log_.lastIndex() + 1;
  }
  if (previousIndex <= commitIndex_) {
    return commitIndex_ + 1;  // Faulty sender; the entry may have been compacted.
  }
  return std::max(log_.startOfTermAt(previousIndex), commitIndex_ + 1);
}

/// Appends the entries that are missing. The log is truncated only at a conflict, since the message
/// may be older than the entries that the log already has.
void RaftImpl::storeEntries(const std::vector<LogEntry>& entries) {
  for (const LogEntry& entry : entries) {
    if (log_.matches(entry.index, entry.term)) {
      continue;
    }
    if (entry.index <= log_.lastIndex()) {
      log_.truncateFrom(entry.index);
      memberships_.truncateFrom(entry.index);
      persistQueue_.logTruncated(entry.index);
    }
    appendEntry(entry);
  }
}

void RaftImpl::handle(base::ServerId from, const SnapshotChunk& chunk) {
  SnapshotReply reply;
  reply.lastIndex = chunk.lastIndex;
  reply.round = chunk.round;
  if (followLeader(from, chunk.term)) {
    if (chunk.lastIndex > commitIndex_) {
      if (const std::optional<Snapshot> snapshot = snapshotReceiver_.receive(chunk)) {
        installSnapshot(*snapshot);
      }
    }
    reply.installed = chunk.lastIndex <= commitIndex_;
    reply.nextOffset = reply.installed ? chunk.totalBytes : snapshotReceiver_.nextOffset(chunk);
  }
  reply.term = hardState_.term;
  if (reply.installed) {
    sendWhenDurable(from, reply);
    return;
  }
  if (!isHardStateDurable()) {
    reply.round = kNoRound;
    persistQueue_.requestSync();
  }
  send(from, reply);
}

void RaftImpl::installSnapshot(const Snapshot& snapshot) {
  if (log_.matches(snapshot.lastIndex, snapshot.lastTerm)) {
    advanceCommit(snapshot.lastIndex);  // The log already has all entries of the snapshot.
    return;
  }
  snapshot_ = snapshot;
  encodedSnapshot_.reset();
  log_.reset(snapshot.lastIndex, snapshot.lastTerm);
  memberships_.reset({snapshot.membershipIndex, snapshot.membership});
  persistQueue_.snapshotInstalled(snapshot);
  commitIndex_ = snapshot.lastIndex;
  appliedIndex_ = snapshot.lastIndex;
  installed_ = snapshot;
}

}  // namespace walnut::consensus
