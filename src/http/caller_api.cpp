#include "http/caller_api.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "http/token_chunks.h"
#include "walnut/runtime/clock.h"

namespace walnut::http {

using base::Error;
using base::ErrorCode;

namespace {

/// How often an open connection is checked for the caller's disconnect.
constexpr base::Duration kPeerCheckInterval = std::chrono::milliseconds(50);

ErrorBody refusalOf(const routing::CallerRefused& refused) {
  return ErrorBody{refused.error, refused.retryable, refused.executed, refused.retryAfter, {}};
}

/// Refusal by the edge itself: the request was not handed on.
ErrorBody edgeRefusal(const Error& error) {
  return ErrorBody{error, false, routing::Executed::no, base::Duration(0), {}};
}

std::string eventLine(const std::string& data) { return "data: " + data + "\n\n"; }

/// Takes the events of one request and writes its answer.
class AnswerWriter {
 public:
  AnswerWriter(Exchange& exchange, const CompletionRequest& request, AnswerIdentity identity)
      : exchange_(exchange),
        request_(request),
        identity_(std::move(identity)),
        chunks_(identity_) {}

  /// Passes events on until the terminal one.
  /// @return false if the answer was given up: the caller has gone, or its events are not sound.
  bool run(AnswerQueue& answer) {
    base::TimePoint checkedAt = runtime::now();
    while (!finished_) {
      if (const auto event = answer.popFor(kPeerCheckInterval)) {
        std::visit([this](const auto& alternative) { take(alternative); }, *event);
      }
      const base::TimePoint now = runtime::now();
      if (!finished_ && now - checkedAt >= kPeerCheckInterval) {
        checkedAt = now;
        if (exchange_.peerGone()) {
          return false;
        }
      }
    }
    return !unsound_;
  }

 private:
  void take(const routing::CallerToken& token) {
    if (token.offset != tokenCount_) {
      failUnsound("token offset is out of order");
      return;
    }
    ++tokenCount_;
    if (!request_.stream) {
      text_ += token.text;
      return;
    }
    if (tokenCount_ == 1) {
      exchange_.beginStream("text/event-stream");
    }
    exchange_.writeStream(chunks_.next(token.text));
  }

  void take(const routing::CallerEnded& ended) {
    if (ended.tokenCount != tokenCount_) {
      failUnsound("the answer is not whole");
      return;
    }
    finished_ = true;
    if (!exchange_.responseBegun()) {
      exchange_.setHeader("Walnut-Cold", ended.cold ? "true" : "false");
    }
    if (!request_.stream) {
      exchange_.sendJson(200, encodeCompletion(identity_, text_, tokenCount_, ended.reason));
      return;
    }
    if (!exchange_.responseBegun()) {
      exchange_.beginStream("text/event-stream");
    }
    std::string tail = eventLine(encodeFinishChunk(identity_, ended.reason));
    if (request_.includeUsage) {
      tail += eventLine(encodeUsageChunk(identity_, tokenCount_));
    }
    exchange_.writeStream(tail + eventLine("[DONE]"));
  }

  void take(const routing::CallerRefused& refused) { fail(refusalOf(refused)); }

  /// Before the first byte an error has a status of its own; in a stream it is an event, and the
  /// stream ends without `[DONE]`.
  void fail(const ErrorBody& body) {
    finished_ = true;
    if (exchange_.responseBegun()) {
      exchange_.writeStream(eventLine(encodeErrorText(body)));
    } else {
      exchange_.sendError(body);
    }
  }

  /// A broken invariant of the decision logic must not reach the caller as a whole answer.
  void failUnsound(const char* detail) {
    unsound_ = true;
    const Error error{ErrorCode::internal, "answer", detail};
    fail(ErrorBody{error, false, routing::Executed::unknown, base::Duration(0), {}});
  }

