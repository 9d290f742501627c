#pragma once
/// @file
/// JSON bodies of the resource API that tell of the cell: status, members, engines and replicas.
/// Identities of 64 bits are strings of decimal digits, because many JSON
/// readers keep only 53 bits of a number.

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <string>
#include <string_view>

#include "http/json_object.h"
#include "walnut/base/error.h"
#include "walnut/protocol/messages.h"

namespace walnut::http {

/// @return the id in decimal digits.
std::string formatServerId(base::ServerId id);
/// @return `wrongType` unless the text is a number from 1 to 2^64 - 1; the field is "id".
base::Result<base::ServerId> parseServerId(const std::string& text);

/// `{"id","role","peer_endpoint","resource_endpoint","zone"}`.
Poco::JSON::Object encodeMember(const consensus::Member& member);
/// `role` may be absent: a server is added as a learner.
base::Result<consensus::Member> decodeMember(const JsonObject& object);
/// Body of `POST /v1/members`.
base::Result<consensus::Member> decodeMemberBody(std::string_view body);

Poco::JSON::Array encodeMembership(const consensus::Membership& membership);
/// Reads the field `members`.
base::Result<consensus::Membership> decodeMembership(const JsonObject& object);

Poco::JSON::Object encodeEngine(const resource::Engine& engine);
base::Result<resource::Engine> decodeEngine(const JsonObject& object);

Poco::JSON::Object encodeReplica(const resource::Replica& replica);
base::Result<resource::Replica> decodeReplica(const JsonObject& object);

Poco::JSON::Object encodeStatus(const protocol::CellStatus& status);
base::Result<protocol::CellStatus> decodeStatus(std::string_view body);

}  // namespace walnut::http
