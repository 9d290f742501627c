/// @file
/// An engine's calls that fetch and hold the exported state of a stream.

#include <utility>

#include "simulator/engine_node.h"

namespace walnut::simulator {

namespace {
/// An engine gives up fetching another engine's exported state.
constexpr base::Duration kImportTimeout = std::chrono::seconds(2);
}  // namespace

void EngineNode::importThenStart(Stream stream) {
  const auto shared = std::make_shared<Stream>(std::move(stream));
  fetchState(*shared->request.kvSource, [this, shared](bool imported) {
    if (imported) {
      shared->imported = true;
      startGenerate(std::move(*shared));
      return;
    }
    engine::GenerateFailed failed;
    failed.request = shared->request.request;
    failed.attempt = shared->request.attempt;
    failed.error = base::Error{base::ErrorCode::unknownAttempt, "kv_source", "can't be fetched"};
    failed.started = engine::GenerateFailed::Started::no;
    shared->exchange->reply([shared, failed] { shared->handler(failed); });
    shared->exchange->finish();
  });
}

void EngineNode::fetchState(const engine::KvSource& from, std::function<void(bool)> done) {
  EngineNode* source = environment_.findEngine(from.endpoint);
  const auto finish = [done = std::move(done), called = std::make_shared<bool>(false)](bool found) {
    if (!std::exchange(*called, true)) {
      done(found);
    }
  };
  if (source == nullptr) {
    finish(false);
    return;
  }
  const auto exchange = std::make_shared<Exchange>(
      network(), *this, source->host(), [finish](const std::optional<base::Error>& error) {
        if (error) {
          finish(false);
        }
      });
  environment_.exchanges.add(exchange);
  exchange->setTimeout(kImportTimeout);
  exchange->begin(source, ExchangeFaults{}, [exchange, source, finish, handle = from.handle] {
    const bool found = source->serveImport(handle);
    exchange->reply([finish, found] { finish(found); });
    exchange->finish();
  });
}

void EngineNode::serveHold(const engine::HoldRequest& request,
                           std::function<void(const engine::HoldResult&)> answer) {
  const base::Result<standin::HoldPlace> place = model_->beginHold(localNow(), request);
  settle();
  if (!place) {
    answer(place.error());
    return;
  }
  const engine::HoldReply reply{place.value().handle};
  if (place.value().fetched) {
    answer(reply);
    return;
  }
  fetchState(request.source, [this, request, reply, answer = std::move(answer)](bool fetched) {
    const bool held = model_->endHold(localNow(), reply.handle, fetched);
    settle();
    if (held) {
      environment_.observe(StateHeld{options_.id.value, request.request});
      answer(reply);
    } else {
      answer(base::Error{base::ErrorCode::unknownAttempt, "kv_source", "can't be fetched"});
    }
  });
}

engine::HoldResult EngineNode::servePut(const engine::PutRequest& request) {
  const base::Result<standin::HoldPlace> place =
      model_->beginHold(localNow(), {request.request, request.attempt, {}});
  if (place && !place.value().fetched) {
    model_->endHold(localNow(), place.value().handle, true);
    environment_.observe(StateHeld{options_.id.value, request.request});
  }
  settle();
  if (!place) {
    return place.error();
  }
  return engine::HoldReply{place.value().handle};
}

}  // namespace walnut::simulator