  Exchange& exchange_;
  const CompletionRequest& request_;
  const AnswerIdentity identity_;
  TokenChunks chunks_;
  std::string text_;
  std::uint32_t tokenCount_ = 0;
  bool finished_ = false;
  bool unsound_ = false;
};

routing::CallerRequest callerRequestOf(const CompletionRequest& completion,
                                       const base::RequestId& id) {
  routing::CallerRequest request;
  request.request = id;
  request.target = completion.model;
  request.prompt = completion.prompt;
  request.maxTokens = completion.maxTokens;
  return request;
}

std::optional<CompletionShape> completionShapeOf(const Exchange& exchange) {
  if (exchange.pathIs({"v1", "chat", "completions"})) {
    return CompletionShape::chat;
  }
  if (exchange.pathIs({"v1", "completions"})) {
    return CompletionShape::text;
  }
  return std::nullopt;
}

/// @return the name after /v1/models/. Public clients don't encode the slashes in it.
std::optional<std::string> modelNameOf(const Exchange& exchange) {
  const std::vector<std::string>& segments = exchange.segments();
  if (segments.size() < 3 || segments[0] != "v1" || segments[1] != "models") {
    return std::nullopt;
  }
  std::string name = segments[2];
  for (std::size_t index = 3; index < segments.size(); ++index) {
    name += "/" + segments[index];
  }
  return name;
}

void sendModel(Exchange& exchange, const std::string& name,
               const std::vector<routing::ServedName>& served) {
  const auto matches = [&name](const routing::ServedName& entry) { return entry.name == name; };
  if (std::none_of(served.begin(), served.end(), matches)) {
    exchange.sendError(edgeRefusal(Error{ErrorCode::unknownModel, "model", "not served"}));
    return;
  }
  exchange.sendJson(200, encodeModel(name));
}

}  // namespace

void CallerApi::handle(Exchange& exchange) {
  if (handleProbe(exchange, probe_)) {
    return;
  }
  const std::string& method = exchange.method();
  const auto shape = completionShapeOf(exchange);
  const bool isModels = exchange.pathIs({"v1", "models"});
  const auto modelName = modelNameOf(exchange);
  if (shape && method == "POST") {
    complete(exchange, *shape);
  } else if (isModels && method == "GET") {
    exchange.sendJson(200, encodeModelList(backend_.servedNames()));
  } else if (modelName && method == "GET") {
    sendModel(exchange, *modelName, backend_.servedNames());
  } else if (shape || isModels || modelName) {
    exchange.sendMethodNotAllowed(shape ? "POST" : "GET");
  } else {
    exchange.sendError(edgeRefusal(Error{ErrorCode::notFound, "path", "no such route"}));
  }
}

void CallerApi::complete(Exchange& exchange, CompletionShape shape) {
  const base::TimePoint now = runtime::now();
  const base::RequestId id = backend_.nextRequestId();
  exchange.setHeader("Walnut-Request-Id", id.value);

  const auto body = exchange.readBody(kMaxCallerBodyBytes);
  if (!body) {
    exchange.sendError(edgeRefusal(body.error()));
    return;
  }
  const auto completion = decodeCompletionRequest(shape, body.value());
  if (!completion) {
    exchange.sendError(edgeRefusal(completion.error()));
    return;
  }
  routing::CallerRequest request = callerRequestOf(completion.value(), id);
  const auto header = [&exchange](const std::string& name) { return exchange.header(name); };
  const auto headers = decodeCallerHeaders(header, now, request);
  if (!headers) {
    exchange.sendError(edgeRefusal(headers.error()));
    return;
  }

  const std::int64_t createdSeconds =
      std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
  AnswerWriter writer(exchange, completion.value(),
                      AnswerIdentity{shape, id, request.target, createdSeconds});
  const auto answer = std::make_shared<AnswerQueue>();
  backend_.submit(std::move(request), answer);
  if (!writer.run(*answer)) {
    backend_.callerGone(id);
  }
}

}  // namespace walnut::http
