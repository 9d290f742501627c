#pragma once
/// @file
/// One run of a soak: its processes and stand-ins, its faults and its checks.

#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "rehearsal/link_proxy.h"
#include "rehearsal/soak.h"
#include "rehearsal/soak_cell.h"
#include "rehearsal/soak_clients.h"
#include "rehearsal/soak_stop.h"
#include "rehearsal/soak_worker.h"
#include "walnut/base/random.h"

namespace walnut::rehearsal {

/// Of the servers' control addresses.
inline constexpr std::uint16_t kControlPort = 20100;
/// A machine that is back, or new, counts as lost until it has caught up (bound `catchUpS`).
inline constexpr base::Duration kCatchUp = std::chrono::seconds(4);

/// One run. Everything happens on one event loop; child processes are polled.
class SoakRun {
 public:
  SoakRun(const SoakOptions& options, std::filesystem::path folder);

  base::Result<SoakResult> run();

 private:
  using Fault = void (SoakRun::*)();
  struct NamedFault {
    const char* name;
    Fault begin;
  };

  base::Endpoint nextEndpoint(std::uint16_t port);
  std::vector<std::string> targets() const;
  base::Result<void> startWorkers();
  void runFor(base::Duration duration);
  void after(base::Duration delay, std::function<void()> task);
  void start(SoakProcess& process);
  void note(const std::string& text) { account_.note(dispatcher_.now(), text); }
  base::Duration between(base::Duration low, base::Duration high) {
    return random_.between(low, high);
  }
  std::vector<SoakProcess*> draw(std::size_t most, const std::function<bool(SoakProcess&)>& of);
  void changeDocument();
  void sendDocument(std::uint64_t version);
  bool checkDocument();

  // Faults (soak_faults.cpp).
  void drawFault();
  void kill(const std::vector<SoakProcess*>& processes, base::Duration down);
  void killServers();
  void killGateways();
  void killSome();
  void killAll();
  void stopSome();
  void restartStopped(SoakProcess& process);
  void reloadGateways();
  void freezeSome();
  void loseDisk();
  void replaceServer();
  void replaceBeforeFinalFault();
  void replaceAfter(SoakProcess& server, base::Duration down);
  /// @return a server that may lose its disk, so that no more machines are lost than the cell
  /// tolerates; null if there is none.
  SoakProcess* drawServerToLose();
  std::size_t lostServers() const;
  void waitUntilNoServerIsLost();
  /// The machine counts as lost for so long, and until it has caught up.
  void disturb(SoakProcess& process, base::Duration duration);
  void silenceWhileDown(const SoakProcess& server, base::Duration down);
  void slowSyncs();
  void hangSyncs();
  void limitProcessors();
  void limitProcessor(SoakProcess& process, double share, base::TimePoint until);
  void setAllLinks(LinkFault fault);
  void cutWorkers();
  void cutServers();
  /// Forwards the server's internal protocol from its present address.
  void openLink(const SoakProcess& server);
  /// @return true if a try of a stream at this gateway counts for LOST.
  bool countsTry(std::size_t gateway, const std::string& version) const;
  void restartWorkers();
  /// Draws whether a worker that restarts has its former name.
  bool keepsName() { return options_.ordersOnly || random_.chance(0.6); }
  /// Draws the software version of a worker that restarts.
  std::string drawVersion();
  void finalFault();

  // Limits of machines (soak_limits.cpp).
  struct PlannedStop {
    SoakProcess* process = nullptr;
    std::unique_ptr<SoakStopCallers> callers;
    base::TimePoint signalledAt;  ///< When it is, or was.
    bool isOver = false;
  };
  void watchMemory();
  void floodAnswers();
  void flood(std::size_t count, base::Duration lasts);
  void runPlannedStops();
  void advanceStop(PlannedStop& stop);
  void losePower();

  // Overloaded hosts, spares and readiness (soak_hosts.cpp).
  void startSpares();
  void beginHostFaults();
  void holdUp(SoakProcess& process, base::Duration longest, base::TimePoint until);
  /// Starts to ask the gateways whether they are ready, until all have said so.
  void watchReadiness();
  void askReadiness(std::size_t gateway);
  void checkReadiness();

  // Series of faults (soak_series.cpp).
  void runSeries();
  void drawHostsOfSeries();
  void pauseAll(base::Duration longest);
  void signalAll(int signal);
  void checkReturn(const std::string& fault);
  void endAll();
  void endAllLosingDisks();
  void endServers();
  void endAllTwice();
  void endAndStart(bool gatewaysToo, std::size_t lostDisks);
  void freezeServers();
  void freezeAll();
  void freeze(const std::vector<SoakProcess*>& processes);

  const SoakOptions options_;
  const std::filesystem::path folder_;
  event::Dispatcher dispatcher_;
  base::Random random_;
  /// For the limits of machines, so that the other faults of a seed are the same without them.
  base::Random limitsRandom_;
  base::Random hostsRandom_;  ///< For the same reason.
  SoakAccount account_;
  std::size_t addresses_ = 0;
  std::unique_ptr<SoakCell> cell_;
  /// In front of the servers' internal protocol, by their control address.
  std::map<base::Endpoint, std::unique_ptr<LinkProxy>> serverLinks_;
  std::vector<std::unique_ptr<SoakWorker>> workers_;
  std::unique_ptr<SoakClients> clients_;
  net::HttpClient operator_;
  platform::StandinDocument document_;
  std::uint64_t acknowledgedVersion_ = 0;
  std::uint64_t readVersion_ = 0;
  std::size_t nextServer_ = 0;
  std::map<std::uint64_t, event::TimerPtr> timers_;
  std::uint64_t lastTimer_ = 0;
  bool drawsFaults_ = false;
  base::TimePoint memoryCheckedAt_;
  std::size_t peakServerMb_ = 0;
  std::size_t peakGatewayMb_ = 0;
  std::map<std::size_t, base::TimePoint> readyAt_;  ///< By gateway, since the return.
  std::size_t returns_ = 0;                         ///< After which readiness was watched.
  bool isSilentWhenDown_ = false;  ///< Machines that are down answer nobody, in a series.
  base::TimePoint faultAt_;
  base::TimePoint returnedAt_;
};

}  // namespace walnut::rehearsal
