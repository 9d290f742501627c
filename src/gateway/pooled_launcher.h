#pragma once
/// @file
/// Sends the attempts of requests over pooled HTTP connections.

#include "gateway/exchange.h"

namespace walnut::gateway {

class PooledLauncher : public AttemptLauncher {
 public:
  PooledLauncher(event::Dispatcher& dispatcher, const net::ClientPoolOptions& options)
      : dispatcher_(dispatcher), pool_(dispatcher, options) {}

  std::unique_ptr<Attempt> start(const registry::WorkerRecord& worker,
                                 const net::HttpRequest& request,
                                 const net::ConnectionChoice& choice,
                                 net::ResponseCallbacks& callbacks) override;
  bool connected(const registry::WorkerId& worker) const override {
    return pool_.hasIdle(worker.value);
  }
  bool connectedSince(const registry::WorkerId& worker, base::TimePoint time) const override {
    return pool_.hasIdleSince(worker.value, time);
  }
  void forget(const registry::WorkerId& worker) override { pool_.forget(worker.value); }

 private:
  event::Dispatcher& dispatcher_;
  net::ClientPool pool_;
};

}  // namespace walnut::gateway
