#pragma once
/// @file
/// Test fixture: one server whose outputs are carried out immediately, for tests of handlers.

#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "consensus/memory_disk.h"
#include "walnut/factories.h"

namespace walnut::consensus::test {

inline const base::TimePoint kStart = base::fromMicros(1'000'000'000);

inline Member makeMember(std::uint64_t id, MemberRole role = MemberRole::voter) {
  Member member;
  member.id = base::ServerId{id};
  member.role = role;
  member.peerEndpoint = {"127.0.0.1", static_cast<std::uint16_t>(7000 + id)};
  member.zone.value = "zone-" + std::to_string(id);
  return member;
}

/// @return a membership with the voters 1 to `voters`.
inline Membership makeMembership(std::uint64_t voters) {
  Membership membership;
  for (std::uint64_t id = 1; id <= voters; ++id) {
    membership.members.push_back(makeMember(id));
  }
  return membership;
}

/// Server with a simulated clock and disk; records the messages that it sends and the entries that
/// it applies.
class TestServer {
 public:
  TestServer(std::uint64_t id, const Membership& bootstrap, const RaftOptions& options = {})
      : options_(options), disk_(base::ServerId{id}) {
    start(bootstrap);
  }

  /// Carries out the outputs until there are no more.
  void drain() {
    for (bool more = true; more;) {
      RaftOutputs outputs = raft_->takeOutputs();
      more = !outputs.persist.empty();
      disk_.persist(outputs.persist);
      for (Message& message : outputs.messages) {
        sent_.push_back(std::move(message));
      }
      if (outputs.installed) {
        installed_ = std::move(outputs.installed);
      }
      for (LogEntry& entry : outputs.committed) {
        applied_.push_back(std::move(entry));
      }
      if (more) {
        raft_->onPersisted(now_);
      }
    }
  }

  void advance(base::Duration duration) {
    now_ += duration;
    raft_->tick(now_);
    drain();
  }
  /// Advances the clock to the next wakeup.
  void advanceToWakeup() { advance(raft_->nextWakeup() - now_); }

  void receive(std::uint64_t from, MessageBody body) {
    raft_->receive(now_, {base::ServerId{from}, raft_->status().self, std::move(body)});
    drain();
  }

  /// Restarts the server with the state on its disk.
  void restart() { start({}); }

  /// Makes the server leader of a cell of three or more, with the votes of 2 and, if needed, 3.
  void elect() {
    advanceToWakeup();
    for (const bool preVote : {true, false}) {
      for (const std::uint64_t voter : {2U, 3U}) {
        VoteReply reply;
        reply.term = raft_->status().term + (preVote ? 1 : 0);
        reply.preVote = preVote;
        reply.granted = true;
        receive(voter, reply);
      }
    }
  }

  /// Replies on behalf of `follower`, accepting all appends that were sent to it.
  void acknowledge(std::uint64_t follower) {
    for (const Message& message : takeSent()) {
      const auto* request = std::get_if<AppendRequest>(&message.body);
      if (request == nullptr || message.to.value != follower) {
        continue;
      }
      AppendReply reply;
      reply.term = request->term;
      reply.accepted = true;
      reply.matchIndex = request->previousIndex + request->entries.size();
      reply.round = request->round;
      receive(follower, reply);
    }
  }

  /// @return the message bodies of type `Body` sent since the last call; discards all others.
  template <class Body>
  std::vector<Body> takeSentBodies() {
    std::vector<Body> bodies;
    for (const Message& message : takeSent()) {
      if (const auto* body = std::get_if<Body>(&message.body)) {
        bodies.push_back(*body);
      }
    }
    return bodies;
  }

  std::vector<Message> takeSent() { return std::exchange(sent_, {}); }
  Raft& raft() { return *raft_; }
  RaftStatus status() const { return raft_->status(); }
  base::TimePoint now() const { return now_; }
  MemoryDisk& disk() { return disk_; }
  const std::vector<LogEntry>& applied() const { return applied_; }
  const std::optional<Snapshot>& installed() const { return installed_; }

 private:
  void start(const Membership& bootstrap) {
    sent_.clear();
    raft_ = makeRaft(options_, disk_.recover(), bootstrap, 1, now_);
    drain();
  }

  RaftOptions options_;
  MemoryDisk disk_;
  base::TimePoint now_ = kStart;
  std::unique_ptr<Raft> raft_;
  std::vector<Message> sent_;
  std::vector<LogEntry> applied_;
  std::optional<Snapshot> installed_;
};

}  // namespace walnut::consensus::test
