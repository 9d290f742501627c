/// @file
/// A router's calls that move the exported state of a stream.

#include <utility>

#include "simulator/engine_node.h"
#include "simulator/router_node.h"

namespace walnut::simulator {

namespace {
constexpr base::Duration kExportTimeout = std::chrono::seconds(2);
constexpr base::Duration kHoldTimeout = std::chrono::seconds(2);
}  // namespace

std::shared_ptr<Exchange> RouterNode::openExchange(
    const EngineNode* engine, base::Duration timeout,
    const std::function<void(const base::Error&)>& failed) {
  const HostIndex peer = engine == nullptr ? host() : engine->host();
  auto exchange = std::make_shared<Exchange>(network(), *this, peer,
                                             [failed](const std::optional<base::Error>& error) {
                                               if (error) {
                                                 failed(*error);
                                               }
                                             });
  environment_.exchanges.add(exchange);
  exchange->setTimeout(timeout);
  return exchange;
}

void RouterNode::exportAttempt(const routing::ExportAttempt& request) {
  EngineNode* source = environment_.findEngine(request.endpoint);
  const engine::ExportRequest wanted = request.exportRequest;
  const auto answer = [this, wanted](const engine::ExportResult& result) {
    input(routing::EngineExported{wanted.request, wanted.attempt, result});
  };
  const auto exchange = openExchange(source, kExportTimeout, answer);
  exchange->begin(source, environment_.faults.engineCalls, [source, exchange, wanted, answer] {
    const engine::ExportResult result = source->serveExport(wanted);
    exchange->reply([answer, result] { answer(result); });
    exchange->finish();
  });
}

RouterNode::HoldAnswer RouterNode::holdAnswer(const base::EngineId& engine,
                                              const base::RequestId& request,
                                              base::AttemptId attempt) {
  return [this, engine, request, attempt](const engine::HoldResult& result) {
    input(routing::StateHoldAnswered{engine, request, attempt, result});
  };
}

void RouterNode::observeWorkSent(const EngineNode* engine, const base::RequestId& request) {
  if (engine != nullptr) {
    environment_.observe(WorkSent{engine->engineId().value, request});
  }
}

void RouterNode::holdState(const routing::HoldState& request) {
  EngineNode* target = environment_.findEngine(request.endpoint);
  const engine::HoldRequest wanted = request.hold;
  const HoldAnswer answer = holdAnswer(request.engine, wanted.request, wanted.attempt);
  const auto exchange = openExchange(target, kHoldTimeout, answer);
  observeWorkSent(target, wanted.request);
  exchange->begin(target, environment_.faults.engineCalls, [target, exchange, wanted, answer] {
    target->serveHold(wanted, [exchange, answer](const engine::HoldResult& result) {
      exchange->reply([answer, result] { answer(result); });
      exchange->finish();
    });
  });
}

void RouterNode::keepState(const routing::StoreState& request) {
  EngineNode* source = environment_.findEngine(request.source.endpoint);
  const auto answer = [this, request](const base::Result<void>& result) {
    if (result) {
      keptStates_.insert({request.request, request.attempt});
      ++environment_.counters.keptStates;
    }
    input(routing::StateStored{request.request, request.attempt, result});
  };
  const auto exchange = openExchange(source, kHoldTimeout, answer);
  exchange->begin(source, environment_.faults.engineCalls,
                  [source, exchange, answer, handle = request.source.handle] {
                    const bool found = source->serveImport(handle);
                    exchange->reply([answer, found] {
                      answer(found ? base::Result<void>(base::success())
                                   : base::Error{base::ErrorCode::unknownAttempt, "handle", ""});
                    });
                    exchange->finish();
                  });
}

void RouterNode::putState(const routing::UploadState& request) {
  EngineNode* target = environment_.findEngine(request.endpoint);
  const engine::PutRequest put = request.put;
  const HoldAnswer answer = holdAnswer(request.engine, put.request, put.attempt);
  const auto exchange = openExchange(target, kHoldTimeout, answer);
  observeWorkSent(target, put.request);
  exchange->begin(target, environment_.faults.engineCalls, [target, exchange, put, answer] {
    const engine::HoldResult result = target->servePut(put);
    exchange->reply([answer, result] { answer(result); });
    exchange->finish();
  });
}

}  // namespace walnut::simulator
