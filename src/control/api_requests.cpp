#include "control/api_requests.h"

#include "resource/validation.h"

namespace walnut::control {

namespace {

base::Error missing(const char* field) {
  return base::Error{base::ErrorCode::missingField, field, "must not be empty"};
}

base::Result<void> checkMember(const protocol::ChangeMember& change) {
  if (change.member.id == base::ServerId{}) {
    return missing("member.id");
  }
  if (change.remove) {
    return base::success();
  }
  if (change.member.peerEndpoint.address.empty() || change.member.peerEndpoint.port == 0) {
    return missing("member.peer_endpoint");
  }
  return base::success();
}

}  // namespace

bool isWrite(const protocol::ApiRequest& request) {
  return std::holds_alternative<PutResource>(request) ||
         std::holds_alternative<DeleteResource>(request) ||
         std::holds_alternative<protocol::ChangeMember>(request);
}

base::Result<void> checkRequest(const protocol::ApiRequest& request) {
  if (const auto* put = std::get_if<PutResource>(&request)) {
    if (put->requestId.empty()) {
      return missing("request_id");
    }
    return resource::validate(put->resource);
  }
  if (const auto* removal = std::get_if<DeleteResource>(&request)) {
    if (removal->requestId.empty()) {
      return missing("request_id");
    }
  }
  if (const auto* change = std::get_if<protocol::ChangeMember>(&request)) {
    return checkMember(*change);
  }
  return base::success();
}

}  // namespace walnut::control
