#include "daemon/generate_stream.h"

#include <utility>

#include "http/http_client_events.h"
#include "walnut/engine/json_codec.h"

namespace walnut::daemon {

using base::Error;
using base::ErrorCode;
using base::Result;

namespace {

/// Largest event of a generation: a token's text and its ids, many times over.
constexpr std::size_t kMaxEventBytes = 64U << 10U;
/// Largest body of a refusal.
constexpr std::size_t kMaxRefusalBytes = 64U << 10U;
constexpr int kStatusOk = 200;
constexpr std::string_view kEventStreamType = "text/event-stream";

/// An answer that is not as the protocol says. It is a fault of the engine, whatever the codec
/// calls it.
Error unsound(const Error& cause) {
  return {ErrorCode::engineFailed, cause.field,
          std::string(base::errorCodeName(cause.code)) + ": " + cause.detail};
}

bool isTerminal(const engine::GenerateEvent& event) {
  return std::holds_alternative<engine::GenerateEnded>(event) ||
         std::holds_alternative<engine::GenerateFailed>(event);
}

}  // namespace

GenerateStream::GenerateStream(base::Endpoint endpoint, engine::GenerateRequest request,
                               const GenerateStreamOptions& options)
    : endpoint_(std::move(endpoint)), request_(std::move(request)), options_(options) {}

void GenerateStream::run(const GenerateSink& sink) {
  Result<void> outcome = sendRequest();
  if (outcome) {
    outcome = readEvents(sink);
  }
  if (!outcome) {
    fail(sink, outcome.error());
  }
}

void GenerateStream::cancel() {
  cancelled_ = true;
  connection_.abort();
}

Result<void> GenerateStream::sendRequest() {
  BOOST_OUTCOME_TRYV(connection_.connect(endpoint_, options_.connectTimeout));
  BOOST_OUTCOME_TRYV(connection_.setTimeout(options_.silenceTimeout));
  if (cancelled_) {
    return Error{ErrorCode::connectFailed, "attempt", "cancelled before it was sent"};
  }
  const http::ClientRequest request{"POST", "/v1/generate",
                                    engine::encodeGenerateRequest(request_)};
  started_ = Started::unknown;
  return connection_.send(request, false);
}

Result<void> GenerateStream::readEvents(const GenerateSink& sink) {
  const auto head = connection_.receiveHead();
  if (!head) {
    const Error& error = head.error();
    return error.code == ErrorCode::malformedInput ? unsound(error) : error;
  }
  const bool isStream = head.value().contentType.starts_with(kEventStreamType);
  if (head.value().status != kStatusOk || !isStream) {
    return refusal(head.value());
  }
  http::EventStreamParser parser(kMaxEventBytes);
  while (!ended_) {
    const auto bytes = connection_.readSome();
    if (bytes.has_error() && bytes.error().code != ErrorCode::malformedInput) {
      return bytes.error();
    }
    if (bytes.has_error() || bytes.value().empty()) {
      return Error{ErrorCode::connectionLost, "connection", "the stream broke off"};
    }
    parser.feed(bytes.value());
    while (!ended_) {
      const auto event = parser.next();
      if (!event) {
        return unsound(event.error());
      }
      if (!event.value()) {
        break;
      }
      auto decoded = engine::decodeGenerateEvent(event.value()->name, event.value()->data);
      if (!decoded) {
        return unsound(decoded.error());
      }
      BOOST_OUTCOME_TRYV(handOver(sink, std::move(decoded.value())));
    }
  }
  return base::success();
}

Result<void> GenerateStream::handOver(const GenerateSink& sink, engine::GenerateEvent event) {
  const bool own = std::visit(
      [this](const auto& body) {
        return body.request == request_.request && body.attempt == request_.attempt;
      },
      event);
  if (!own) {
    return Error{ErrorCode::engineFailed, "event", "it belongs to another attempt"};
  }
  if (auto* failed = std::get_if<engine::GenerateFailed>(&event)) {
    if (started_ == Started::yes) {
      failed->started = Started::yes;  // Whatever it says now: it had begun.
    }
  } else {
    started_ = Started::yes;
  }
  ended_ = isTerminal(event);
  deliver(sink, std::move(event));
  return base::success();
}

Error GenerateStream::refusal(const http::ReplyHead& head) {
  const auto body = connection_.readBody(kMaxRefusalBytes);
  if (!body) {
    return body.error();
  }
  const auto refusal = engine::decodeRefusal(body.value());
  if (!refusal || head.status == kStatusOk) {
    return Error{ErrorCode::engineFailed, "response",
                 "neither a stream nor a refusal, status " + std::to_string(head.status)};
  }
  started_ = refusal.value().started;
  return refusal.value().error;
}

void GenerateStream::fail(const GenerateSink& sink, const Error& error) {
  ended_ = true;
  deliver(sink, engine::GenerateFailed{request_.request, request_.attempt, error, started_});
}

void GenerateStream::deliver(const GenerateSink& sink, engine::GenerateEvent event) {
  if (!cancelled_) {
    sink(std::move(event));
  }
}

}  // namespace walnut::daemon
