#pragma once
/// @file
/// The processes of a soak: registry servers and gateways with their settings, disks and logs.

#include <filesystem>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "rehearsal/child_process.h"
#include "rehearsal/power_loss.h"
#include "walnut/base/ids.h"
#include "walnut/base/time.h"

namespace walnut::rehearsal {

/// @name Ports of the servers' internal protocol
/// @{
inline constexpr std::uint16_t kPeerPort = 20103;      ///< That others are told; forwarded.
inline constexpr std::uint16_t kPeerBindPort = 20106;  ///< That the servers listen on.
/// @}

struct SoakCellOptions {
  std::string binFolder;                 ///< Folder of the programs.
  std::filesystem::path folder;          ///< For settings, disks and logs.
  std::vector<base::Endpoint> servers;   ///< Control addresses.
  std::vector<base::Endpoint> gateways;  ///< Addresses for clients.
  bool fenced = true;
};

/// From SIGTERM until a process is killed (bound `graceS`).
inline constexpr std::chrono::seconds kGrace{8};
/// Memory that a process may take, as the sheets of the deployments say.
inline constexpr std::size_t kProcessMemoryMb = 256;

/// Servers that may be added to those of the start.
inline constexpr std::size_t kMaxSpares = 2;

/// A registry server or a gateway.
struct SoakProcess {
  std::string name;
  base::Endpoint endpoint;
  bool isServer = false;
  std::optional<ChildProcess> child;
  bool hasStarted = false;
  bool isExpectedToEnd = false;  ///< It was killed, or told to stop.
  /// Until then the machine counts as lost: while it is down or disturbed, and while it catches up.
  base::TimePoint lostUntil;
};

/// Starts and ends the processes of one soak.
class SoakCell {
 public:
  explicit SoakCell(SoakCellOptions options);

  std::size_t serverCount() const { return options_.servers.size(); }
  std::vector<SoakProcess>& processes() { return processes_; }
  /// Servers come first.
  SoakProcess& server(std::size_t index) { return processes_.at(index); }
  SoakProcess& gateway(std::size_t index) { return processes_.at(serverCount() + index); }
  base::Result<void> start(SoakProcess& process);
  void kill(SoakProcess& process);
  /// The server must not be running: what was not synced is gone, or each piece of it by itself.
  /// @return what was lost; empty if nothing was.
  std::string losePower(SoakProcess& server, UnsyncedLoss loss, base::Random& random);
  /// @return the memory that the process takes; 0 if it is not running.
  std::size_t residentMb(SoakProcess& process) const;
  /// The server must not be running.
  void loseDisk(SoakProcess& server);
  /// Moves a server that is not running to a new address, where it begins with an empty disk.
  void replace(SoakProcess& server, const base::Endpoint& endpoint);
  /// @return the present control addresses of the servers.
  std::vector<base::Endpoint> serverEndpoints() const;
  /// Syncs of the server take from half of `mean` to one and a half longer.
  void setSyncDelay(const SoakProcess& server, base::Duration mean);
  /// Adds a server that is in no list of seeds; it is to be started.
  SoakProcess& addSpare(const base::Endpoint& endpoint);
  /// Writes to files of a running process fail from now on, or succeed again.
  static void setDiskFull(const SoakProcess& process, bool full);
  /// @return where a gateway is asked whether it is ready.
  static base::Endpoint readinessOf(const SoakProcess& gateway);
  /// @return the names of processes that have ended though nobody told them to.
  std::vector<std::string> takeUnexpectedEnds();

 private:
  std::filesystem::path fileOf(const SoakProcess& process, const std::string& suffix) const;
  void writeSettings(const SoakProcess& process) const;
  std::string settingsOfServer(const SoakProcess& process) const;
  std::string settingsOfGateway(const SoakProcess& process) const;
  std::string seeds() const;

  const SoakCellOptions options_;
  std::vector<SoakProcess> processes_;
};

}  // namespace walnut::rehearsal
