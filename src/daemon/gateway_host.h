#pragma once
/// @file
/// A gateway process around the gateway's logic.

#include <map>
#include <memory>

#include "daemon/gateway_settings.h"
#include "event/dispatcher.h"
#include "gateway/gateway.h"
#include "gateway/pooled_launcher.h"
#include "gateway/readiness_log.h"
#include "gateway/registry_follower.h"
#include "gateway/stop_schedule.h"
#include "net/http_server.h"
#include "runtime/output_log.h"
#include "runtime/prometheus_sink.h"
#include "walnut/transport/transport.h"

namespace walnut::daemon {

/// Everything but the transport's own thread runs on the event loop. Planned stop: not ready at
/// once; callers are asked to open other connections; what may still run at the end is refused; the
/// loop stops once the last answer is written, at the latest before the end of the grace.
class GatewayHost : public gateway::RegistryLink {
 public:
  GatewayHost(const GatewaySettings& settings, const gateway::RequestDialect& dialect,
              runtime::OutputLog& log);
  ~GatewayHost() override;
  GatewayHost(const GatewayHost&) = delete;
  GatewayHost& operator=(const GatewayHost&) = delete;

  base::Result<void> start();
  void run() { dispatcher_.run(); }
  event::Dispatcher& dispatcher() { return dispatcher_; }
  const base::Endpoint& frontEndpoint() const { return front_->endpoint(); }
  const base::Endpoint& readinessEndpoint() const { return readiness_->endpoint(); }

  /// @param signalledAt when the grace began.
  void beginStop(base::TimePoint signalledAt);
  /// Takes what may change while the process runs: the servers of the registry.
  void reload(const GatewaySettings& settings);

  // gateway::RegistryLink
  void open(const base::Endpoint& server) override;
  void close(protocol::ConnectionId connection) override;
  void send(protocol::ConnectionId connection, registry::MessageBody message) override;

 private:
  /// Answers the readiness call and serves the metrics.
  class ProbeHandler : public net::RequestHandler {
   public:
    explicit ProbeHandler(GatewayHost& host) : host_(host) {}
    void onRequest(net::HttpRequest request, net::ResponseSink& sink) override;

   private:
    GatewayHost& host_;
  };

  void takeEvent(transport::Event& event);
  void afterView();
  void checkStopped();
  bool isStopped(base::TimePoint now, bool hadCancelled) const;

  const GatewaySettings settings_;
  const gateway::RequestDialect& dialect_;
  runtime::OutputLog& log_;
  event::Dispatcher dispatcher_;
  runtime::PrometheusSink metrics_;
  gateway::PooledLauncher launcher_;
  gateway::RegistrySession session_;
  gateway::Gateway gateway_;
  gateway::RegistryFollower follower_;
  gateway::ReadinessLog readinessLog_;
  ProbeHandler probe_;
  std::unique_ptr<net::HttpServer> front_;
  std::unique_ptr<net::HttpServer> readiness_;
  event::TimerPtr stopTimer_;
  gateway::StopSchedule stop_;
  bool hasCancelled_ = false;
  std::uint64_t limitsVersion_ = 0;
  std::unique_ptr<transport::Transport> transport_;  ///< Last: its thread posts to the loop.
};

}  // namespace walnut::daemon
