#include "cli/console.h"

#include "resource/validation.h"

namespace walnut::cli {

using base::ErrorCode;
using runtime::ExitCode;

namespace {

ExitCode exitCodeOf(const http::ErrorBody& body) {
  switch (body.error.code) {
    case ErrorCode::versionConflict:
    case ErrorCode::alreadyExists:
      return ExitCode::conflict;
    case ErrorCode::notFound:
      return ExitCode::notFound;
    case ErrorCode::internal:
      return ExitCode::internal;
    default:
      return body.retryable ? ExitCode::unavailable : ExitCode::failed;
  }
}

}  // namespace

std::string subjectOf(const resource::Key& key) {
  return std::string(resource::kindName(key.kind)) + "/" + key.name;
}

ExitCode reportError(Console& console, const std::string& subject, const http::ErrorBody& body,
                     const std::string& requestId) {
  if (console.format == OutputFormat::json) {
    console.error << http::encodeErrorText(body) << "\n";
    return exitCodeOf(body);
  }
  console.error << "walnutctl: ";
  if (!subject.empty()) {
    console.error << subject << ": ";
  }
  console.error << base::errorCodeName(body.error.code);
  if (!body.error.field.empty()) {
    console.error << ": " << body.error.field;
  }
  if (!body.error.detail.empty()) {
    console.error << ": " << body.error.detail;
  }
  if (body.currentVersion) {
    console.error << "; current version " << *body.currentVersion;
  }
  if (body.executed == routing::Executed::unknown && !requestId.empty()) {
    console.error << "; it may have taken effect: repeat with --request-id " << requestId;
  }
  console.error << "\n";
  return exitCodeOf(body);
}

}  // namespace walnut::cli
