#include "rehearsal/engine_call.h"

#include <optional>
#include <utility>

#include "rehearsal/http_client.h"
#include "walnut/engine/json_codec.h"
#include "walnut/runtime/clock.h"

namespace walnut::rehearsal {

using base::Error;
using base::ErrorCode;

namespace {

constexpr std::string_view kEventPrefix = "event: ";
constexpr std::string_view kDataPrefix = "data: ";

http::ErrorBody refusalOf(const base::Error& error) {
  http::ErrorBody body;
  body.error = error;
  return body;
}

/// Takes one event into the transcript.
void take(const engine::GenerateEvent& event, Transcript& transcript) {
  if (const auto* token = std::get_if<engine::GenerateToken>(&event)) {
    transcript.pieces.push_back(token->text);
  } else if (const auto* ended = std::get_if<engine::GenerateEnded>(&event)) {
    transcript.tokenCount = ended->tokenCount;
    transcript.ended = true;
  } else if (const auto* failed = std::get_if<engine::GenerateFailed>(&event)) {
    transcript.refusal = refusalOf(failed->error);
  }
}

base::Result<void> readEvents(HttpExchange& exchange, base::TimePoint begunAt, CallResult& result) {
  std::string name;
  while (!result.transcript.ended && !result.transcript.refusal) {
    const auto line = exchange.readLine();
    if (!line) {
      return Error{ErrorCode::connectionLost, "stream", "ended without its end"};
    }
    if (line->starts_with(kEventPrefix)) {
      name = line->substr(kEventPrefix.size());
    } else if (line->starts_with(kDataPrefix)) {
      BOOST_OUTCOME_TRY(event, engine::decodeGenerateEvent(name, line->substr(kDataPrefix.size())));
      take(event, result.transcript);
      if (result.firstToken == base::Duration(0) && !result.transcript.pieces.empty()) {
        result.firstToken = runtime::now() - begunAt;
      }
    }
  }
  return base::success();
}

base::Result<void> exchangeEvents(const HttpCall& call, base::TimePoint begunAt,
                                  CallResult& result) {
  BOOST_OUTCOME_TRY(exchange, HttpExchange::open(call));
  if (exchange->status() == 200) {
    return readEvents(*exchange, begunAt, result);
  }
  BOOST_OUTCOME_TRY(body, exchange->readRest());
  BOOST_OUTCOME_TRY(refusal, engine::decodeRefusal(body));
  result.transcript.refusal = refusalOf(refusal.error);
  return base::success();
}

}  // namespace

CallResult makeEngineCall(const base::Endpoint& engine, const resource::Servable& servable,
                          const CallIntent& intent, const std::string& requestId) {
  engine::GenerateRequest request;
  request.request = base::RequestId{requestId};
  request.attempt = base::AttemptId{1};
  request.servable = servable;
  request.prompt = intent.prompt;
  request.maxTokens = intent.maxTokens;
  HttpCall call;
  call.server = engine;
  call.method = "POST";
  call.path = "/v1/generate";
  call.body = engine::encodeGenerateRequest(request);
  CallResult result;
  result.transcript.streamed = true;
  const base::TimePoint begunAt = runtime::now();
  const auto done = exchangeEvents(call, begunAt, result);
  if (!done) {
    result.transcript.failure = done.error();
  }
  result.total = runtime::now() - begunAt;
  return result;
}

}  // namespace walnut::rehearsal
