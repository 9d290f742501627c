#include "http/resource_api.h"

#include <Poco/NumberFormatter.h>

#include <algorithm>
#include <charconv>
#include <utility>
#include <vector>

#include "engine/json_fields.h"
#include "http/resource_codec.h"
#include "http/status_codec.h"
#include "http/watch_stream.h"
#include "resource/validation.h"
#include "walnut/runtime/clock.h"

namespace walnut::http {

using base::Error;
using base::ErrorCode;
using base::Result;
using protocol::ApiReply;
using resource::Key;
using resource::Version;

namespace {

constexpr const char* kRequestIdHeader = "Walnut-Request-Id";
constexpr const char* kExpectedVersion = "expected_version";
/// Longest request id, in bytes; each is kept by the cell with its answer.
constexpr std::size_t kMaxRequestIdBytes = 128;

std::string randomRequestId() {
  return Poco::NumberFormatter::formatHex(runtime::randomSeed(), 16) +
         Poco::NumberFormatter::formatHex(runtime::randomSeed(), 16);
}

/// Visible characters only: an id is shown in logs and given back in a header.
bool isRequestId(const std::string& text) {
  const auto isVisible = [](char character) { return character > ' ' && character <= '~'; };
  return !text.empty() && text.size() <= kMaxRequestIdBytes &&
         std::all_of(text.begin(), text.end(), isVisible);
}

/// Takes the request id of a write, or makes one, and tells it in the answer.
Result<std::string> takeRequestId(Exchange& exchange) {
  const std::string requestId = exchange.header(kRequestIdHeader).value_or(randomRequestId());
  if (!isRequestId(requestId)) {
    return Error{ErrorCode::outOfRange, kRequestIdHeader,
                 "accepted: 1 .. 128 visible ASCII characters"};
  }
  exchange.setHeader(kRequestIdHeader, requestId);
  return requestId;
}

Result<std::optional<Version>> versionParameter(const Exchange& exchange, const std::string& name) {
  const auto text = exchange.query(name);
  if (!text) {
    return std::optional<Version>();
  }
  Version version = 0;
  const char* const end = text->data() + text->size();
  const auto [rest, failure] = std::from_chars(text->data(), end, version);
  if (failure == std::errc::result_out_of_range) {
    return Error{ErrorCode::outOfRange, name, "accepted: 0 .. 18446744073709551615"};
  }
  if (failure != std::errc() || rest != end) {
    return Error{ErrorCode::wrongType, name, "expected a whole number"};
  }
  return std::optional<Version>(version);
}

/// The expected version may stand in the query or in the body; if in both, they must agree.
Result<std::optional<Version>> expectedVersionOf(const Exchange& exchange,
                                                 std::optional<Version> inBody) {
  BOOST_OUTCOME_TRY(inQuery, versionParameter(exchange, kExpectedVersion));
  if (inQuery && inBody && *inQuery != *inBody) {
    return Error{ErrorCode::outOfRange, kExpectedVersion, "query and body differ"};
  }
  return inQuery ? inQuery : inBody;
}

Result<std::optional<resource::Kind>> kindParameter(const Exchange& exchange) {
  const auto name = exchange.query("kind");
  if (!name) {
    return std::optional<resource::Kind>();
  }
  const Result<resource::Kind> kind = resource::kindFromName(*name);
  if (kind.has_error()) {
    return Error{ErrorCode::outOfRange, "kind", "no such kind of resource"};
  }
  return std::optional<resource::Kind>(kind.value());
}

/// @return the key that the path names; a kind that does not exist is a path that does not exist.
Result<Key> keyOfPath(const Exchange& exchange) {
  const std::string& name = exchange.segments()[3];
  const Result<resource::Kind> kind = resource::kindFromName(exchange.segments()[2]);
  if (kind.has_error()) {
    return Error{ErrorCode::notFound, "kind", "no such kind of resource"};
  }
  if (name.empty() || name.size() > resource::kMaxNameBytes) {
    return Error{ErrorCode::outOfRange, "name",
                 "accepted: 1 .. " + std::to_string(resource::kMaxNameBytes) + " bytes"};
  }
  return Key{kind.value(), name};
}

bool hasBody(const Exchange& exchange) {
  return exchange.header("Content-Length").value_or("0") != "0" ||
         exchange.header("Transfer-Encoding").has_value();
}

/// An empty body if the request has none.
Result<std::string> readOptionalBody(Exchange& exchange) {
  if (!hasBody(exchange)) {
    return std::string();
  }
  return exchange.readBody(kMaxResourceBodyBytes);
}

/// @param requestId of a write; empty for a read.
ErrorBody errorOf(const ApiReply& reply, const std::string& requestId) {
  ErrorBody body = resourceErrorBody(*reply.error);
  if (reply.error->code == ErrorCode::versionConflict) {
    body.currentVersion = reply.currentVersion;
  }
  if (reply.error->code == ErrorCode::outcomeUnknown && !requestId.empty()) {
    std::string& detail = body.error.detail;
    detail += detail.empty() ? "" : "; ";
    detail += std::string("resend with ") + kRequestIdHeader + ": " + requestId;
  }
  return body;
}

/// Serves one request; a failed step is answered by its typed error.
class ResourceRequest {
 public:
  ResourceRequest(Exchange& exchange, ResourceBackend& backend)
      : exchange_(exchange), backend_(backend) {}

