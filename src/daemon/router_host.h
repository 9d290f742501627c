#pragma once
/// @file
/// A router process around the routing logic: one decision loop, fed by the HTTP edge, the
/// transport, the attempts and the timers.

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <unordered_map>
#include <variant>
#include <vector>

#include "daemon/cache_event_poller.h"
#include "daemon/controller_links.h"
#include "daemon/engine_client.h"
#include "daemon/process.h"
#include "daemon/router_metrics.h"
#include "daemon/router_settings.h"
#include "daemon/stream_runner.h"
#include "http/caller_api.h"
#include "http/process_probe.h"
#include "runtime/inbox.h"
#include "walnut/routing/router.h"
#include "walnut/transport/transport.h"

namespace walnut::daemon {

/// Life: `start`, then requests; `beginStop`; once `stopped` is set, the HTTP server is stopped and
/// the object destroyed. Invariant: each submitted request gets a terminal event unless its caller
/// was reported as gone; requests that come after the planned stop are refused as `stopping`.
class RouterHost : public http::CallerBackend, public http::ProcessProbe {
 public:
  /// @param id drawn for this run of the process; also the prefix of request ids.
  RouterHost(const RouterSettings& settings, base::RouterId id, std::uint64_t seed);
  ~RouterHost() override;
  RouterHost(const RouterHost&) = delete;
  RouterHost& operator=(const RouterHost&) = delete;

  /// Begins to connect to the cell and to decide.
  base::Result<void> start();

  /// Planned stop: no new requests; those that are there are finished. Any thread.
  void beginStop();
  /// Set when the last request has its answer.
  Latch& stopped() { return stopped_; }

  base::RequestId nextRequestId() override;
  void submit(routing::CallerRequest request, std::shared_ptr<http::AnswerQueue> answer) override;
  void callerGone(const base::RequestId& request) override;
  std::vector<routing::ServedName> servedNames() override;
  bool ready() override;
  std::string metricsText() override;

 private:
  /// @name What is posted to the loop beside the logic's own inputs
  /// @{
  struct Submission {
    routing::CallerRequest request;
    std::shared_ptr<http::AnswerQueue> answer;
  };
  struct CachePolled {
    base::EngineId engine;
    base::Result<std::vector<engine::CacheEvent>> events;
  };
  struct StateFetched {
    base::RequestId request;
    base::AttemptId attempt;
    base::Result<std::string> state;
  };
  struct ShutDown {};
  /// @}
  using LoopInput = std::variant<routing::RouterInput, Submission, transport::Event, CachePolled,
                                 StateFetched, ShutDown>;
  using StateKey = std::pair<base::RequestId, base::AttemptId>;

  /// A request that has no terminal event yet.
  struct OpenRequest {
    std::shared_ptr<http::AnswerQueue> answer;
    base::TimePoint arrivedAt;
    base::TimePoint lastTokenAt;
    base::Duration firstToken{0};  ///< From the arrival.
    bool hasTokens = false;
    std::uint32_t attempts = 0;
  };

  void run();
  void take(routing::RouterInput input);
  void take(Submission submission);
  void take(const transport::Event& event);
  void take(CachePolled polled);
  void take(StateFetched fetched);
  void take(const ShutDown&);

  void performAll();
  void perform(routing::CallerToken& token);
  void perform(routing::CallerEnded& ended);
  void perform(routing::CallerRefused& refused);
  void perform(routing::StartAttempt& start);
  void perform(routing::CancelAttempt& cancel);
  void perform(routing::ExportAttempt& request);
  void perform(routing::HoldState& request);
  void perform(routing::StoreState& request);
  void perform(routing::UploadState& request);
  void perform(routing::DiscardState& request);
  void perform(routing::OpenController& open);
  void perform(routing::CloseController& close);
  void perform(routing::SendToController& send);
  void perform(routing::RouterStopped&);

  void noteAttemptEvent(const engine::GenerateEvent& event);
  void noteCallerGone(const base::RequestId& request);
  void pollCaches();
  void publish();

  const RouterSettings settings_;
  const base::RouterId id_;
  const std::string requestPrefix_;
  std::atomic<std::uint64_t> nextRequest_ = 1;
  std::atomic<bool> stopping_ = false;
  Latch stopped_;
  RouterMetrics metrics_;
  runtime::Inbox<LoopInput> inbox_;

  // Of the loop.
  bool shutDown_ = false;
  base::TimePoint now_;  ///< Of the present batch.
  std::unique_ptr<routing::Router> router_;
  std::unordered_map<base::RequestId, OpenRequest> requests_;
  std::unordered_map<base::AttemptId, base::EngineId> attemptEngines_;
  /// States that the logic keeps here, and empty ones for those that are being fetched.
  std::map<StateKey, std::string> keptStates_;
  CacheEventPoller cachePoller_;
  std::optional<ControllerLinks> links_;

  /// What the HTTP threads read.
  std::mutex publishedMutex_;
  bool publishedReady_ = false;
  consensus::LogIndex publishedNamesIndex_ = 0;
  std::vector<routing::ServedName> publishedNames_;

  // Destroyed first, in reverse order: their threads post to the inbox.
  std::unique_ptr<transport::Transport> transport_;
  std::unique_ptr<CallExecutor> executor_;
  std::unique_ptr<EngineClient> engineClient_;
  std::unique_ptr<StreamRunner> streams_;
  std::thread loop_;
};

}  // namespace walnut::daemon
