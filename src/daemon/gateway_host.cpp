#include "daemon/gateway_host.h"

#include <utility>
#include <variant>

#include "walnut/registry/feature_level.h"
#include "walnut/runtime/clock.h"

namespace walnut::daemon {

namespace {

using runtime::LogEvent;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
constexpr std::string_view kMetricsPath = "/metrics";
constexpr base::Duration kStopCheckInterval = std::chrono::milliseconds(50);
/// Between two checks whether the last answers are written.
constexpr base::Duration kFinalCheckInterval = std::chrono::milliseconds(5);

net::ClientPoolOptions poolOptions() {
  net::ClientPoolOptions options;
  options.timeouts.connect = std::chrono::milliseconds(400);
  return options;
}

net::ServerLimits toServerLimits(const catalog::RequestLimits& limits) {
  net::ServerLimits server;
  server.maxHeadBytes = limits.maxHeaderBytes;
  server.maxBodyBytes = limits.maxBodyBytes;
  server.headTimeout = limits.headerTimeout;
  server.idleTimeout = limits.idleTimeout;
  return server;
}

gateway::GatewayOptions withSeed(gateway::GatewayOptions options) {
  options.selection.seed = runtime::randomSeed();
  return options;
}

}  // namespace

GatewayHost::GatewayHost(const GatewaySettings& settings, const gateway::RequestDialect& dialect,
                         runtime::OutputLog& log)
    : settings_(settings),
      dialect_(dialect),
      log_(log),
      launcher_(dispatcher_, poolOptions()),
      session_(settings.session, dispatcher_, *this, log, runtime::randomSeed()),
      gateway_(withSeed(settings.logic), dispatcher_, dialect, launcher_, session_, log, metrics_),
      follower_(dispatcher_, session_, gateway_, log),
      readinessLog_(dispatcher_, session_, gateway_, log),
      probe_(*this),
      stopTimer_(dispatcher_.createTimer([this] { checkStopped(); })) {
  dispatcher_.setEndOfTurn([this] { log_.flushIfDue(dispatcher_.now()); });
}

GatewayHost::~GatewayHost() = default;

base::Result<void> GatewayHost::start() {
  transport::TransportOptions options;
  options.listen = false;
  options.hello.role = protocol::PeerRole::router;
  options.hello.id = runtime::randomSeed();
  options.hello.zone = settings_.logic.selection.zone;
  options.hello.featureLevel = registry::kFeatureLevel;
  BOOST_OUTCOME_TRY(
      transport, transport::makeTransport(options, [this](transport::Event event) {
        dispatcher_.post([this, event = std::move(event)]() mutable { takeEvent(event); });
      }));
  transport_ = std::move(transport);
  BOOST_OUTCOME_TRY(front, net::HttpServer::open(dispatcher_, settings_.listen, {}, gateway_));
  front_ = std::move(front);
  front_->setByteCounter(&gateway_.buffers());
  front_->setMaxConnections(settings_.maxConnections);
  BOOST_OUTCOME_TRY(readiness, net::HttpServer::open(dispatcher_, settings_.readiness, {}, probe_));
  readiness_ = std::move(readiness);
  session_.start();
  gateway_.start();
  readinessLog_.start();
  return base::success();
}

void GatewayHost::ProbeHandler::onRequest(net::HttpRequest request, net::ResponseSink& sink) {
  net::HttpResponse response;
  if (host_.dialect_.isReadinessCall(request)) {
    response.head.status = host_.gateway_.ready() ? kOk : kUnavailable;
  } else if (request.path() == kMetricsPath) {
    response.head.status = kOk;
    response.head.headers.add("Content-Type", "text/plain; version=0.0.4");
    const gateway::BufferBudget& buffers = host_.gateway_.buffers();
    host_.metrics_.setBytes("walnut_gateway_buffered_bytes", buffers.held());
    host_.metrics_.setBytes("walnut_gateway_buffer_limit_bytes", buffers.limit());
    const routing::RetryBudget::Usage retries = host_.gateway_.retryUsage();
    host_.metrics_.set("walnut_gateway_retries_used", static_cast<double>(retries.retries));
    host_.metrics_.set("walnut_gateway_retries_allowed", retries.allowed);
    host_.metrics_.set("walnut_gateway_counted_gateways", host_.gateway_.gatewayCount());
    response.body = host_.metrics_.text();
  } else {
    response.head.status = kNotFound;
  }
  sink.respond(std::move(response));
}

void GatewayHost::open(const base::Endpoint& server) { transport_->open(server); }

void GatewayHost::close(protocol::ConnectionId connection) { transport_->close(connection); }

void GatewayHost::send(protocol::ConnectionId connection, registry::MessageBody message) {
  transport_->send(connection, registry::RegistryMessage{std::move(message)});
}

void GatewayHost::takeEvent(transport::Event& event) {
  if (const auto* opened = std::get_if<transport::Opened>(&event)) {
    session_.opened(opened->connection, opened->remote, opened->hello.featureLevel);
  } else if (const auto* failed = std::get_if<transport::OpenFailed>(&event)) {
    session_.openFailed(failed->remote);
  } else if (const auto* closed = std::get_if<transport::Closed>(&event)) {
    session_.closed(closed->connection);
  } else if (const auto* received = std::get_if<transport::Received>(&event)) {
    const auto* message = std::get_if<registry::RegistryMessage>(&received->message);
    if (message != nullptr && follower_.messageReceived(received->connection, *message)) {
      afterView();
    }
  }
}

void GatewayHost::afterView() {
  for (const registry::WorkerId& gone : gateway_.takeRemovedWorkers()) {
    launcher_.forget(gone);
  }
  const auto document = gateway_.document();
  if (document != nullptr && document->version != limitsVersion_) {
    limitsVersion_ = document->version;
    front_->setLimits(toServerLimits(document->limits));
  }
}

void GatewayHost::reload(const GatewaySettings& settings) {
  session_.setServers(settings.session.servers);
  log_.write(LogEvent::settingsReloaded,
             {{"servers", static_cast<std::uint64_t>(settings.session.servers.size())}});
}

void GatewayHost::beginStop(base::TimePoint signalledAt) {
  log_.write(
      LogEvent::processStopping,
      {{"reason", "signal"}, {"running", static_cast<std::uint64_t>(gateway_.exchangeCount())}});
  stop_ = gateway::StopSchedule(signalledAt, settings_.grace);
  gateway_.beginStop(stop_.cancelsAt);
  readinessLog_.stop();
  front_->announceClose();
  checkStopped();
}

void GatewayHost::checkStopped() {
  const base::TimePoint now = dispatcher_.now();
  if (now >= stop_.acceptsUntil) {
    gateway_.refuseStreams();
    front_->closeIdle();
  }
  if (now >= stop_.refusesFrom) {
    gateway_.refuseAll();
  }
  const bool hadCancelled = hasCancelled_;
  if (now >= stop_.cancelsAt && !hasCancelled_) {
    hasCancelled_ = true;
    log_.write(LogEvent::processStopping,
               {{"reason", "end of the grace"},
                {"running", static_cast<std::uint64_t>(gateway_.exchangeCount())}});
    front_->stopListening();
    gateway_.cancelAll();
  }
  if (isStopped(now, hadCancelled)) {
    log_.write(LogEvent::processStopped,
               {{"connections", static_cast<std::uint64_t>(front_->connectionCount())}});
    dispatcher_.stop();
    return;
  }
  stopTimer_->enableAt(now + (hasCancelled_ ? kFinalCheckInterval : kStopCheckInterval));
}

/// The cancelled requests' answers are written before the next check, also if the loop was held up
/// until the end.
bool GatewayHost::isStopped(base::TimePoint now, bool hadCancelled) const {
  const bool settled =
      now >= stop_.acceptsUntil && gateway_.exchangeCount() == 0 && front_->connectionCount() == 0;
  return settled || (hadCancelled && now >= stop_.endsBy);
}

}  // namespace walnut::daemon
