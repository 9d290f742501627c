#pragma once
/// @file
/// Driver of a controller in the simulator: the same logic and log storage as in walnut-controller,
/// over the simulated disk, transport and exchanges.

#include <deque>
#include <map>
#include <memory>
#include <optional>

#include "simulator/disk.h"
#include "simulator/environment.h"
#include "simulator/platform_node.h"
#include "simulator/process.h"
#include "walnut/control/controller.h"
#include "walnut/storage/log_storage.h"

namespace walnut::simulator {

/// Where in the handling of a batch a crash is to fall.
enum class CrashPoint : std::uint8_t {
  now,
  beforePersist,
  duringPersist,
  afterPersist,  ///< Durable, but no action was carried out.
  duringActions,
};

struct ControllerNodeOptions {
  std::string name;
  base::ZoneId zone;
  base::Endpoint peerEndpoint;
  base::Endpoint resourceEndpoint;
  base::CellId cell;
  control::ControllerOptions logic;
};

class ControllerNode : public Process {
 public:
  using ReplyHandler = std::function<void(protocol::ApiReply)>;
  using WatchHandler = std::function<void(control::ApiWatchEvents)>;

  ControllerNode(Environment& environment, ControllerNodeOptions options, PlatformNode& platform,
                 base::ServerId identity);

  /// Membership of a new cell; empty for a server that waits to be added.
  void setBootstrap(consensus::Membership membership) { bootstrap_ = std::move(membership); }

  /// The disk is replaced: the next start is a new server.
  void loseDisk(base::ServerId freshIdentity);
  Disk& disk() { return disk_; }

  /// Kills now, or at that point of the next non-empty batch.
  void crash(CrashPoint point);
  /// Takes back what `crash` armed.
  void disarmCrash() { armedCrash_.reset(); }
  void requestPlannedStop();

  /// @name The resource edge, called on the process's turn
  /// @{
  void serveCall(const protocol::ApiRequest& request, ReplyHandler reply);
  std::uint64_t openWatch(std::optional<resource::Kind> kind, resource::Version from,
                          WatchHandler handler);
  void closeWatch(std::uint64_t call);
  /// @}

  base::ServerId identity() const { return identity_; }
  const ControllerNodeOptions& options() const { return options_; }
  /// Only while alive.
  consensus::RaftStatus raftStatus() const { return controller_->raftStatus(); }
  bool hasLogic() const { return controller_ != nullptr; }
  std::shared_ptr<PeerTransport> transport() const { return transport_; }

 protected:
  void onStart() override;
  void onKill() override;

 private:
  /// Up to two connections to one address: the second one only reorders and duplicates.
  struct PeerLink {
    std::optional<protocol::ConnectionId> primary;
    std::optional<protocol::ConnectionId> secondary;
    bool opening = false;
  };

  void input(control::ControllerInput value);
  void pump();
  void beginPersist(control::ControllerOutputs outputs);
  void finishPersist(const control::ControllerOutputs& outputs);
  /// @return false if the process died on the way.
  bool perform(const std::vector<control::ControllerAction>& actions);
  void performOne(const control::ControllerAction& action);
  void sendToServer(const control::SendToServer& send);
  void callEngine(const control::EngineCall& call);
  void readPlatformList();
  void scheduleTick();
  void checkInvariants();
  PeerEvents peerEvents();
  base::Duration drawSyncTime();
  std::shared_ptr<Exchange> makeCall(HostIndex server, std::uint64_t call);

  Environment& environment_;
  ControllerNodeOptions options_;
  PlatformNode& platform_;
  Disk disk_;
  base::ServerId identity_;
  consensus::Membership bootstrap_;
  std::unique_ptr<storage::LogStorage> storage_;
  std::unique_ptr<control::Controller> controller_;
  std::shared_ptr<PeerTransport> transport_;
  std::map<base::Endpoint, PeerLink> links_;
  std::deque<control::ControllerInput> inputs_;
  bool syncing_ = false;
  bool pumping_ = false;
  std::optional<CrashPoint> armedCrash_;
  std::uint64_t nextCall_ = 1;
  std::map<std::uint64_t, ReplyHandler> replies_;
  std::map<std::uint64_t, WatchHandler> watches_;
  consensus::Role lastRole_ = consensus::Role::follower;
};

}  // namespace walnut::simulator
