/// The engine's published routes.
#include "rehearsal/engine_server.h"

#include <Poco/URI.h>

#include <charconv>
#include <type_traits>
#include <utility>
#include <variant>

#include "rehearsal/http_client.h"
#include "rehearsal/kit_request.h"

namespace walnut::rehearsal {

using base::Error;
using base::ErrorCode;

namespace {

/// How often an open stream is checked for the caller's disconnect.
constexpr base::Duration kPeerCheckInterval = std::chrono::milliseconds(50);
constexpr base::Duration kImportTimeout = std::chrono::seconds(2);
/// Prompts whose runs are counted, so that a long run can't grow without bound.
constexpr std::size_t kMaxCountedPrompts = 1'000'000;

bool isTerminal(const engine::GenerateEvent& event) {
  return std::holds_alternative<engine::GenerateEnded>(event) ||
         std::holds_alternative<engine::GenerateFailed>(event);
}

std::string eventText(const engine::GenerateEvent& event) {
  return std::string("event: ") + engine::generateEventName(event) +
         "\ndata: " + engine::encodeGenerateEvent(event) + "\n\n";
}

/// Reads and decodes the body, and refuses it if it is not sound.
/// @return the value, or nothing if the refusal was sent.
template <class Decode>
auto takeBody(http::Exchange& exchange, Decode decode)
    -> std::optional<typename std::decay_t<decltype(decode(std::string_view()))>::value_type> {
  const auto body = exchange.readBody(engine::kMaxJsonBytes);
  if (!body) {
    sendRefusal(exchange, body.error());
    return std::nullopt;
  }
  auto value = decode(std::string_view(body.value()));
  if (!value) {
    sendRefusal(exchange, value.error());
    return std::nullopt;
  }
  return std::move(value.value());
}

}  // namespace

EngineServer::EngineServer(const EngineServerOptions& options)
    : incarnation_(options.model.incarnation),
      model_(standin::makeEngineModel(options.model)),
      thread_([this](base::TimePoint now) { return step(now); }),
      reader_(options.store, [this](const standin::StoreRead& read) {
        thread_.run([&](base::TimePoint now) {
          model_->storeRead(now, read);
          return true;
        });
      }) {}

base::Result<std::unique_ptr<EngineServer>> EngineServer::start(
    const EngineServerOptions& options) {
  std::unique_ptr<EngineServer> server(new EngineServer(options));
  http::HttpServerOptions httpOptions;
  httpOptions.listen = options.listen;
  EngineServer& self = *server;
  BOOST_OUTCOME_TRY(http, http::HttpServer::start(httpOptions, [&self](http::Exchange& exchange) {
                      self.handle(exchange);
                    }));
  server->http_ = std::move(http);
  return server;
}

void EngineServer::stop() {
  stopping_ = true;
  if (http_) {
    http_->stop();
  }
}

base::TimePoint EngineServer::step(base::TimePoint now) {
  model_->tick(now);
  takeActions();
  return model_->nextWakeup();
}

void EngineServer::takeActions() {
  for (standin::EngineAction& action : model_->takeActions()) {
    if (auto* read = std::get_if<standin::ReadFromStore>(&action)) {
      ++counters_.storeReads;
      reader_.read(std::move(*read));
    } else {
      dispatch(std::get<engine::GenerateEvent>(action));
    }
  }
}

void EngineServer::dispatch(const engine::GenerateEvent& event) {
  const AttemptKey key = std::visit(
      [](const auto& value) {
        return AttemptKey{value.request, value.attempt};
      },
      event);
  const auto stream = streams_.find(key);
  if (stream == streams_.end()) {
    return;
  }
  // An attempt that was taken and is denied later has run (EngineSabotage::denyExecution).
  const auto* failed = std::get_if<engine::GenerateFailed>(&event);
  const bool denied = failed != nullptr && stream->second.taken &&
                      failed->started == engine::GenerateFailed::Started::no;
  if (denied || std::holds_alternative<engine::GenerateStarted>(event)) {
    countStart(stream->second);
  }
  counters_.tokens += std::holds_alternative<engine::GenerateToken>(event) ? 1 : 0;
  counters_.ended += std::holds_alternative<engine::GenerateEnded>(event) ? 1 : 0;
  stream->second.events->push(event);
  if (isTerminal(event)) {
    streams_.erase(stream);
  }
}

void EngineServer::countStart(const Stream& stream) {
  ++counters_.runs;
  if (runsOfPrompt_.size() < kMaxCountedPrompts || runsOfPrompt_.contains(stream.prompt)) {
    ++runsOfPrompt_[stream.prompt];
  }
}

void EngineServer::handle(http::Exchange& exchange) {
  if (http::handleProbe(exchange, *this) || handleKit(exchange)) {
    return;
  }
  if (isRoute(exchange, "POST", {"v1", "orders"})) {
    serveOrder(exchange);
  } else if (isRoute(exchange, "POST", {"v1", "report"})) {
    serveReport(exchange);
  } else if (isRoute(exchange, "POST", {"v1", "generate"})) {
    serveGenerate(exchange);
  } else if (isRoute(exchange, "POST", {"v1", "cancel"})) {
    serveCancel(exchange);
  } else if (isRoute(exchange, "POST", {"v1", "kv", "export"})) {
    serveExport(exchange);
  } else if (isRoute(exchange, "POST", {"v1", "kv", "hold"})) {
    serveHold(exchange);
  } else if (isRouteUnder(exchange, "PUT", {"v1", "kv"}, 4)) {
    servePut(exchange);
  } else if (isRouteUnder(exchange, "GET", {"v1", "kv"}, 3)) {
    serveImport(exchange);
  } else if (isRoute(exchange, "GET", {"v1", "cache-events"})) {
    serveCacheEvents(exchange);
  } else {
    sendNoSuchRoute(exchange);
  }
}

engine::CallResult EngineServer::call(const engine::Call& call) {
  return thread_.run([&](base::TimePoint now) {
    engine::CallResult result = model_->call(now, call);
    const auto* order = std::get_if<engine::Order>(&call);
    if (!result) {
      counters_.staleCalls += result.error().code == ErrorCode::staleOrder ? 1 : 0;
      counters_.refusedOrders += order != nullptr ? 1 : 0;
    } else if (order != nullptr) {
      const bool load = order->action == engine::OrderAction::load;
      ++(load ? counters_.loadOrders : counters_.unloadOrders);
    }
    return result;
  });
}

void EngineServer::serveOrder(http::Exchange& exchange) {
  const auto order = takeBody(exchange, engine::decodeOrder);
  if (!order) {
    return;
  }
  const engine::CallResult result = call(*order);
  if (!result) {
    sendRefusal(exchange, result.error());
    return;
  }
  exchange.sendJson(200,
                    engine::encodeOrderAccepted(std::get<engine::OrderAccepted>(result.value())));
}

void EngineServer::serveReport(http::Exchange& exchange) {
  const auto request = takeBody(exchange, engine::decodeReportRequest);
  if (!request) {
    return;
  }
  const engine::CallResult result = call(*request);
  if (!result) {
    sendRefusal(exchange, result.error());
    return;
  }
  exchange.sendJson(200, engine::encodeReport(std::get<engine::Report>(result.value())));
}

void EngineServer::serveGenerate(http::Exchange& exchange) {
  const auto request = takeBody(exchange, engine::decodeGenerateRequest);
  if (!request) {
    return;
  }
  if (request->kvSource && !importKv(*request->kvSource)) {
    sendRefusal(exchange, Error{ErrorCode::unknownAttempt, "kv_source", "can't be fetched"});
    return;
  }
  const auto events = submit(*request);
  relay(exchange, *request, *events);
}

bool EngineServer::importKv(const engine::KvSource& source) const {
  HttpCall fetch;
  fetch.server = source.endpoint;
  Poco::URI::encode(source.handle, "/?#&%", fetch.path);
  fetch.path = "/v1/kv/" + fetch.path;
  fetch.timeout = kImportTimeout;
  const auto reply = httpCall(fetch);
  return reply.has_value() && reply.value().status == 200;
}

std::shared_ptr<EngineServer::StreamQueue> EngineServer::submit(
    const engine::GenerateRequest& request) {
  auto events = std::make_shared<StreamQueue>();
  thread_.run([&](base::TimePoint now) {
    const AttemptKey key{request.request, request.attempt};
    streams_[key] = Stream{request.prompt, events};
    model_->generate(now, request);
    takeActions();
    const auto stream = streams_.find(key);
    if (stream != streams_.end()) {
      stream->second.taken = true;
    }
    return true;
  });
  return events;
}

/// A refusal before the start has a status of its own; everything later is an event.
void EngineServer::relay(http::Exchange& exchange, const engine::GenerateRequest& request,
                         StreamQueue& events) {
  base::TimePoint checkedAt = runtime::now();
  while (!stopping_) {
    if (const auto next = events.popFor(kPeerCheckInterval)) {
      if (!*next) {
        return;
      }
      const engine::GenerateEvent& event = **next;
      const auto* failed = std::get_if<engine::GenerateFailed>(&event);
      if (failed != nullptr && !exchange.responseBegun()) {
        sendRefusal(exchange, engine::Refusal{failed->error, failed->started});
        return;
      }
      if (!exchange.responseBegun()) {
        exchange.beginStream("text/event-stream");
      }
      exchange.writeStream(eventText(event));
      if (isTerminal(event)) {
        return;
      }
    }
    const base::TimePoint now = runtime::now();
    if (now - checkedAt >= kPeerCheckInterval) {
      checkedAt = now;
      if (exchange.peerGone()) {
        cancel(engine::CancelRequest{request.request, request.attempt});
        return;
      }
    }
  }
}

bool EngineServer::cancel(const engine::CancelRequest& request) {
  return thread_.run([&](base::TimePoint now) {
    const auto stream = streams_.find(AttemptKey{request.request, request.attempt});
    if (stream == streams_.end()) {
      const std::size_t heldBefore = model_->heldStates();
      model_->cancel(now, request);
      return model_->heldStates() < heldBefore;
    }
    stream->second.events->push(std::nullopt);
    streams_.erase(stream);
    ++counters_.cancelled;
    model_->cancel(now, request);
    return true;
  });
}

void EngineServer::serveCancel(http::Exchange& exchange) {
  const auto request = takeBody(exchange, engine::decodeCancelRequest);
  if (!request) {
    return;
  }
  if (cancel(*request)) {
    exchange.sendEmpty(204);
  } else {
    sendRefusal(exchange, Error{ErrorCode::unknownAttempt, "attempt", "not running here"});
  }
}

/// The stream stays open without further events until its reader closes it.
void EngineServer::serveExport(http::Exchange& exchange) {
  const auto request = takeBody(exchange, engine::decodeExportRequest);
  if (!request) {
    return;
  }
  const engine::ExportResult result =
      thread_.run([&](base::TimePoint now) { return model_->exportKv(now, *request); });
  if (!result) {
    sendRefusal(exchange, result.error());
    return;
  }
  exchange.sendJson(200, engine::encodeExportReply(result.value()));
}

void EngineServer::serveHold(http::Exchange& exchange) {
  const auto request = takeBody(exchange, engine::decodeHoldRequest);
  if (!request) {
    return;
  }
  const base::Result<standin::HoldPlace> place =
      thread_.run([&](base::TimePoint now) { return model_->beginHold(now, *request); });
  if (!place) {
    sendRefusal(exchange, place.error());
    return;
  }
  const std::string& handle = place.value().handle;
  if (!place.value().fetched) {
    const bool fetched = importKv(request->source);
    const bool held =
        thread_.run([&](base::TimePoint now) { return model_->endHold(now, handle, fetched); });
    if (!held) {
      sendRefusal(exchange, Error{ErrorCode::unknownAttempt, "kv_source", "can't be fetched"});
      return;
    }
  }
  exchange.sendJson(200, engine::encodeHoldReply({handle}));
}

/// The stand-in's state has no bytes of its own: those of the body are read and let go.
void EngineServer::servePut(http::Exchange& exchange) {
  const auto body = exchange.readBody(engine::kMaxJsonBytes);
  const std::string& last = exchange.segments().back();
  engine::HoldRequest hold;
  hold.request.value = exchange.segments()[2];
  const char* const end = last.data() + last.size();
  const auto [rest, failure] = std::from_chars(last.data(), end, hold.attempt.value);
  if (!body || failure != std::errc() || rest != end) {
    sendRefusal(exchange,
                body ? Error{ErrorCode::wrongType, "attempt", "not a number"} : body.error());
    return;
  }
  const auto place = thread_.run([&](base::TimePoint now) {
    auto begun = model_->beginHold(now, hold);
    if (begun && !begun.value().fetched) {
      model_->endHold(now, begun.value().handle, true);
    }
    return begun;
  });
  if (!place) {
    sendRefusal(exchange, place.error());
    return;
  }
  exchange.sendJson(200, engine::encodeHoldReply({place.value().handle}));
}

void EngineServer::serveImport(http::Exchange& exchange) {
  const std::string& handle = exchange.segments().back();
  const bool found =
      thread_.run([&](base::TimePoint now) { return model_->importKv(now, handle); });
  if (found) {
    exchange.sendText(200, "application/octet-stream", "");
  } else {
    sendRefusal(exchange, Error{ErrorCode::unknownAttempt, "handle", "no such export"});
  }
}

void EngineServer::serveCacheEvents(http::Exchange& exchange) {
  const auto after = queryNumber<std::uint64_t>(exchange, "after", 0, UINT64_MAX);
  if (!after) {
    sendRefusal(exchange, after.error());
    return;
  }
  const auto events =
      thread_.run([&](base::TimePoint) { return model_->cacheEvents(after.value()); });
  exchange.sendJson(200, engine::encodeCacheEvents(events));
}

}  // namespace walnut::rehearsal
