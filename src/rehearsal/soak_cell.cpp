#include "rehearsal/soak_cell.h"

#include <sys/resource.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <sstream>
#include <utility>

#include "walnut/base/time.h"
#include "walnut/runtime/settings.h"

namespace walnut::rehearsal {

namespace {

/// Servers that found the cell.
constexpr std::size_t kFounders = 3;
constexpr std::size_t kZones = 3;
constexpr std::uint16_t kReadinessPort = 20102;

std::string zoneOf(std::size_t index) { return "zone-" + std::to_string(index % kZones); }

std::string zoneList() {
  std::string list;
  for (std::size_t zone = 0; zone < kZones; ++zone) {
    list += (zone == 0 ? "\"" : ", \"") + zoneOf(zone) + "\"";
  }
  return list;
}

}  // namespace

SoakCell::SoakCell(SoakCellOptions options) : options_(std::move(options)) {
  // Processes are kept by their addresses.
  processes_.reserve(options_.servers.size() + options_.gateways.size() + kMaxSpares);
  for (std::size_t index = 0; index < options_.servers.size(); ++index) {
    processes_.push_back({"server-" + std::to_string(index), options_.servers[index], true, {}});
  }
  for (std::size_t index = 0; index < options_.gateways.size(); ++index) {
    processes_.push_back({"gateway-" + std::to_string(index), options_.gateways[index], false, {}});
  }
}

std::filesystem::path SoakCell::fileOf(const SoakProcess& process,
                                       const std::string& suffix) const {
  return options_.folder / (process.name + suffix);
}

std::string SoakCell::seeds() const {
  std::string list;
  for (std::size_t index = 0; index < std::min(kFounders, serverCount()); ++index) {
    list +=
        (index == 0 ? "\"" : ", \"") + runtime::formatEndpoint(processes_[index].endpoint) + "\"";
  }
  return list;
}

std::string SoakCell::settingsOfServer(const SoakProcess& process) const {
  std::ostringstream text;
  text << "zones: [" << zoneList() << "]\n"
       << "listen: \"" << runtime::formatEndpoint(process.endpoint) << "\"\n"
       << "peer-bind-port: " << kPeerBindPort << "\n"
       << "data-folder: " << fileOf(process, "-data") << "\n"
       << "sync-delay-file: " << fileOf(process, "-sync-delay") << "\n"
       << "durable-copy-folder: " << fileOf(process, "-durable") << "\n"
       << "bootstrap: " << (process.hasStarted ? "false" : "true") << "\n"
       << "tolerable-losses: 2\nheartbeat-ms: 1200\norder-lease-ms: 3000\n"
       << (options_.fenced ? "orders-fenced: true\n" : "")
       << "store-window-seconds: 5\nstore-overshoot: 1.1\n";
  return text.str();
}

std::string SoakCell::settingsOfGateway(const SoakProcess& process) const {
  std::ostringstream text;
  text << "listen: \"" << runtime::formatEndpoint(process.endpoint) << "\"\n"
       << "readiness: \"" << process.endpoint.address << ":" << kReadinessPort << "\"\n"
       << "retry-ratio: 0.2\nretry-slack: 52\ngrace-seconds: " << kGrace.count()
       << "\nmemory-mb: " << kProcessMemoryMb << "\n";
  return text.str();
}

void SoakCell::writeSettings(const SoakProcess& process) const {
  const auto index = static_cast<std::size_t>(&process - processes_.data());
  std::ofstream file(fileOf(process, ".yaml"));
  file << "name: \"" << process.name << "\"\nzone: \"" << zoneOf(index) << "\"\nseeds: [" << seeds()
       << "]\npeer-port: " << kPeerPort << "\n"
       << (process.isServer ? settingsOfServer(process) : settingsOfGateway(process));
}

base::Result<void> SoakCell::start(SoakProcess& process) {
  if (process.child && process.child->isRunning()) {
    return base::success();
  }
  writeSettings(process);
  const char* program = process.isServer ? "/walnut-controller" : "/walnut-router";
  BOOST_OUTCOME_TRY(child, ChildProcess::start({options_.binFolder + program,
                                                process.isServer ? "registry" : "gateway",
                                                "--settings", fileOf(process, ".yaml").string()},
                                               fileOf(process, ".log").string()));
  process.child = std::move(child);
  process.hasStarted = true;
  process.isExpectedToEnd = false;
  return base::success();
}

void SoakCell::kill(SoakProcess& process) {
  process.isExpectedToEnd = true;
  if (process.child) {
    process.child->signal(SIGKILL);
    process.child->wait();
  }
}

void SoakCell::loseDisk(SoakProcess& server) {
  std::error_code ignored;  // A disk that was never written to is as good as lost.
  std::filesystem::remove_all(fileOf(server, "-data"), ignored);
  std::filesystem::remove_all(fileOf(server, "-durable"), ignored);
}

std::string SoakCell::losePower(SoakProcess& server, UnsyncedLoss loss, base::Random& random) {
  return rehearsal::losePower(fileOf(server, "-data"), fileOf(server, "-durable"), loss, random);
}

std::size_t SoakCell::residentMb(SoakProcess& process) const {
  if (!process.child || !process.child->isRunning()) {
    return 0;
  }
  std::ifstream file("/proc/" + std::to_string(process.child->id()) + "/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE)) >> 20U;
}

void SoakCell::replace(SoakProcess& server, const base::Endpoint& endpoint) {
  loseDisk(server);
  server.endpoint = endpoint;
}

std::vector<base::Endpoint> SoakCell::serverEndpoints() const {
  std::vector<base::Endpoint> endpoints;
  for (std::size_t index = 0; index < serverCount(); ++index) {
    endpoints.push_back(processes_[index].endpoint);
  }
  return endpoints;
}

void SoakCell::setSyncDelay(const SoakProcess& server, base::Duration mean) {
  std::ofstream file(fileOf(server, "-sync-delay"));
  file << std::chrono::duration_cast<std::chrono::milliseconds>(mean).count();
}

SoakProcess& SoakCell::addSpare(const base::Endpoint& endpoint) {
  processes_.push_back({"spare-" + std::to_string(processes_.size()), endpoint, true, {}});
  processes_.back().hasStarted = true;  // It founds no cell.
  return processes_.back();
}

void SoakCell::setDiskFull(const SoakProcess& process, bool full) {
  rlimit limit{};
  if (::prlimit(process.child->id(), RLIMIT_FSIZE, nullptr, &limit) == 0) {
    limit.rlim_cur = full ? 0 : limit.rlim_max;
    (void)::prlimit(process.child->id(), RLIMIT_FSIZE, &limit, nullptr);
  }
}

base::Endpoint SoakCell::readinessOf(const SoakProcess& gateway) {
  return {gateway.endpoint.address, kReadinessPort};
}

std::vector<std::string> SoakCell::takeUnexpectedEnds() {
  std::vector<std::string> names;
  for (SoakProcess& process : processes_) {
    if (process.child && !process.isExpectedToEnd && !process.child->isRunning()) {
      process.isExpectedToEnd = true;
      names.push_back(process.name + " (status " + std::to_string(*process.child->status()) + ")");
    }
  }
  return names;
}

}  // namespace walnut::rehearsal