  /// @return the error to answer with, if no answer was sent.
  Result<void> list() {
    BOOST_OUTCOME_TRY(kind, kindParameter(exchange_));
    const ApiReply reply = backend_.call(protocol::ListResources{kind});
    if (!refused(reply)) {
      answer(encodeResourceList(ResourceList{reply.version, reply.resources}));
    }
    return base::success();
  }

  Result<void> get() {
    BOOST_OUTCOME_TRY(key, keyOfPath(exchange_));
    const ApiReply reply = backend_.call(protocol::GetResource{key});
    if (refused(reply)) {
      return base::success();
    }
    if (reply.resources.empty()) {
      return Error{ErrorCode::notFound, key.name, "no such resource"};
    }
    answer(encodeResource(reply.resources.front()));
    return base::success();
  }

  Result<void> put() {
    BOOST_OUTCOME_TRY(requestId, takeRequestId(exchange_));
    BOOST_OUTCOME_TRY(body, exchange_.readBody(kMaxResourceBodyBytes));
    BOOST_OUTCOME_TRY(key, keyOfPath(exchange_));
    BOOST_OUTCOME_TRY(decoded, decodePutBody(key, body));
    BOOST_OUTCOME_TRY(expected, expectedVersionOf(exchange_, decoded.expectedVersion));
    const resource::Resource declared{key, 0, std::move(decoded.spec)};
    BOOST_OUTCOME_TRY(resource::validate(declared));
    const ApiReply reply = backend_.call(control::PutResource{requestId, expected, declared});
    if (!refused(reply, requestId)) {
      answer(encodeWriteAnswer(WriteAnswer{key, reply.version}));
    }
    return base::success();
  }

  Result<void> remove() {
    BOOST_OUTCOME_TRY(requestId, takeRequestId(exchange_));
    BOOST_OUTCOME_TRY(body, readOptionalBody(exchange_));
    BOOST_OUTCOME_TRY(key, keyOfPath(exchange_));
    BOOST_OUTCOME_TRY(inBody, decodeDeleteBody(body));
    BOOST_OUTCOME_TRY(expected, expectedVersionOf(exchange_, inBody));
    const ApiReply reply = backend_.call(control::DeleteResource{requestId, expected, key});
    if (!refused(reply, requestId)) {
      answer(encodeWriteAnswer(WriteAnswer{key, reply.version}));
    }
    return base::success();
  }

  Result<void> status() {
    const ApiReply reply = backend_.call(protocol::GetStatus{});
    if (refused(reply)) {
      return base::success();
    }
    if (!reply.status) {
      return Error{ErrorCode::internal, "status", "the answer carries no status"};
    }
    answer(encodeStatus(*reply.status));
    return base::success();
  }

