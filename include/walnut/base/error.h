#pragma once
/// @file
/// Typed errors. Every failure has a code; its text is only an explanation for a person.

#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>
#include <cstdint>
#include <string>

namespace walnut::base {

/// Every kind of failure that the product reports. Values are part of the protocol: append only.
enum class ErrorCode : std::uint16_t {
  // Errors in input, which the sender must correct.
  malformedInput = 1,      ///< Not JSON, not a frame, not a settings file.
  unknownField = 2,        ///< A key that the format does not have.
  missingField = 3,        ///< A required key is absent.
  wrongType = 4,           ///< A key has a value of another type.
  outOfRange = 5,          ///< A value is outside its accepted range.
  inputTooLarge = 6,       ///< Input over its size limit; refused before allocation.
  unsupportedVersion = 7,  ///< The protocol or file format has an unsupported version.
  // Errors of the resource API.
  notFound = 20,          ///< No such resource or path.
  alreadyExists = 21,     ///< Create of a name that exists.
  versionConflict = 22,   ///< Expected version is not the current one.
  watchTooOld = 23,       ///< The watch starts before the oldest kept event: list again.
  referenceMissing = 24,  ///< The resource names another that does not exist.
  referenceInUse = 25,    ///< The resource is named by another one.
  requestIdReused = 26,   ///< Same request id, different request.
  // Errors of the controllers.
  notLeader = 40,       ///< This server is not the leader; the leader must be asked.
  noQuorum = 41,        ///< No leader is known at present.
  outcomeUnknown = 42,  ///< The change may or may not take effect; resend with the same id.
  membershipChangePending = 43,
  // Errors of routing.
  unknownModel = 60,              ///< The request names no known model or adapter.
  deadlineUnreachable = 61,       ///< Refused at admission: estimated to end after the deadline.
  deadlineExceeded = 62,          ///< The deadline passed.
  queueFull = 63,                 ///< The bounded queue is full.
  configurationUnconfirmed = 64,  ///< The router cannot confirm that its configuration is current.
  duplicateRequest = 65,          ///< The idempotency key is already claimed.
  claimExpired = 66,              ///< Request issued before the claim window: refused, not run.
  claimUnavailable = 67,          ///< The cell cannot be reached to claim the key.
  engineFailed = 68,              ///< The engine failed and the request can't be run again.
  streamBroken = 69,              ///< The stream broke and can't be resumed.
  noCapacity = 70,                ///< No replica, and no capacity for one before the deadline.
  stopping = 71,                  ///< The process is shutting down and takes no new work.
  // Errors of engines.
  staleOrder = 80,          ///< The fencing token is older than one already seen.
  wrongIncarnation = 81,    ///< The order was for another incarnation of the engine.
  insufficientMemory = 82,  ///< The engine asserts that the load would overcommit it.
  modelNotLoaded = 83,      ///< Generate for a model that is not ready there.
  engineLeaving = 84,       ///< The engine takes no new work.
  engineOverloaded = 85,    ///< The engine's queue is full.
  unknownAttempt = 86,      ///< Cancel or export of an attempt that the engine does not have.
  loadFailed = 87,          ///< The weights could not be loaded.
  // Errors of input and output.
  connectFailed = 100,   ///< No connection; nothing was sent.
  connectionLost = 101,  ///< The connection broke after something was sent.
  timedOut = 102,
  fileError = 103,     ///< A file operation failed; detail has the system's text.
  corruptFile = 104,   ///< A checksum or structure is wrong in the middle of a file.
  identityLost = 105,  ///< The data folder is empty but its identity was in use.
  internal = 120,      ///< An internal invariant was violated.
};

/// A failure: its code, the field or resource it is about, and an explanation for a person.
struct Error {
  ErrorCode code = ErrorCode::internal;
  std::string field;   ///< Field, key, path or resource name; empty if none applies.
  std::string detail;  ///< Explanation; never parsed.

  bool operator==(const Error&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(code, field, detail);
  }
};

/// Value or typed error. Reading the wrong side terminates the process.
template <class T>
using Result = boost::outcome_v2::result<T, Error, boost::outcome_v2::policy::terminate>;

/// Success without a value.
inline auto success() { return boost::outcome_v2::success(); }

/// @return the code's stable name in snake_case, as in JSON errors and logs.
const char* errorCodeName(ErrorCode code);

/// @return the code with that stable name, or `ErrorCode::internal` if there is none.
ErrorCode errorCodeFromName(const std::string& name);

}  // namespace walnut::base
