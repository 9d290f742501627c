#pragma once
/// @file
/// The typed JSON error of all HTTP interfaces:
/// `{"error":{"message","type","code","field","param","retryable","executed"}}`.

#include <Poco/JSON/Object.h>

#include <optional>
#include <string>
#include <string_view>

#include "walnut/base/error.h"
#include "walnut/base/time.h"
#include "walnut/resource/types.h"
#include "walnut/routing/router.h"

namespace walnut::http {

/// A failure as it is told to a client.
struct ErrorBody {
  base::Error error;
  bool retryable = false;
  routing::Executed executed = routing::Executed::no;
  base::Duration retryAfter{0};  ///< 0: no `Retry-After` header.
  std::optional<resource::Version> currentVersion;
};

/// @return the HTTP status that carries the code.
int httpStatusOf(base::ErrorCode code);

/// @return an error of the resource API: whether it is worth repeating follows from the code.
ErrorBody resourceErrorBody(const base::Error& error);

/// @return "no", "yes" or "unknown".
const char* executedName(routing::Executed executed);

Poco::JSON::Object encodeError(const ErrorBody& body);
std::string encodeErrorText(const ErrorBody& body);

/// @return the decoded error, or `malformedInput` if the text is not such a body.
base::Result<ErrorBody> decodeError(std::string_view text);

/// @return whole seconds for `Retry-After`, rounded up, at least 1.
std::string retryAfterSeconds(base::Duration duration);

}  // namespace walnut::http