  Result<void> addMember() {
    BOOST_OUTCOME_TRY(requestId, takeRequestId(exchange_));
    BOOST_OUTCOME_TRY(body, exchange_.readBody(kMaxResourceBodyBytes));
    BOOST_OUTCOME_TRY(member, decodeMemberBody(body));
    changeMember(protocol::ChangeMember{requestId, false, member});
    return base::success();
  }

  Result<void> removeMember() {
    BOOST_OUTCOME_TRY(requestId, takeRequestId(exchange_));
    BOOST_OUTCOME_TRY(id, parseServerId(exchange_.segments()[2]));
    consensus::Member member;
    member.id = id;
    changeMember(protocol::ChangeMember{requestId, true, member});
    return base::success();
  }

  Result<void> watch() {
    BOOST_OUTCOME_TRY(kind, kindParameter(exchange_));
    BOOST_OUTCOME_TRY(from, versionParameter(exchange_, "from"));
    if (!from) {
      return Error{ErrorCode::missingField, "from", "the version to watch from, as listed"};
    }
    streamWatch(exchange_, backend_, WatchScope{kind, *from});
    return base::success();
  }

 private:
  void changeMember(const protocol::ChangeMember& change) {
    const ApiReply reply = backend_.call(change);
    if (!refused(reply, change.requestId)) {
      Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
      object.set("id", formatServerId(change.member.id));
      object.set("version", reply.version);
      answer(object);
    }
  }

  /// Answers for a refused call. @return true if it was refused.
  bool refused(const ApiReply& reply, const std::string& requestId = "") {
    if (reply.error) {
      exchange_.sendError(errorOf(reply, requestId));
    }
    return reply.error.has_value();
  }

  void answer(const Poco::JSON::Object& object) {
    exchange_.sendJson(200, engine::stringifyJson(object));
  }

  Exchange& exchange_;
  ResourceBackend& backend_;
};

/// A route: method, path without its parameters, and the number of parameters after it.
struct Route {
  const char* method;
  std::vector<std::string> prefix;
  std::size_t parameters;
  Result<void> (ResourceRequest::*serve)();
};

const std::vector<Route>& routes() {
  static const std::vector<Route> table = {
      {"GET", {"v1", "resources"}, 0, &ResourceRequest::list},
      {"GET", {"v1", "resources"}, 2, &ResourceRequest::get},
      {"PUT", {"v1", "resources"}, 2, &ResourceRequest::put},
      {"DELETE", {"v1", "resources"}, 2, &ResourceRequest::remove},
      {"GET", {"v1", "watch"}, 0, &ResourceRequest::watch},
      {"GET", {"v1", "status"}, 0, &ResourceRequest::status},
      {"POST", {"v1", "members"}, 0, &ResourceRequest::addMember},
      {"DELETE", {"v1", "members"}, 1, &ResourceRequest::removeMember},
  };
  return table;
}

bool matches(const Route& route, const std::vector<std::string>& segments) {
  return segments.size() == route.prefix.size() + route.parameters &&
         std::equal(route.prefix.begin(), route.prefix.end(), segments.begin());
}

}  // namespace

void ResourceApi::handle(Exchange& exchange) {
  if (handleProbe(exchange, probe_)) {
    return;
  }
  std::string allowed;
  for (const Route& route : routes()) {
    if (!matches(route, exchange.segments())) {
      continue;
    }
    if (exchange.method() == route.method) {
      ResourceRequest request(exchange, backend_);
      const Result<void> served = (request.*route.serve)();
      if (served.has_error()) {
        exchange.sendError(resourceErrorBody(served.error()));
      }
      return;
    }
    allowed += allowed.empty() ? route.method : std::string(", ") + route.method;
  }
  if (!allowed.empty()) {
    exchange.sendMethodNotAllowed(allowed);
    return;
  }
  exchange.sendError(resourceErrorBody(Error{ErrorCode::notFound, "path", "no such route"}));
}

}  // namespace walnut::http
