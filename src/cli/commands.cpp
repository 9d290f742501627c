#include "cli/commands.h"

#include <sstream>

#include "cli/resource_table.h"
#include "engine/json_fields.h"
#include "http/resource_codec.h"
#include "http/status_codec.h"
#include "resource/validation.h"

namespace walnut::cli {

using base::Error;
using base::ErrorCode;
using base::Result;
using runtime::ExitCode;

namespace {

/// Tells an argument that can't be used.
ExitCode refuseArgument(Console& console, const Error& error) {
  http::ErrorBody body;
  body.error = error;
  reportError(console, "", body);
  return ExitCode::usage;
}

void writeJson(Console& console, const Poco::JSON::Object& object) {
  console.out << engine::stringifyJson(object) << "\n";
}

/// Tells the outcome of a write of one resource.
ExitCode tellWrite(Console& console, const resource::Key& key,
                   const CallResult<resource::Version>& written, const char* result,
                   const std::string& requestId) {
  const std::string subject = subjectOf(key);
  if (written.has_error()) {
    return reportError(console, subject, written.error(), requestId);
  }
  if (console.format == OutputFormat::json) {
    writeJson(console, http::encodeWriteAnswer(http::WriteAnswer{key, written.value()}));
  } else {
    console.out << subject << " " << result << ", version " << written.value() << "\n";
  }
  return ExitCode::ok;
}

/// Splits ID@PEER@API@ZONE.
Result<consensus::Member> parseMember(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  for (std::string part; std::getline(stream, part, '@');) {
    parts.push_back(part);
  }
  if (parts.size() != 4 || parts[3].empty()) {
    return Error{ErrorCode::malformedInput, "member", "expected ID@PEER@API@ZONE"};
  }
  consensus::Member member;
  BOOST_OUTCOME_TRY(id, http::parseServerId(parts[0]));
  BOOST_OUTCOME_TRY(peer, runtime::parseEndpoint(parts[1]));
  BOOST_OUTCOME_TRY(api, runtime::parseEndpoint(parts[2]));
  member.id = id;
  member.peerEndpoint = peer;
  member.resourceEndpoint = api;
  member.zone = base::ZoneId{parts[3]};
  return member;
}

ExitCode tellMember(Console& console, const CallResult<void>& changed, base::ServerId server,
                    const char* result, const std::string& requestId) {
  const std::string subject = "member " + http::formatServerId(server);
  if (changed.has_error()) {
    return reportError(console, subject, changed.error(), requestId);
  }
  if (console.format == OutputFormat::json) {
    Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
    object.set("id", http::formatServerId(server));
    object.set("result", result);
    writeJson(console, object);
  } else {
    console.out << subject << " " << result << "\n";
  }
  return ExitCode::ok;
}

}  // namespace

std::optional<resource::Kind> kindArgument(const std::string& name, Console& console) {
  const auto kind = resource::kindFromName(name);
  if (kind.has_error()) {
    refuseArgument(console, kind.error());
    return std::nullopt;
  }
  return kind.value();
}

namespace {

/// @param kind absent: all kinds, read at one version.
ExitCode listResources(std::optional<resource::Kind> kind, ControllerClient& client,
                       Console& console) {
  const auto list = client.list(kind);
  if (list.has_error()) {
    return reportError(console, "", list.error());
  }
  if (console.format == OutputFormat::json) {
    writeJson(console, http::encodeResourceList(list.value()));
  } else if (kind) {
    writeResources(console.out, *kind, list.value().resources);
  } else {
    writeAllResources(console.out, list.value().resources);
  }
  return ExitCode::ok;
}

}  // namespace

ExitCode runGet(const Invocation& invocation, ControllerClient& client, Console& console) {
  if (invocation.arguments.empty()) {
    return listResources(std::nullopt, client, console);
  }
  const auto kind = kindArgument(invocation.arguments[0], console);
  if (!kind) {
    return ExitCode::usage;
  }
  if (invocation.arguments.size() == 1) {
    return listResources(kind, client, console);
  }
  const auto found = client.get(resource::Key{*kind, invocation.arguments[1]});
  if (found.has_error()) {
    return reportError(console, invocation.arguments[0] + "/" + invocation.arguments[1],
                       found.error());
  }
  if (console.format == OutputFormat::json) {
    writeJson(console, http::encodeResource(found.value()));
  } else {
    writeResources(console.out, *kind, {found.value()});
  }
  return ExitCode::ok;
}

ExitCode runStatus(const Invocation&, ControllerClient& client, Console& console) {
  const auto status = client.status();
  if (status.has_error()) {
    return reportError(console, "", status.error());
  }
  if (console.format == OutputFormat::json) {
    writeJson(console, http::encodeStatus(status.value()));
    return ExitCode::ok;
  }
  // A cell without a leader tells its status at once, but would let a list wait.
  std::vector<resource::Resource> drains;
  const bool hasLeader = status.value().leader != base::ServerId{};
  const auto list = hasLeader ? client.list(resource::Kind::drain)
                              : CallResult<http::ResourceList>(http::ResourceList{});
  if (list.has_value()) {
    drains = list.value().resources;
  }
  writeStatus(console.out, status.value(), drains);
  if (!hasLeader || list.has_error()) {
    console.error << "walnutctl: drains are not known\n";
  }
  return ExitCode::ok;
}

ExitCode runDelete(const Invocation& invocation, ControllerClient& client, Console& console) {
  const auto kind = kindArgument(invocation.arguments[0], console);
  if (!kind) {
    return ExitCode::usage;
  }
  const resource::Key key{*kind, invocation.arguments[1]};
  const std::string requestId = invocation.requestId.value_or(makeRequestId());
  const auto removed = client.remove(key, WriteCondition{requestId, invocation.expectedVersion});
  return tellWrite(console, key, removed, "deleted", requestId);
}

ExitCode runDrain(const Invocation& invocation, ControllerClient& client, Console& console) {
  const resource::Key key{resource::Kind::drain, invocation.arguments[0]};
  const std::string requestId = invocation.requestId.value_or(makeRequestId());
  const WriteCondition condition{requestId, std::nullopt};
  if (invocation.undo) {
    return tellWrite(console, key, client.remove(key, condition), "lifted", requestId);
  }
  const resource::DrainSpec spec{invocation.reason};
  return tellWrite(console, key, client.put(key, spec, condition), "declared", requestId);
}

ExitCode runMember(const Invocation& invocation, ControllerClient& client, Console& console) {
  const std::string& verb = invocation.arguments[0];
  const std::string& subject = invocation.arguments[1];
  const std::string requestId = invocation.requestId.value_or(makeRequestId());
  if (verb == "add") {
    const auto member = parseMember(subject);
    if (member.has_error()) {
      return refuseArgument(console, member.error());
    }
    const auto added = client.addMember(member.value(), requestId);
    return tellMember(console, added, member.value().id, "added", requestId);
  }
  if (verb == "remove") {
    const auto id = http::parseServerId(subject);
    if (id.has_error()) {
      return refuseArgument(console, id.error());
    }
    const auto removed = client.removeMember(id.value(), requestId);
    return tellMember(console, removed, id.value(), "removed", requestId);
  }
  return refuseArgument(console, Error{ErrorCode::outOfRange, "member", "accepted: add, remove"});
}

}  // namespace walnut::cli
