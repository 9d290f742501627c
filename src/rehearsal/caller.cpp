#include "rehearsal/caller.h"

#include <Poco/JSON/Object.h>

#include <utility>

#include "engine/json_fields.h"
#include "http/json_object.h"
#include "rehearsal/http_client.h"
#include "walnut/runtime/clock.h"

namespace walnut::rehearsal {

using base::Error;
using base::ErrorCode;

namespace {

/// What is waited beyond the deadline before a missing answer counts as cut.
constexpr base::Duration kAnswerGrace = std::chrono::seconds(10);
constexpr const char* kDataPrefix = "data: ";
constexpr const char* kEndOfStream = "[DONE]";

std::int64_t toMillis(base::Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

HttpCall httpCallOf(const base::Endpoint& router, const CallIntent& intent) {
  Poco::JSON::Object body(Poco::JSON_PRESERVE_KEY_ORDER);
  body.set("model", intent.target);
  body.set("prompt", intent.prompt);
  body.set("max_tokens", intent.maxTokens);
  body.set("stream", intent.stream);
  HttpCall call;
  call.server = router;
  call.method = "POST";
  call.path = "/v1/completions";
  call.body = engine::stringifyJson(body);
  call.timeout = intent.deadline + kAnswerGrace;
  call.headers.push_back({"Walnut-Deadline-Ms", std::to_string(toMillis(intent.deadline))});
  call.headers.push_back({"Walnut-Class", intent.batch ? "batch" : "interactive"});
  if (!intent.idempotencyKey.empty()) {
    const std::int64_t issuedMillis = toMillis(intent.issuedAt.time_since_epoch());
    call.headers.push_back({"Walnut-Repeatable", "false"});
    call.headers.push_back({"Idempotency-Key", intent.idempotencyKey});
    call.headers.push_back({"Walnut-Issued-At", std::to_string(issuedMillis)});
  }
  return call;
}

/// `text` and, at the end, `finish_reason` of the only choice.
struct Choice {
  std::string text;
  bool finished = false;
};

base::Result<Choice> decodeChoice(const http::JsonObject& body) {
  BOOST_OUTCOME_TRY(choices, body.requiredObjects("choices"));
  if (choices.size() != 1) {
    return Error{ErrorCode::outOfRange, "choices", "expected one"};
  }
  Choice choice;
  BOOST_OUTCOME_TRY(text, choices.front().requiredString("text"));
  BOOST_OUTCOME_TRY(finishReason, choices.front().optionalString("finish_reason"));
  choice.text = std::move(text);
  choice.finished = finishReason.has_value();
  return choice;
}

base::Result<void> readPlain(const std::string& body, Transcript& transcript) {
  BOOST_OUTCOME_TRY(object, http::JsonObject::parse(body));
  BOOST_OUTCOME_TRY(choice, decodeChoice(object));
  BOOST_OUTCOME_TRY(usage, object.requiredObject("usage"));
  BOOST_OUTCOME_TRY(tokenCount, usage.requiredInteger("completion_tokens", {0, UINT32_MAX}));
  transcript.pieces.push_back(std::move(choice.text));
  transcript.tokenCount = static_cast<std::uint32_t>(tokenCount);
  transcript.ended = choice.finished;
  return base::success();
}

/// One `data:` of a stream.
/// @param finished set once the chunk with the finish reason was read.
base::Result<void> readChunk(const std::string& data, Transcript& transcript, bool& finished) {
  if (data == kEndOfStream) {
    transcript.ended = finished;
    return base::success();
  }
  BOOST_OUTCOME_TRY(object, http::JsonObject::parse(data));
  if (object.has("error")) {
    BOOST_OUTCOME_TRY(refusal, http::decodeError(data));
    transcript.refusal = refusal;
    return base::success();
  }
  BOOST_OUTCOME_TRY(choice, decodeChoice(object));
  if (choice.finished) {
    finished = true;
  } else {
    transcript.pieces.push_back(std::move(choice.text));
  }
  return base::success();
}

class Call {
 public:
  explicit Call(const CallIntent& intent) : intent_(intent), begunAt_(runtime::now()) {
    result_.transcript.streamed = intent.stream;
  }

  CallResult run(const base::Endpoint& router) {
    const auto read = exchange(router);
    if (!read && !result_.transcript.ended && !result_.transcript.refusal) {
      result_.transcript.failure = read.error();
    }
    result_.total = runtime::now() - begunAt_;
    return std::move(result_);
  }

 private:
  base::Result<void> exchange(const base::Endpoint& router) {
    BOOST_OUTCOME_TRY(exchange, HttpExchange::open(httpCallOf(router, intent_)));
    result_.cold = exchange->header("Walnut-Cold").value_or("") == "true";
    if (exchange->status() != 200) {
      BOOST_OUTCOME_TRY(body, exchange->readRest());
      BOOST_OUTCOME_TRY(refusal, http::decodeError(body));
      result_.transcript.refusal = refusal;
      return base::success();
    }
    if (intent_.stream) {
      return readStream(*exchange);
    }
    BOOST_OUTCOME_TRY(body, exchange->readRest());
    result_.firstToken = runtime::now() - begunAt_;
    return readPlain(body, result_.transcript);
  }

  base::Result<void> readStream(HttpExchange& exchange) {
    bool finished = false;
    while (!result_.transcript.ended && !result_.transcript.refusal) {
      const auto line = exchange.readLine();
      if (!line) {
        return Error{ErrorCode::connectionLost, "stream", "ended without its end"};
      }
      if (line->starts_with(kDataPrefix)) {
        noteFirstToken();
        BOOST_OUTCOME_TRY(readChunk(line->substr(std::string_view(kDataPrefix).size()),
                                    result_.transcript, finished));
      }
    }
    return base::success();
  }

  void noteFirstToken() {
    if (result_.firstToken == base::Duration(0)) {
      result_.firstToken = runtime::now() - begunAt_;
    }
  }

  const CallIntent& intent_;
  base::TimePoint begunAt_;
  CallResult result_;
};

}  // namespace

CallResult makeCall(const base::Endpoint& router, const CallIntent& intent) {
  return Call(intent).run(router);
}

}  // namespace walnut::rehearsal
