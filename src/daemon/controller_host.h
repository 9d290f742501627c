#pragma once
/// @file
/// A controller process around the control logic: one decision loop, fed by the HTTP edge, the
/// transport, calls of engines and the timers, with the storage behind it.

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <unordered_map>
#include <variant>

#include "daemon/controller_metrics.h"
#include "daemon/controller_settings.h"
#include "daemon/data_folder.h"
#include "daemon/engine_client.h"
#include "daemon/peer_links.h"
#include "daemon/process.h"
#include "http/process_probe.h"
#include "http/resource_api.h"
#include "runtime/inbox.h"
#include "walnut/control/controller.h"
#include "walnut/transport/transport.h"

namespace walnut::daemon {

/// Life: `start`; `beginStop`; once `stopped` is set, the HTTP server is stopped and the object
/// destroyed. Invariant: nothing that a batch of outputs says goes out before the batch is synced.
/// If the storage fails, the process ends at once with ExitCode::storageFailed: what is on disk is
/// unknown until the next recovery. So it does if the logic stops without having been asked to.
class ControllerHost : public http::ResourceBackend, public http::ProcessProbe {
 public:
  ControllerHost(const ControllerSettings& settings, DataFolder folder, std::uint64_t seed);
  ~ControllerHost() override;
  ControllerHost(const ControllerHost&) = delete;
  ControllerHost& operator=(const ControllerHost&) = delete;

  /// Listens for peers and begins to decide.
  base::Result<void> start();
  /// Where it listens for peers.
  base::Endpoint peerEndpoint() const;

  /// Planned stop: hands over leadership and answers what is pending. Any thread.
  void beginStop();
  Latch& stopped() { return stopped_; }

  protocol::ApiReply call(protocol::ApiRequest request) override;
  std::uint64_t openWatch(std::optional<resource::Kind> kind, resource::Version fromVersion,
                          std::shared_ptr<http::WatchQueue> queue) override;
  void closeWatch(std::uint64_t watch) override;
  bool stopping() override { return stopping_; }
  bool ready() override;
  std::string metricsText() override;

 private:
  using ReplyQueue = http::EventQueue<protocol::ApiReply>;

  /// @name What is posted to the loop beside the logic's own inputs
  /// @{
  struct ApiSubmission {
    std::uint64_t call = 0;
    protocol::ApiRequest request;
    std::shared_ptr<ReplyQueue> reply;
  };
  struct WatchOpening {
    control::ApiWatchOpened watch;
    std::shared_ptr<http::WatchQueue> queue;
  };
  struct ShutDown {};
  /// @}
  using LoopInput = std::variant<control::ControllerInput, ApiSubmission, WatchOpening,
                                 transport::Event, ShutDown>;

  void run();
  void take(control::ControllerInput input);
  void take(ApiSubmission submission);
  void take(WatchOpening opening);
  void take(transport::Event event);
  void take(const ShutDown&);
  void notePlatformRead(const base::Result<engine::PlatformList>& result);
  void takeEvent(transport::Opened& event);
  void takeEvent(transport::Closed& event);
  void takeEvent(transport::OpenFailed& event);
  void takeEvent(transport::Received& event);

  /// Persists and carries out what the logic has decided.
  /// @return true if there may be more at once.
  bool flush();
  void persist(const consensus::PersistBatch& batch);
  void perform(control::SendToServer& send);
  void perform(control::SendToConnection& send);
  void perform(control::ApiAnswer& answer);
  void perform(control::ApiWatchEvents& events);
  void perform(control::EngineCall& call);
  void perform(control::ReadPlatformList&);
  void perform(control::ControllerStopped&);
  void publish();

  const ControllerSettings settings_;
  const base::ServerId self_;
  DataFolder folder_;
  std::atomic<bool> stopping_ = false;
  std::atomic<std::uint64_t> nextCall_ = 1;  ///< Numbers calls and watches of the resource API.
  Latch stopped_;
  ControllerMetrics metrics_;
  runtime::Inbox<LoopInput> inbox_;

  // Of the loop.
  bool shutDown_ = false;
  base::TimePoint now_;  ///< Of the present batch.
  std::size_t inputsSinceSync_ = 0;
  std::unique_ptr<control::Controller> controller_;
  std::unordered_map<std::uint64_t, std::shared_ptr<ReplyQueue>> replies_;
  std::unordered_map<std::uint64_t, std::shared_ptr<http::WatchQueue>> watches_;
  std::optional<PeerLinks> links_;
  const std::uint64_t seed_;
  consensus::Role lastRole_ = consensus::Role::follower;

  std::atomic<bool> knowsLeader_ = false;

  // Destroyed first, in reverse order: their threads post to the inbox.
  std::unique_ptr<transport::Transport> transport_;
  std::unique_ptr<CallExecutor> executor_;
  std::unique_ptr<EngineClient> engineClient_;
  std::thread loop_;
};

}  // namespace walnut::daemon
