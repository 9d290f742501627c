/// The engine's routes for the kit, and its metrics.
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include "engine/json_fields.h"
#include "rehearsal/engine_server.h"
#include "rehearsal/kit_metrics.h"
#include "rehearsal/kit_request.h"

namespace walnut::rehearsal {

using base::Error;
using base::ErrorCode;

bool EngineServer::handleKit(http::Exchange& exchange) {
  if (isRoute(exchange, "GET", {"kit", "state"})) {
    serveState(exchange);
  } else if (isRoute(exchange, "GET", {"kit", "runs"})) {
    serveRuns(exchange);
  } else if (isRoute(exchange, "POST", {"kit", "leaving"})) {
    serveLeaving(exchange);
  } else {
    return false;
  }
  return true;
}

void EngineServer::serveState(http::Exchange& exchange) {
  Poco::JSON::Array violations;
  thread_.run([&](base::TimePoint) {
    for (const standin::Violation& violation : model_->violations()) {
      violations.add(violation.what);
    }
    return true;
  });
  Poco::JSON::Object state(Poco::JSON_PRESERVE_KEY_ORDER);
  state.set("incarnation", std::to_string(incarnation_.value));
  state.set("violations", violations);
  exchange.sendJson(200, engine::stringifyJson(state));
}

void EngineServer::serveRuns(http::Exchange& exchange) {
  const auto prompt = exchange.query("prompt");
  if (!prompt) {
    sendRefusal(exchange, Error{ErrorCode::missingField, "prompt", "required in the query"});
    return;
  }
  const std::uint64_t count = thread_.run([&](base::TimePoint) {
    const auto runs = runsOfPrompt_.find(*prompt);
    return runs == runsOfPrompt_.end() ? 0 : runs->second;
  });
  Poco::JSON::Object answer;
  answer.set("count", count);
  exchange.sendJson(200, engine::stringifyJson(answer));
}

void EngineServer::serveLeaving(http::Exchange& exchange) {
  const auto leaving = queryBoolean(exchange, "value");
  if (!leaving) {
    sendRefusal(exchange, leaving.error());
    return;
  }
  thread_.run([&](base::TimePoint) {
    model_->setLeaving(leaving.value());
    return true;
  });
  exchange.sendEmpty(204);
}

std::string EngineServer::metricsText() {
  return thread_.run([this](base::TimePoint) {
    std::uint64_t heldBytes = 0;
    for (const engine::HeldServable& held : model_->held()) {
      heldBytes += held.bytes;
    }
    return kitMetricsText({
        {"standin_engine_runs_total", counters_.runs},
        {"standin_engine_tokens_total", counters_.tokens},
        {"standin_engine_answers_ended_total", counters_.ended},
        {"standin_engine_cancelled_total", counters_.cancelled},
        {"standin_engine_store_reads_total", counters_.storeReads},
        {"standin_engine_load_orders_total", counters_.loadOrders},
        {"standin_engine_unload_orders_total", counters_.unloadOrders},
        {"standin_engine_refused_orders_total", counters_.refusedOrders},
        {"standin_engine_stale_calls_total", counters_.staleCalls},
        {"standin_engine_violations_total", model_->violations().size()},
        {"standin_engine_open_streams", streams_.size()},
        {"standin_engine_held_bytes", heldBytes},
        {"standin_engine_held_states", model_->heldStates()},
    });
  });
}

}  // namespace walnut::rehearsal
