#include "rehearsal/platform_server.h"

#include <limits>
#include <utility>

#include "rehearsal/kit_metrics.h"
#include "rehearsal/kit_request.h"
#include "walnut/runtime/clock.h"

namespace walnut::rehearsal {

namespace {

/// Longest grace of a reclaimed machine, in milliseconds: a day.
constexpr std::int64_t kMaxReclaimMillis = 24LL * 3600 * 1000;

void sendOutcome(http::Exchange& exchange, const base::Result<void>& outcome) {
  if (outcome) {
    exchange.sendEmpty(204);
  } else {
    sendRefusal(exchange, outcome.error());
  }
}

}  // namespace

base::Result<std::unique_ptr<PlatformServer>> PlatformServer::start(const base::Endpoint& listen,
                                                                    base::Duration lag) {
  std::unique_ptr<PlatformServer> server(new PlatformServer(lag));
  http::HttpServerOptions options;
  options.listen = listen;
  PlatformServer& self = *server;
  BOOST_OUTCOME_TRY(http, http::HttpServer::start(options, [&self](http::Exchange& exchange) {
                      self.handle(exchange);
                    }));
  server->http_ = std::move(http);
  return server;
}

void PlatformServer::stop() {
  if (http_) {
    http_->stop();
  }
}

void PlatformServer::handle(http::Exchange& exchange) {
  if (http::handleProbe(exchange, *this)) {
    return;
  }
  if (isRoute(exchange, "GET", {"v1", "machines"})) {
    serveList(exchange);
  } else if (isRoute(exchange, "POST", {"kit", "machines"})) {
    serveAdd(exchange);
  } else if (isRouteUnder(exchange, "POST", {"kit", "machines"}, 4) &&
             exchange.segments().back() == "leaving") {
    serveLeaving(exchange);
  } else if (isRouteUnder(exchange, "DELETE", {"kit", "machines"}, 3)) {
    serveRemove(exchange);
  } else {
    sendNoSuchRoute(exchange);
  }
}

void PlatformServer::serveList(http::Exchange& exchange) {
  engine::PlatformList list;
  {
    const std::lock_guard lock(mutex_);
    list = platform_.list(runtime::now());
    ++listsServed_;
  }
  exchange.sendJson(200, engine::encodePlatformList(list));
}

void PlatformServer::serveAdd(http::Exchange& exchange) {
  const auto body = exchange.readBody(engine::kMaxJsonBytes);
  if (!body) {
    sendRefusal(exchange, body.error());
    return;
  }
  const auto list = engine::decodePlatformList(body.value());
  if (!list) {
    sendRefusal(exchange, list.error());
    return;
  }
  {
    const std::lock_guard lock(mutex_);
    for (const engine::PlatformMachine& machine : list.value().machines) {
      platform_.add(runtime::now(), machine);
    }
  }
  exchange.sendEmpty(204);
}

void PlatformServer::serveLeaving(http::Exchange& exchange) {
  std::optional<base::Duration> grace;
  if (exchange.query("reclaim_in_ms")) {
    const auto millis = queryNumber<std::int64_t>(exchange, "reclaim_in_ms", 0, kMaxReclaimMillis);
    if (!millis) {
      sendRefusal(exchange, millis.error());
      return;
    }
    grace = std::chrono::milliseconds(millis.value());
  }
  const base::EngineId id{exchange.segments().at(2)};
  const std::lock_guard lock(mutex_);
  const base::TimePoint now = runtime::now();
  const auto reclaimAt = grace ? std::optional(now + *grace) : std::nullopt;
  sendOutcome(exchange, platform_.markLeaving(now, id, reclaimAt));
}

void PlatformServer::serveRemove(http::Exchange& exchange) {
  const base::EngineId id{exchange.segments().at(2)};
  const std::lock_guard lock(mutex_);
  sendOutcome(exchange, platform_.remove(runtime::now(), id));
}

std::string PlatformServer::metricsText() {
  const std::lock_guard lock(mutex_);
  return kitMetricsText({
      {"standin_platform_lists_total", listsServed_},
      {"standin_platform_machines", platform_.current(runtime::now()).machines.size()},
  });
}

}  // namespace walnut::rehearsal
