#include "cli/controller_client.h"

#include <Poco/NumberFormatter.h>
#include <Poco/URI.h>

#include <thread>
#include <utility>

#include "engine/json_fields.h"
#include "http/status_codec.h"
#include "resource/validation.h"
#include "walnut/runtime/clock.h"

namespace walnut::cli {

using base::Error;
using base::ErrorCode;
using base::Result;
using http::ErrorBody;

namespace {

constexpr int kFirstErrorStatus = 300;
constexpr int kHexDigits = 16;

std::string encodePath(const std::string& text) {
  std::string encoded;
  Poco::URI::encode(text, "/?#[]@!$&'()*+,;=:%", encoded);
  return encoded;
}

std::string pathOf(const resource::Key& key) {
  return std::string("/v1/resources/") + resource::kindName(key.kind) + "/" + encodePath(key.name);
}

/// An answer that is not of the API, such as another server's on that port.
ErrorBody notOfTheApi(const Error& error, int status) {
  const std::string detail = "status " + std::to_string(status) + " with an unknown body: ";
  ErrorBody body;
  body.error = Error{ErrorCode::malformedInput, error.field, detail + error.detail};
  body.executed = routing::Executed::unknown;
  return body;
}

/// The failure of a try, as an error of the API. A write that may have been sent is unknown.
ErrorBody failureOf(const Error& error) {
  ErrorBody body = http::resourceErrorBody(error);
  const bool sent = error.code != ErrorCode::connectFailed;
  body.executed = sent ? routing::Executed::unknown : routing::Executed::no;
  return body;
}

template <class T>
CallResult<T> decoded(Result<T> result) {
  if (result.has_error()) {
    return notOfTheApi(result.error(), 200);
  }
  return std::move(result.value());
}

}  // namespace

void ControllerClient::moveOn() { current_ = (current_ + 1) % options_.controllers.size(); }

CallResult<ControllerClient::Response> ControllerClient::requestOnce(const HttpCall& call) {
  auto response = HttpResponse::request(options_.controllers[current_], call, options_.timeout);
  if (response.has_error()) {
    return failureOf(response.error());
  }
  const int status = response.value()->status();
  if (status < kFirstErrorStatus) {
    return std::move(response.value());
  }
  const auto body = response.value()->readBody();
  if (body.has_error()) {
    return failureOf(body.error());
  }
  const auto error = http::decodeError(body.value());
  if (error.has_error()) {
    return notOfTheApi(error.error(), status);
  }
  return error.value();
}

CallResult<std::string> ControllerClient::callOnce(const HttpCall& call) {
  BOOST_OUTCOME_TRY(response, requestOnce(call));
  auto body = response->readBody();
  if (body.has_error()) {
    return failureOf(body.error());
  }
  return std::move(body.value());
}

template <class Try>
auto ControllerClient::retry(Try tryOnce) -> decltype(tryOnce()) {
  bool maybeExecuted = false;
  for (std::uint64_t attempt = 1;; ++attempt) {
    auto result = tryOnce();
    if (result.has_value() || !result.error().retryable) {
      return result;
    }
    // A refusal of the last try does not undo what an earlier one may have done.
    maybeExecuted = maybeExecuted || result.error().executed == routing::Executed::unknown;
    moveOn();
    if (attempt >= options_.attempts) {
      result.error().executed = maybeExecuted ? routing::Executed::unknown : routing::Executed::no;
      return result;
    }
    if (attempt % options_.controllers.size() == 0) {
      std::this_thread::sleep_for(options_.retryPause);
    }
  }
}

CallResult<std::string> ControllerClient::call(const HttpCall& call) {
  return retry([&] { return callOnce(call); });
}

CallResult<http::ResourceList> ControllerClient::list(std::optional<resource::Kind> kind) {
  const std::string query = kind ? std::string("?kind=") + resource::kindName(*kind) : "";
  BOOST_OUTCOME_TRY(body, call(HttpCall{"GET", "/v1/resources" + query, "", ""}));
  return decoded(http::decodeResourceList(body));
}

CallResult<resource::Resource> ControllerClient::get(const resource::Key& key) {
  BOOST_OUTCOME_TRY(body, call(HttpCall{"GET", pathOf(key), "", ""}));
  const auto object = http::JsonObject::parse(body);
  if (object.has_error()) {
    return notOfTheApi(object.error(), 200);
  }
  return decoded(http::decodeResource(object.value()));
}

CallResult<protocol::CellStatus> ControllerClient::status() {
  BOOST_OUTCOME_TRY(body, call(HttpCall{"GET", "/v1/status", "", ""}));
  return decoded(http::decodeStatus(body));
}

CallResult<resource::Version> ControllerClient::put(const resource::Key& key,
                                                    const resource::Spec& spec,
                                                    const WriteCondition& condition) {
  const http::PutBody put{condition.expectedVersion, spec};
  const std::string text = engine::stringifyJson(http::encodePutBody(put));
  BOOST_OUTCOME_TRY(body, call(HttpCall{"PUT", pathOf(key), text, condition.requestId}));
  BOOST_OUTCOME_TRY(answer, decoded(http::decodeWriteAnswer(body)));
  return answer.version;
}

CallResult<resource::Version> ControllerClient::remove(const resource::Key& key,
                                                       const WriteCondition& condition) {
  std::string target = pathOf(key);
  if (condition.expectedVersion) {
    target += "?expected_version=" + std::to_string(*condition.expectedVersion);
  }
  BOOST_OUTCOME_TRY(body, call(HttpCall{"DELETE", target, "", condition.requestId}));
  BOOST_OUTCOME_TRY(answer, decoded(http::decodeWriteAnswer(body)));
  return answer.version;
}

CallResult<void> ControllerClient::addMember(const consensus::Member& member,
                                             const std::string& requestId) {
  const std::string text = engine::stringifyJson(http::encodeMember(member));
  BOOST_OUTCOME_TRY(call(HttpCall{"POST", "/v1/members", text, requestId}));
  return base::success();
}

CallResult<void> ControllerClient::removeMember(base::ServerId server,
                                                const std::string& requestId) {
  const std::string target = "/v1/members/" + http::formatServerId(server);
  BOOST_OUTCOME_TRY(call(HttpCall{"DELETE", target, "", requestId}));
  return base::success();
}

CallResult<ControllerClient::Response> ControllerClient::openWatch(
    std::optional<resource::Kind> kind, resource::Version from) {
  std::string target = "/v1/watch?from=" + std::to_string(from);
  if (kind) {
    target += std::string("&kind=") + resource::kindName(*kind);
  }
  return retry([&] { return requestOnce(HttpCall{"GET", target, "", ""}); });
}

std::string makeRequestId() {
  return "walnutctl-" + Poco::NumberFormatter::formatHex(runtime::randomSeed(), kHexDigits);
}

}  // namespace walnut::cli
