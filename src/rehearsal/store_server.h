#pragma once
/// @file
/// The stand-in weight store behind HTTP. No weights travel: a read only takes its time. Routes:
///   GET  /v1/checkpoints/{name}?bytes=N -> 200 once the rate-limited read is done, 500 if it fails
///   POST /kit/slowdown?factor=F         -> 204: all rates are divided by F from now on
///   POST /kit/failing?value=BOOLEAN     -> 204: reads fail when they would end
/// and health, readiness and metrics. `{name}` may contain '/'.

#include <atomic>
#include <map>
#include <memory>
#include <string>

#include "http/event_queue.h"
#include "http/http_server.h"
#include "http/process_probe.h"
#include "rehearsal/step_thread.h"
#include "standin/weight_store.h"
#include "walnut/base/error.h"

namespace walnut::rehearsal {

class StoreServer : private http::ProcessProbe {
 public:
  /// @return `connectFailed` if the address can't be bound.
  static base::Result<std::unique_ptr<StoreServer>> start(
      const base::Endpoint& listen, const standin::WeightStoreOptions& options);
  ~StoreServer() override { stop(); }

  const base::Endpoint& endpoint() const { return http_->endpoint(); }
  /// Breaks off the reads in service.
  void stop();

 private:
  using ReadQueue = http::EventQueue<standin::FinishedRead>;

  explicit StoreServer(const standin::WeightStoreOptions& options);

  bool ready() override { return true; }
  std::string metricsText() override;

  void handle(http::Exchange& exchange);
  void serveRead(http::Exchange& exchange);
  void serveSlowdown(http::Exchange& exchange);
  void serveFailing(http::Exchange& exchange);
  standin::ReadId beginRead(const std::string& checkpoint, std::uint64_t bytes,
                            std::shared_ptr<ReadQueue> answer);
  void abandonRead(standin::ReadId id);
  base::TimePoint step(base::TimePoint now);

  std::atomic<bool> stopping_{false};
  standin::WeightStore store_;
  std::map<standin::ReadId, std::shared_ptr<ReadQueue>> readers_;
  standin::ReadId lastId_ = 0;
  std::uint64_t finishedReads_ = 0;
  std::uint64_t failedReads_ = 0;
  std::uint64_t abandonedReads_ = 0;
  StepThread thread_;  ///< Guards all members above but `stopping_`.
  std::unique_ptr<http::HttpServer> http_;
};

}  // namespace walnut::rehearsal
