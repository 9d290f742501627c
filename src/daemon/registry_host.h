#pragma once
/// @file
/// A registry process around the registry's logic.

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "daemon/call_queue.h"
#include "daemon/data_folder.h"
#include "daemon/peer_links.h"
#include "daemon/registry_settings.h"
#include "daemon/task_threads.h"
#include "event/dispatcher.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "runtime/output_log.h"
#include "runtime/prometheus_sink.h"
#include "walnut/registry/dialect.h"
#include "walnut/transport/transport.h"

namespace walnut::daemon {

/// How the outside is spoken to.
struct RegistryDialects {
  const registry::DocumentReader& document;
  const registry::ControlDialect& control;
  const registry::WorkerDialect& worker;
};

/// Everything but the transport's own thread and writes to disk runs on the event loop. Invariant:
/// the registry is told of each batch once it is synced; until then it outputs nothing that
/// promises that. If the storage fails, the process ends: what is on disk is unknown until the next
/// recovery.
class RegistryHost : public net::RequestHandler {
 public:
  RegistryHost(const RegistrySettings& settings, const RegistryDialects& dialects,
               DataFolder folder, runtime::OutputLog& log);
  ~RegistryHost() override;
  RegistryHost(const RegistryHost&) = delete;
  RegistryHost& operator=(const RegistryHost&) = delete;

  base::Result<void> start();
  void run() { dispatcher_.run(); }
  /// @return true if the loop has ended because the storage failed.
  bool storageFailed() const { return storageFailed_; }
  event::Dispatcher& dispatcher() { return dispatcher_; }
  const base::Endpoint& controlEndpoint() const { return control_->endpoint(); }
  base::Endpoint peerEndpoint() const { return {settings_.peer.address, transport_->port()}; }
  void beginStop();

  /// A call of an operator or a worker, or a question for metrics.
  void onRequest(net::HttpRequest request, net::ResponseSink& sink) override;

 private:
  struct OutsideCall {
    registry::ControlCall call;
    net::ResponseSink* sink = nullptr;
  };
  /// A connection to a server whose identity is not known.
  struct EndpointLink {
    std::optional<protocol::ConnectionId> connection;
    bool opening = false;
    std::vector<protocol::Message> waiting;
  };

  void takeEvent(transport::Event& event);
  void takeOpened(const transport::Opened& event);
  void takeClosed(const transport::Closed& event);
  void takeOpenFailed(const transport::OpenFailed& event);
  void step(const registry::RegistryInput& input);
  /// Takes it in its turn, after what came before.
  void queue(registry::RegistryInput input);
  void serveInbox();

  /// Carries out what the logic has decided.
  void settle();
  /// @return true if there may be more at once.
  bool settleOnce();
  void noteLongTurn();
  void serveCalls();
  void serveCall(const net::HttpRequest& request, net::ResponseSink& sink);
  void noteRefusedCall(const net::HttpRequest& request, const base::Error& error);
  void perform(control::SendToServer& send);
  void perform(control::SendToConnection& send);
  void perform(registry::SendToEndpoint& send);
  void perform(registry::CallAnswered& answered);
  void perform(registry::SendOrder& order);
  void perform(registry::ReadReport& read);
  void beginPersist(consensus::PersistBatch batch);
  void persistNext();
  void finishPersist(const consensus::PersistBatch& batch, const base::Result<void>& outcome,
                     base::Duration duration);
  void noteSync(const consensus::PersistBatch& batch, base::Duration duration);
  void noteJoinStep(registry::JoinStep step);
  void noteRecovery();
  void noteRecoveryStep(const std::string& step);
  /// @return the syncs that storage made one after the other.
  std::uint64_t syncsSinceStart() const;
  void noteStorageFailure(const base::Error& error);
  void checkStopped();

  const RegistrySettings settings_;
  const RegistryDialects dialects_;
  const base::ServerId self_;
  runtime::OutputLog& log_;
  event::Dispatcher dispatcher_;
  runtime::PrometheusSink metrics_;
  DataFolder folder_;
  std::unique_ptr<registry::Registry> registry_;
  net::HttpClient client_;
  std::unique_ptr<net::HttpServer> control_;
  event::TimerPtr wakeup_;
  event::TimerPtr stopTimer_;
  base::TimePoint stopDeadline_;
  /// What came over links, but for messages of consensus: these are taken at once.
  std::deque<registry::RegistryInput> inbox_;
  bool inboxSoon_ = false;
  CallQueue queue_;
  bool serveSoon_ = false;
  std::uint64_t lastCall_ = 0;
  bool storageFailed_ = false;
  bool leaderWasKnown_ = false;
  bool recovered_ = false;
  base::TimePoint longTurnLoggedAt_;
  base::TimePoint refusedCallLoggedAt_;
  std::uint64_t refusedCalls_ = 0;  ///< Since the last line of them.
  std::deque<std::shared_ptr<const consensus::PersistBatch>> unwritten_;  ///< Wait for a thread.
  std::size_t syncing_ = 0;     ///< Batches that a thread writes or syncs.
  TaskThreads storageThreads_;  ///< Ends before what its tasks use.
  std::map<std::uint64_t, OutsideCall> calls_;
  std::map<base::Endpoint, EndpointLink> endpointLinks_;
  std::optional<PeerLinks> links_;
  std::unique_ptr<transport::Transport> transport_;  ///< Last: its thread posts to the loop.
};

}  // namespace walnut::daemon
