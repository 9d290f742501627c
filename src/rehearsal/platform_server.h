#pragma once
/// @file
/// The stand-in platform behind HTTP. The list lags behind the kit's changes. Routes:
///   GET    /v1/machines                                 -> 200 PlatformList
///   POST   /kit/machines         (body: a PlatformList) -> 204: adds or replaces its machines
///   POST   /kit/machines/{id}/leaving?reclaim_in_ms=N   -> 204: N is optional
///   DELETE /kit/machines/{id}                           -> 204
/// and health, readiness and metrics. Unknown machines are refused: 404.

#include <memory>
#include <mutex>
#include <string>

#include "http/http_server.h"
#include "http/process_probe.h"
#include "standin/platform.h"
#include "walnut/base/error.h"

namespace walnut::rehearsal {

class PlatformServer : private http::ProcessProbe {
 public:
  /// @param lag how far the list is behind.
  /// @return `connectFailed` if the address can't be bound.
  static base::Result<std::unique_ptr<PlatformServer>> start(const base::Endpoint& listen,
                                                             base::Duration lag);
  ~PlatformServer() override { stop(); }

  const base::Endpoint& endpoint() const { return http_->endpoint(); }
  void stop();

 private:
  explicit PlatformServer(base::Duration lag) : platform_(lag) {}

  bool ready() override { return true; }
  std::string metricsText() override;

  void handle(http::Exchange& exchange);
  void serveList(http::Exchange& exchange);
  void serveAdd(http::Exchange& exchange);
  void serveLeaving(http::Exchange& exchange);
  void serveRemove(http::Exchange& exchange);

  std::mutex mutex_;
  standin::Platform platform_;     ///< Guarded by mutex_.
  std::uint64_t listsServed_ = 0;  ///< Guarded by mutex_.
  std::unique_ptr<http::HttpServer> http_;
};

}  // namespace walnut::rehearsal
