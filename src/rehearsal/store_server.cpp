#include "rehearsal/store_server.h"

#include <utility>

#include "rehearsal/kit_metrics.h"
#include "rehearsal/kit_request.h"

namespace walnut::rehearsal {

using base::Error;
using base::ErrorCode;

namespace {

constexpr std::uint64_t kMaxCheckpointBytes = 1ULL << 50U;
constexpr double kLeastSlowdown = 0.001;
constexpr double kGreatestSlowdown = 1e6;
/// How often a waiting read is checked for its reader's disconnect.
constexpr base::Duration kPeerCheckInterval = std::chrono::milliseconds(50);

}  // namespace

StoreServer::StoreServer(const standin::WeightStoreOptions& options)
    : store_(options), thread_([this](base::TimePoint now) { return step(now); }) {}

base::Result<std::unique_ptr<StoreServer>> StoreServer::start(
    const base::Endpoint& listen, const standin::WeightStoreOptions& options) {
  std::unique_ptr<StoreServer> server(new StoreServer(options));
  http::HttpServerOptions httpOptions;
  httpOptions.listen = listen;
  StoreServer& self = *server;
  BOOST_OUTCOME_TRY(http, http::HttpServer::start(httpOptions, [&self](http::Exchange& exchange) {
                      self.handle(exchange);
                    }));
  server->http_ = std::move(http);
  return server;
}

void StoreServer::stop() {
  stopping_ = true;
  if (http_) {
    http_->stop();
  }
}

base::TimePoint StoreServer::step(base::TimePoint now) {
  for (standin::FinishedRead& read : store_.advance(now)) {
    ++(read.ok ? finishedReads_ : failedReads_);
    const auto reader = readers_.find(read.id);
    if (reader != readers_.end()) {
      reader->second->push(std::move(read));
      readers_.erase(reader);
    }
  }
  return store_.nextWakeup();
}

standin::ReadId StoreServer::beginRead(const std::string& checkpoint, std::uint64_t bytes,
                                       std::shared_ptr<ReadQueue> answer) {
  return thread_.run([&](base::TimePoint now) {
    const standin::ReadId id = ++lastId_;
    readers_[id] = std::move(answer);
    store_.read(now, id, checkpoint, bytes);
    return id;
  });
}

void StoreServer::abandonRead(standin::ReadId id) {
  thread_.run([&](base::TimePoint now) {
    store_.abandon(now, id);
    abandonedReads_ += readers_.erase(id);
    return true;
  });
}

void StoreServer::handle(http::Exchange& exchange) {
  const auto& segments = exchange.segments();
  if (http::handleProbe(exchange, *this)) {
    return;
  }
  if (isRoute(exchange, "POST", {"kit", "slowdown"})) {
    serveSlowdown(exchange);
  } else if (isRoute(exchange, "POST", {"kit", "failing"})) {
    serveFailing(exchange);
  } else if (segments.size() > 2 &&
             isRouteUnder(exchange, "GET", {"v1", "checkpoints"}, segments.size())) {
    serveRead(exchange);
  } else {
    sendNoSuchRoute(exchange);
  }
}

void StoreServer::serveRead(http::Exchange& exchange) {
  const auto bytes = queryNumber<std::uint64_t>(exchange, "bytes", 0, kMaxCheckpointBytes);
  if (!bytes) {
    sendRefusal(exchange, bytes.error());
    return;
  }
  std::string checkpoint = exchange.segments().at(2);
  for (std::size_t index = 3; index < exchange.segments().size(); ++index) {
    checkpoint += "/" + exchange.segments().at(index);
  }
  const auto answer = std::make_shared<ReadQueue>();
  const standin::ReadId id = beginRead(checkpoint, bytes.value(), answer);
  while (true) {
    if (const auto read = answer->popFor(kPeerCheckInterval)) {
      if (read->ok) {
        exchange.sendText(200, "application/octet-stream", "");
      } else {
        sendRefusal(exchange, Error{ErrorCode::loadFailed, checkpoint, "the read failed"});
      }
      return;
    }
    if (stopping_ || exchange.peerGone()) {
      abandonRead(id);
      return;
    }
  }
}

void StoreServer::serveSlowdown(http::Exchange& exchange) {
  const auto factor = queryNumber<double>(exchange, "factor", kLeastSlowdown, kGreatestSlowdown);
  if (!factor) {
    sendRefusal(exchange, factor.error());
    return;
  }
  thread_.run([&](base::TimePoint now) {
    store_.setSlowdown(now, factor.value());
    return true;
  });
  exchange.sendEmpty(204);
}

void StoreServer::serveFailing(http::Exchange& exchange) {
  const auto failing = queryBoolean(exchange, "value");
  if (!failing) {
    sendRefusal(exchange, failing.error());
    return;
  }
  thread_.run([&](base::TimePoint) {
    store_.setFailing(failing.value());
    return true;
  });
  exchange.sendEmpty(204);
}

std::string StoreServer::metricsText() {
  return thread_.run([this](base::TimePoint) {
    return kitMetricsText({
        {"standin_store_reads_total", finishedReads_},
        {"standin_store_failed_reads_total", failedReads_},
        {"standin_store_abandoned_reads_total", abandonedReads_},
        {"standin_store_active_reads", store_.activeReads()},
        {"standin_store_waiting_reads", store_.waitingReads()},
    });
  });
}

}  // namespace walnut::rehearsal
