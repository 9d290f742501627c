#include "walnut/base/error.h"

#include <array>

namespace walnut::base {

namespace {

struct CodeName {
  ErrorCode code;
  const char* name;
};

constexpr std::array kCodeNames = {
    CodeName{ErrorCode::malformedInput, "malformed_input"},
    CodeName{ErrorCode::unknownField, "unknown_field"},
    CodeName{ErrorCode::missingField, "missing_field"},
    CodeName{ErrorCode::wrongType, "wrong_type"},
    CodeName{ErrorCode::outOfRange, "out_of_range"},
    CodeName{ErrorCode::inputTooLarge, "input_too_large"},
    CodeName{ErrorCode::unsupportedVersion, "unsupported_version"},
    CodeName{ErrorCode::notFound, "not_found"},
    CodeName{ErrorCode::alreadyExists, "already_exists"},
    CodeName{ErrorCode::versionConflict, "version_conflict"},
    CodeName{ErrorCode::watchTooOld, "watch_too_old"},
    CodeName{ErrorCode::referenceMissing, "reference_missing"},
    CodeName{ErrorCode::referenceInUse, "reference_in_use"},
    CodeName{ErrorCode::requestIdReused, "request_id_reused"},
    CodeName{ErrorCode::notLeader, "not_leader"},
    CodeName{ErrorCode::noQuorum, "no_quorum"},
    CodeName{ErrorCode::outcomeUnknown, "outcome_unknown"},
    CodeName{ErrorCode::membershipChangePending, "membership_change_pending"},
    CodeName{ErrorCode::unknownModel, "unknown_model"},
    CodeName{ErrorCode::deadlineUnreachable, "deadline_unreachable"},
    CodeName{ErrorCode::deadlineExceeded, "deadline_exceeded"},
    CodeName{ErrorCode::queueFull, "queue_full"},
    CodeName{ErrorCode::configurationUnconfirmed, "configuration_unconfirmed"},
    CodeName{ErrorCode::duplicateRequest, "duplicate_request"},
    CodeName{ErrorCode::claimExpired, "claim_expired"},
    CodeName{ErrorCode::claimUnavailable, "claim_unavailable"},
    CodeName{ErrorCode::engineFailed, "engine_failed"},
    CodeName{ErrorCode::streamBroken, "stream_broken"},
    CodeName{ErrorCode::noCapacity, "no_capacity"},
    CodeName{ErrorCode::stopping, "stopping"},
    CodeName{ErrorCode::staleOrder, "stale_order"},
    CodeName{ErrorCode::wrongIncarnation, "wrong_incarnation"},
    CodeName{ErrorCode::insufficientMemory, "insufficient_memory"},
    CodeName{ErrorCode::modelNotLoaded, "model_not_loaded"},
    CodeName{ErrorCode::engineLeaving, "engine_leaving"},
    CodeName{ErrorCode::engineOverloaded, "engine_overloaded"},
    CodeName{ErrorCode::unknownAttempt, "unknown_attempt"},
    CodeName{ErrorCode::loadFailed, "load_failed"},
    CodeName{ErrorCode::connectFailed, "connect_failed"},
    CodeName{ErrorCode::connectionLost, "connection_lost"},
    CodeName{ErrorCode::timedOut, "timed_out"},
    CodeName{ErrorCode::fileError, "file_error"},
    CodeName{ErrorCode::corruptFile, "corrupt_file"},
    CodeName{ErrorCode::identityLost, "identity_lost"},
    CodeName{ErrorCode::internal, "internal"},
};

}  // namespace

const char* errorCodeName(ErrorCode code) {
  for (const CodeName& entry : kCodeNames) {
    if (entry.code == code) {
      return entry.name;
    }
  }
  return "internal";
}

ErrorCode errorCodeFromName(const std::string& name) {
  for (const CodeName& entry : kCodeNames) {
    if (name == entry.name) {
      return entry.code;
    }
  }
  return ErrorCode::internal;
}

}  // namespace walnut::base
