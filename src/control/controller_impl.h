#pragma once
/// @file
/// The decision logic of one controller: Raft, the state machine, and the services around them.

#include <memory>
#include <optional>
#include <vector>

#include "control/api_service.h"
#include "control/cell_state.h"
#include "control/claim_service.h"
#include "control/command_log.h"
#include "control/demand_table.h"
#include "control/leadership.h"
#include "control/ledger_index.h"
#include "control/operator_watches.h"
#include "control/peer_directory.h"
#include "control/watch_sessions.h"
#include "walnut/control/controller.h"

namespace walnut::control {

/// Implements Controller. Each input is passed to the service that handles it; outputs are computed
/// when they are taken, so that all inputs since then share one batch of the log. Invariants:
/// - Raft's messages are sent together with the batch that they depend on, or after it;
/// - writes and claims are answered only when their entries are committed and applied here;
/// - leadership_ is present exactly while this server leads and has applied an entry of its term.
class ControllerImpl final : public Controller {
 public:
  ControllerImpl(const ControllerOptions& options, base::CellId cell,
                 std::unique_ptr<consensus::Raft> raft, base::TimePoint now);
  ControllerImpl(const ControllerImpl&) = delete;
  ControllerImpl& operator=(const ControllerImpl&) = delete;

  /// Restores the state machine from a snapshot of this server's storage.
  void recover(const consensus::Snapshot& snapshot);

  void step(base::TimePoint now, const ControllerInput& input) override;
  ControllerOutputs takeOutputs() override;
  base::TimePoint nextWakeup() const override;
  consensus::RaftStatus raftStatus() const override { return raft_->status(); }

 private:
  void handle(const PeerOpened& input);
  void handle(const PeerClosed& input);
  void handle(const PeerMessage& input);
  void handle(const ApiCall& input);
  void handle(const ApiWatchOpened& input);
  void handle(const ApiWatchClosed& input);
  void handle(const EngineCallFinished& input);
  void handle(const PlatformListRead& input);
  void handle(const Persisted& input);
  void handle(const Tick& input);
  void handle(const PlannedShutdown& input);

  /// Handle messages of peers. Messages that are not addressed to a server are ignored.
  void receive(protocol::ConnectionId from, const consensus::Message& message);
  void receive(protocol::ConnectionId from, const protocol::ProbeRequest& probe);
  void receive(protocol::ConnectionId from, const protocol::WatchRequest& request);
  void receive(protocol::ConnectionId from, const protocol::DemandReport& report);
  void receive(protocol::ConnectionId from, const protocol::ClaimRequest& request);
  void receive(protocol::ConnectionId from, const protocol::ForwardedRequest& request);
  void receive(protocol::ConnectionId from, const protocol::ForwardedReply& reply);
  template <class Other>
  void receive(protocol::ConnectionId, const Other&) {}

  void updateLeadership();
  void runServices();
  void send(std::vector<consensus::Message> messages);
  void install(const consensus::Snapshot& snapshot);
  void apply(const std::vector<consensus::LogEntry>& entries);
  void stateChanged(consensus::LogIndex from);
  ApplyResult applyOne(const consensus::LogEntry& entry);
  void compactIfDue();
  void continueShutdown();
  bool isOnlyVoter(const consensus::RaftStatus& status) const;

  ControllerOptions options_;
  base::TimePoint now_;
  std::unique_ptr<consensus::Raft> raft_;
  CellState state_;
  LedgerIndex ledger_;                     ///< Index of state_.
  std::vector<ControllerAction> actions_;  ///< Actions for the next outputs.
  CommandLog log_;
  PeerDirectory peers_;
  WatchSessions watches_;
  OperatorWatches operatorWatches_;
  DemandTable demand_;
  ClaimService claims_;
  ApiService api_;
  std::optional<Leadership> leadership_;
  std::uint64_t nextCall_ = 1;
  consensus::Term appliedTerm_ = 0;  ///< Term of the last applied entry.
  std::size_t snapshotBytes_ = 0;    ///< Size of the last snapshot taken.
  std::size_t logBytesSinceSnapshot_ =
      0;  ///< Bytes of log entries applied since the last snapshot.
  consensus::LogIndex snapshotIndex_ = 0;  ///< Index of the last snapshot taken or installed.
  /// True after a snapshot could not be read: this server applies no further entries and gives up
  /// leadership.
  bool halted_ = false;
  bool hasMoreOutputs_ = false;  ///< True if taking the last outputs has produced further ones.
  std::optional<base::TimePoint> stopDeadline_;  ///< Set by a planned stop.
  bool stopped_ = false;
};

}  // namespace walnut::control
