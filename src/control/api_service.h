#pragma once
/// @file
/// The resource API behind the HTTP edge: linearizable reads, writes, membership and status.

#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "control/cell_state.h"
#include "control/command_log.h"
#include "control/peer_directory.h"
#include "walnut/consensus/raft.h"
#include "walnut/control/controller.h"

namespace walnut::control {

/// Caller of a request from this server's HTTP edge.
struct LocalCaller {
  std::uint64_t call = 0;
};

/// Caller of a request that another server has forwarded.
struct RemoteCaller {
  protocol::ConnectionId connection;
  std::uint64_t sequence = 0;
};

/// Answers requests to the resource API. States of a request:
///   waiting -> forwarded (another server leads) | proposed | reading (this server leads)
///   forwarded -> forwarded                      when no answer arrived within a time-out
///   forwarded, proposed, reading -> waiting     when leadership changes, or the leader refused
///   any -> (answered)                           within apiTimeout
/// A write that is sent again carries the same request id, so it takes effect once. Requests of
/// other servers are served only while this server leads, and never forwarded again.
/// Invariant: a write that may be in a log is never answered with an error that says it isn't.
class ApiService {
 public:
  /// All references outlive this object.
  ApiService(const ControllerOptions& options, consensus::Raft& raft, CommandLog& log,
             const CellState& state, const PeerDirectory& peers,
             std::vector<ControllerAction>& actions)
      : options_(options),
        raft_(raft),
        log_(log),
        state_(state),
        peers_(peers),
        actions_(actions) {}

  void call(base::TimePoint now, const ApiCall& call);
  void forwarded(base::TimePoint now, protocol::ConnectionId connection,
                 const protocol::ForwardedRequest& request);
  void forwardedReply(base::TimePoint now, const protocol::ForwardedReply& reply);
  /// Dispatches waiting requests and answers overdue ones with an error. Must be called before
  /// Raft's outputs are taken.
  void flush(base::TimePoint now);
  void applied(base::TimePoint now, const AppliedEntry& entry);
  /// Handles a snapshot that replaced the entries up to `index`, whose outcome is no longer
  /// visible.
  void snapshotInstalled(base::TimePoint now, consensus::LogIndex index);
  /// Answers the confirmed reads. Must be called after entries were applied.
  void answerReads(base::TimePoint now);
  base::TimePoint nextWakeup() const;

  /// Refuses new calls with `stopping` from now on.
  void stop() { stopping_ = true; }
  bool idle() const { return requests_.empty(); }

 private:
  enum class State : std::uint8_t { waiting, forwarded, proposed, reading };
  struct Request {
    std::variant<LocalCaller, RemoteCaller> caller;
    protocol::ApiRequest request;
    State state = State::waiting;
    base::TimePoint deadline;
    base::TimePoint retryAt;        ///< Time of the next attempt, in states waiting and forwarded.
    std::uint64_t readToken = 0;    ///< Raft read token, in state reading.
    consensus::LogIndex index = 0;  ///< Log index, in state proposed.
    bool mayHaveTakenEffect = false;     ///< True for a write that was forwarded or proposed.
    std::optional<base::Error> refusal;  ///< Reason why the last dispatch was refused.

    bool mayBeDispatched() const { return state == State::waiting || state == State::forwarded; }
    bool isRemote() const { return std::holds_alternative<RemoteCaller>(caller); }
  };
  using RequestNumber = std::uint64_t;

  void add(base::TimePoint now, Request request);
  void answer(RequestNumber number, protocol::ApiReply reply);
  void answer(RequestNumber number, base::Error error);
  void returnToWaiting(base::TimePoint now, RequestNumber number);
  void handleLeaderChange(base::TimePoint now);
  void dispatch(base::TimePoint now, RequestNumber number);
  void dispatchAsLeader(base::TimePoint now, RequestNumber number);
  void forward(base::TimePoint now, RequestNumber number);
  void propose(base::TimePoint now, RequestNumber number, CommandBody body);
  void beginRead(base::TimePoint now, RequestNumber number);
  void changeMember(base::TimePoint now, RequestNumber number);
  void proposed(base::TimePoint now, RequestNumber number,
                const base::Result<consensus::LogIndex>& index);
  void answerOverdue(RequestNumber number);
  protocol::ApiReply read(const protocol::ApiRequest& request) const;
  protocol::CellStatus status() const;

  const ControllerOptions& options_;
  consensus::Raft& raft_;
  CommandLog& log_;
  const CellState& state_;
  const PeerDirectory& peers_;
  std::vector<ControllerAction>& actions_;
  std::map<RequestNumber, Request> requests_;
  RequestNumber nextNumber_ = 1;
  PendingEntries<RequestNumber> pending_;
  consensus::Term seenTerm_ = 0;
  base::ServerId seenLeader_;
  bool stopping_ = false;
};

}  // namespace walnut::control
