#include "daemon/engine_client.h"

#include <Poco/URI.h>

#include <utility>

#include "walnut/engine/json_codec.h"

namespace walnut::daemon {

using base::Error;
using base::ErrorCode;
using base::Result;

namespace {

constexpr int kFirstSuccessStatus = 200;
constexpr int kFirstStatusAfterSuccess = 300;

Error unsound(const Error& cause) {
  return {ErrorCode::engineFailed, cause.field,
          std::string(base::errorCodeName(cause.code)) + ": " + cause.detail};
}

/// @return the body of a success, or the typed error of a refusal or a failed call.
Result<std::string> bodyOf(const Result<http::Reply>& result) {
  if (!result) {
    const Error& error = result.error();
    const bool badAnswer =
        error.code == ErrorCode::malformedInput || error.code == ErrorCode::inputTooLarge;
    return badAnswer ? unsound(error) : error;
  }
  const http::Reply& reply = result.value();
  if (reply.status >= kFirstSuccessStatus && reply.status < kFirstStatusAfterSuccess) {
    return reply.body;
  }
  const auto refusal = engine::decodeRefusal(reply.body);
  return refusal ? refusal.value().error
                 : Error{ErrorCode::engineFailed, "response",
                         "no typed error, status " + std::to_string(reply.status)};
}

/// @param decode turns the body of a success into a `Result`.
template <class Decode>
auto decodeReply(const Result<http::Reply>& result, Decode decode) -> decltype(decode("")) {
  const auto body = bodyOf(result);
  if (!body) {
    return body.error();
  }
  auto decoded = decode(body.value());
  if (!decoded) {
    return unsound(decoded.error());
  }
  return decoded;
}

engine::HoldResult decodeHeld(const std::string& body) { return engine::decodeHoldReply(body); }

/// @return the text as one segment of a path.
std::string segmentOf(const std::string& text) {
  std::string encoded;
  Poco::URI::encode(text, "/?#&%", encoded);
  return encoded;
}

http::ClientRequest requestOf(const engine::Call& call) {
  if (const auto* order = std::get_if<engine::Order>(&call)) {
    return {"POST", "/v1/orders", engine::encodeOrder(*order)};
  }
  const auto& report = std::get<engine::ReportRequest>(call);
  return {"POST", "/v1/report", engine::encodeReportRequest(report)};
}

engine::CallResult decodeAccepted(const std::string& body) {
  BOOST_OUTCOME_TRY(accepted, engine::decodeOrderAccepted(body));
  return accepted;
}

engine::CallResult decodeReport(const std::string& body) {
  BOOST_OUTCOME_TRY(report, engine::decodeReport(body));
  return std::move(report);
}

}  // namespace

void EngineClient::call(const base::Endpoint& engine, const engine::Call& call,
                        std::function<void(engine::CallResult)> done) {
  const bool isOrder = std::holds_alternative<engine::Order>(call);
  executor_.submit(engine, requestOf(call), callTimeout_,
                   [isOrder, done = std::move(done)](const Result<http::Reply>& result) {
                     done(decodeReply(result, isOrder ? decodeAccepted : decodeReport));
                   });
}

void EngineClient::cancel(const base::Endpoint& engine, const engine::CancelRequest& request) {
  executor_.submit(engine, {"POST", "/v1/cancel", engine::encodeCancelRequest(request)},
                   callTimeout_, [](const Result<http::Reply>&) {});
}

void EngineClient::exportKv(const base::Endpoint& engine, const engine::ExportRequest& request,
                            std::function<void(engine::ExportResult)> done) {
  executor_.submit(engine, {"POST", "/v1/kv/export", engine::encodeExportRequest(request)},
                   callTimeout_, [done = std::move(done)](const Result<http::Reply>& result) {
                     done(decodeReply(result, [](const std::string& body) {
                       return engine::decodeExportReply(body);
                     }));
                   });
}

void EngineClient::holdKv(const base::Endpoint& engine, const engine::HoldRequest& request,
                          std::function<void(engine::HoldResult)> done) {
  executor_.submit(engine, {"POST", "/v1/kv/hold", engine::encodeHoldRequest(request)},
                   callTimeout_, [done = std::move(done)](const Result<http::Reply>& result) {
                     done(decodeReply(result, decodeHeld));
                   });
}

void EngineClient::fetchState(const engine::KvSource& source,
                              std::function<void(Result<std::string>)> done) {
  executor_.submit(
      source.endpoint, {"GET", "/v1/kv/" + segmentOf(source.handle), ""}, callTimeout_,
      [done = std::move(done)](const Result<http::Reply>& result) { done(bodyOf(result)); });
}

void EngineClient::putState(const base::Endpoint& engine, const engine::PutRequest& request,
                            std::string state, std::function<void(engine::HoldResult)> done) {
  const std::string path =
      "/v1/kv/" + segmentOf(request.request.value) + "/" + std::to_string(request.attempt.value);
  executor_.submit(engine, {"PUT", path, std::move(state), "application/octet-stream"},
                   callTimeout_, [done = std::move(done)](const Result<http::Reply>& result) {
                     done(decodeReply(result, decodeHeld));
                   });
}

void EngineClient::readCacheEvents(
    const base::Endpoint& engine, std::uint64_t after,
    std::function<void(Result<std::vector<engine::CacheEvent>>)> done) {
  executor_.submit(engine, {"GET", "/v1/cache-events?after=" + std::to_string(after), ""},
                   callTimeout_, [done = std::move(done)](const Result<http::Reply>& result) {
                     done(decodeReply(result, [](const std::string& body) {
                       return engine::decodeCacheEvents(body);
                     }));
                   });
}

void EngineClient::readPlatformList(const base::Endpoint& platform,
                                    std::function<void(Result<engine::PlatformList>)> done) {
  executor_.submit(platform, {"GET", "/v1/machines", ""}, callTimeout_,
                   [done = std::move(done)](const Result<http::Reply>& result) {
                     done(decodeReply(result, [](const std::string& body) {
                       return engine::decodePlatformList(body);
                     }));
                   });
}

}  // namespace walnut::daemon
