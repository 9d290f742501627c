#pragma once
/// @file
/// The stand-in engine behind HTTP: the published routes (walnut/engine/json_codec.h), and routes
/// of the kit:
///   GET  /kit/state               -> 200 {"incarnation", "violations": [text...]}
///   GET  /kit/runs?prompt=TEXT    -> 200 {"count"}: attempts of that prompt that were started
///   POST /kit/leaving?value=BOOL  -> 204: the engine says from now on that it leaves, or not
/// and health, readiness and metrics.

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "http/event_queue.h"
#include "http/http_server.h"
#include "http/process_probe.h"
#include "rehearsal/step_thread.h"
#include "rehearsal/store_reader.h"
#include "walnut/base/error.h"
#include "walnut/standin/engine.h"

namespace walnut::rehearsal {

struct EngineServerOptions {
  base::Endpoint listen{"127.0.0.1", 0};
  base::Endpoint store;  ///< Weight store.
  standin::EngineModelOptions model;
};

class EngineServer : private http::ProcessProbe {
 public:
  /// @return `connectFailed` if the address can't be bound.
  static base::Result<std::unique_ptr<EngineServer>> start(const EngineServerOptions& options);
  ~EngineServer() override { stop(); }

  const base::Endpoint& endpoint() const { return http_->endpoint(); }
  /// Breaks off the streams in service.
  void stop();

 private:
  struct AttemptKey {
    base::RequestId request;
    base::AttemptId attempt;
    auto operator<=>(const AttemptKey&) const = default;
  };
  /// Events of one attempt; nothing: the stream was closed by a cancel.
  using StreamQueue = http::EventQueue<std::optional<engine::GenerateEvent>>;
  struct Stream {
    std::string prompt;
    std::shared_ptr<StreamQueue> events;
    bool taken = false;  ///< Not refused at once: the engine runs it, or has it in its queue.
  };
  struct Counters {
    std::uint64_t runs = 0;
    std::uint64_t tokens = 0;
    std::uint64_t ended = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t storeReads = 0;
    std::uint64_t loadOrders = 0;
    std::uint64_t unloadOrders = 0;
    std::uint64_t refusedOrders = 0;
    std::uint64_t staleCalls = 0;
  };

  explicit EngineServer(const EngineServerOptions& options);

  bool ready() override { return true; }
  std::string metricsText() override;

  void handle(http::Exchange& exchange);
  bool handleKit(http::Exchange& exchange);
  void serveOrder(http::Exchange& exchange);
  void serveReport(http::Exchange& exchange);
  void serveGenerate(http::Exchange& exchange);
  void serveCancel(http::Exchange& exchange);
  void serveExport(http::Exchange& exchange);
  void serveHold(http::Exchange& exchange);
  void servePut(http::Exchange& exchange);
  void serveImport(http::Exchange& exchange);
  void serveCacheEvents(http::Exchange& exchange);
  void serveState(http::Exchange& exchange);
  void serveRuns(http::Exchange& exchange);
  void serveLeaving(http::Exchange& exchange);

  std::shared_ptr<StreamQueue> submit(const engine::GenerateRequest& request);
  bool importKv(const engine::KvSource& source) const;
  void relay(http::Exchange& exchange, const engine::GenerateRequest& request, StreamQueue& events);
  /// @return false if there is no such stream, nor its held state.
  bool cancel(const engine::CancelRequest& request);
  engine::CallResult call(const engine::Call& call);

  base::TimePoint step(base::TimePoint now);
  void takeActions();
  void dispatch(const engine::GenerateEvent& event);
  void countStart(const Stream& stream);

  std::atomic<bool> stopping_{false};
  base::Incarnation incarnation_;
  std::unique_ptr<standin::EngineModel> model_;
  std::map<AttemptKey, Stream> streams_;
  std::map<std::string, std::uint64_t> runsOfPrompt_;
  Counters counters_;
  StepThread thread_;  ///< Guards all members above but `stopping_` and `incarnation_`.
  StoreReader reader_;
  std::unique_ptr<http::HttpServer> http_;
};

}  // namespace walnut::rehearsal
