#include "daemon/controller_program.h"

#include <algorithm>
#include <iostream>
#include <memory>
#include <string>
#include <utility>

#include "daemon/controller_host.h"
#include "daemon/data_folder.h"
#include "daemon/planned_stop.h"
#include "daemon/process.h"
#include "http/http_server.h"
#include "http/resource_api.h"
#include "walnut/runtime/clock.h"
#include "walnut/runtime/log.h"

namespace walnut::daemon {

using base::Error;
using base::ErrorCode;
using runtime::ExitCode;

namespace {

/// A pristine server must be a voter of the new cell, or wait to be added to one.
base::Result<void> checkMembership(const ControllerSettings& settings,
                                   const consensus::RecoveredState& recovered) {
  if (!isPristine(recovered) || settings.join) {
    return base::success();
  }
  const auto& members = settings.initialMembers.members;
  if (members.empty()) {
    return Error{ErrorCode::missingField, "initial-members",
                 "the data folder holds no state: give initial-members or join"};
  }
  const bool listed = std::any_of(
      members.begin(), members.end(),
      [&recovered](const consensus::Member& member) { return member.id == recovered.self; });
  if (!listed) {
    return Error{ErrorCode::outOfRange, "initial-members",
                 "this server, " + std::to_string(recovered.self.value) + ", is not among them"};
  }
  return base::success();
}

ExitCode refuse(const char* event, const Error& error, ExitCode code) {
  runtime::logError(event, error);
  return code;
}

}  // namespace

ExitCode initController(const ControllerSettings& settings) {
  const auto identity = initDataFolder(settings.dataFolder);
  if (!identity) {
    const Error& error = identity.error();
    std::cerr << "walnut-controller: " << base::errorCodeName(error.code) << ": " << error.field
              << ": " << error.detail << "\n";
    return ExitCode::storageFailed;
  }
  std::cout << "server-id " << identity.value().value << std::endl;
  return ExitCode::ok;
}

ExitCode runController(const ControllerSettings& settings) {
  const auto stopRequested = std::make_shared<Latch>();
  handleStopSignals([stopRequested] { stopRequested->set(); });
  auto folder = openDataFolder(settings.dataFolder, settings.segmentBytes);
  if (!folder) {
    return refuse("data-folder-refused", folder.error(), ExitCode::storageFailed);
  }
  const auto membership = checkMembership(settings, folder.value().recovered);
  if (!membership) {
    return refuse("settings-refused", membership.error(), ExitCode::badSettings);
  }
  const std::uint64_t self = folder.value().recovered.self.value;
  ControllerHost host(settings, std::move(folder.value()), runtime::randomSeed());
  const auto started = host.start();
  if (!started) {
    return refuse("start-failed", started.error(), ExitCode::unavailable);
  }
  http::ResourceApi api(host, host);
  auto server = http::HttpServer::start(settings.api,
                                        [&api](http::Exchange& exchange) { api.handle(exchange); });
  if (!server) {
    return refuse("listen-failed", server.error(), ExitCode::unavailable);
  }
  const std::string apiAddress = runtime::formatEndpoint(server.value()->endpoint());
  const std::string peerAddress = runtime::formatEndpoint(host.peerEndpoint());
  const auto announced =
      announceReady("ready api=" + apiAddress + " peer=" + peerAddress, settings.readyFile);
  if (!announced) {
    return refuse("ready-file-failed", announced.error(), ExitCode::unavailable);
  }
  runtime::logNotice("ready", {{"server", self}, {"api", apiAddress}, {"peer", peerAddress}});
  stopRequested->wait();
  host.beginStop();
  finishWithin(settings.stopTimeout, host.stopped(), *server.value());
  runtime::logNotice("stopped");
  return ExitCode::ok;
}

}  // namespace walnut::daemon
