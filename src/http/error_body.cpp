#include "http/error_body.h"

#include <Poco/TextConverter.h>
#include <Poco/UTF8Encoding.h>

#include <algorithm>

#include "engine/json_fields.h"
#include "http/json_object.h"

namespace walnut::http {

using base::ErrorCode;

namespace {

/// A client may come back after about one election.
constexpr base::Duration kElectionRetry = std::chrono::seconds(1);

/// Class of an error, for clients that only know the widely used error types.
const char* errorType(int status) {
  switch (status) {
    case 404:
      return "not_found_error";
    case 409:
      return "conflict_error";
    case 429:
      return "rate_limit_error";
    case 502:
    case 503:
    case 504:
      return "unavailable_error";
    case 500:
      return "internal_error";
    default:
      return "invalid_request_error";
  }
}

/// @return the text with each byte that is not UTF-8 replaced by '?': an error may quote what the
/// client sent, and the body must still be JSON.
std::string validText(const std::string& text) {
  Poco::UTF8Encoding encoding;
  Poco::TextConverter converter(encoding, encoding);
  std::string valid;
  converter.convert(text, valid);
  return valid;
}

routing::Executed executedFromName(const std::string& name) {
  if (name == "no") {
    return routing::Executed::no;
  }
  return name == "yes" ? routing::Executed::yes : routing::Executed::unknown;
}

}  // namespace

int httpStatusOf(ErrorCode code) {
  switch (code) {
    case ErrorCode::malformedInput:
    case ErrorCode::unknownField:
    case ErrorCode::missingField:
    case ErrorCode::wrongType:
    case ErrorCode::outOfRange:
    case ErrorCode::unsupportedVersion:
    case ErrorCode::referenceMissing:
      return 400;
    case ErrorCode::notFound:
    case ErrorCode::unknownModel:
      return 404;
    case ErrorCode::alreadyExists:
    case ErrorCode::versionConflict:
    case ErrorCode::referenceInUse:
    case ErrorCode::requestIdReused:
    case ErrorCode::membershipChangePending:
    case ErrorCode::duplicateRequest:
    case ErrorCode::claimExpired:
      return 409;
    case ErrorCode::watchTooOld:
      return 410;
    case ErrorCode::inputTooLarge:
      return 413;
    case ErrorCode::queueFull:
      return 429;
    case ErrorCode::engineFailed:
    case ErrorCode::streamBroken:
      return 502;
    case ErrorCode::notLeader:
    case ErrorCode::noQuorum:
    case ErrorCode::deadlineUnreachable:
    case ErrorCode::configurationUnconfirmed:
    case ErrorCode::claimUnavailable:
    case ErrorCode::noCapacity:
    case ErrorCode::stopping:
    case ErrorCode::connectFailed:
    case ErrorCode::connectionLost:
    case ErrorCode::engineOverloaded:
    case ErrorCode::engineLeaving:
      return 503;
    case ErrorCode::outcomeUnknown:
    case ErrorCode::deadlineExceeded:
    case ErrorCode::timedOut:
      return 504;
    default:
      return 500;
  }
}

ErrorBody resourceErrorBody(const base::Error& error) {
  ErrorBody body;
  body.error = error;
  const int status = httpStatusOf(error.code);
  body.retryable =
      status == 503 || status == 504 || error.code == ErrorCode::membershipChangePending;
  if (body.retryable) {
    body.retryAfter = kElectionRetry;
  }
  const bool unknown = error.code == ErrorCode::outcomeUnknown || status == 500;
  body.executed = unknown ? routing::Executed::unknown : routing::Executed::no;
  return body;
}

const char* executedName(routing::Executed executed) {
  switch (executed) {
    case routing::Executed::no:
      return "no";
    case routing::Executed::yes:
      return "yes";
    case routing::Executed::unknown:
      break;
  }
  return "unknown";
}

Poco::JSON::Object encodeError(const ErrorBody& body) {
  Poco::JSON::Object inner(Poco::JSON_PRESERVE_KEY_ORDER);
  const std::string code = base::errorCodeName(body.error.code);
  inner.set("message", body.error.detail.empty() ? code : validText(body.error.detail));
  inner.set("type", errorType(httpStatusOf(body.error.code)));
  inner.set("code", code);
  const std::string field = validText(body.error.field);
  inner.set("field", field);
  // The same under the name that public clients show.
  inner.set("param", field.empty() ? Poco::Dynamic::Var() : Poco::Dynamic::Var(field));
  inner.set("retryable", body.retryable);
  inner.set("executed", executedName(body.executed));
  if (body.currentVersion) {
    inner.set("current_version", *body.currentVersion);
  }
  Poco::JSON::Object outer;
  outer.set("error", inner);
  return outer;
}

std::string encodeErrorText(const ErrorBody& body) {
  return engine::stringifyJson(encodeError(body));
}

base::Result<ErrorBody> decodeError(std::string_view text) {
  BOOST_OUTCOME_TRY(outer, JsonObject::parse(text));
  BOOST_OUTCOME_TRY(inner, outer.requiredObject("error"));
  ErrorBody body;
  BOOST_OUTCOME_TRY(code, inner.requiredString("code"));
  BOOST_OUTCOME_TRY(message, inner.optionalString("message"));
  BOOST_OUTCOME_TRY(field, inner.optionalString("field"));
  BOOST_OUTCOME_TRY(retryable, inner.optionalBoolean("retryable"));
  BOOST_OUTCOME_TRY(executed, inner.optionalString("executed"));
  BOOST_OUTCOME_TRY(currentVersion, inner.optionalInteger("current_version"));
  body.currentVersion = currentVersion;
  body.error = base::Error{base::errorCodeFromName(code), field.value_or(""), message.value_or("")};
  body.retryable = retryable.value_or(false);
  body.executed = executedFromName(executed.value_or("unknown"));
  return body;
}

std::string retryAfterSeconds(base::Duration duration) {
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(duration).count();
  return std::to_string(std::max<std::int64_t>(seconds, 1));
}

}  // namespace walnut::http
