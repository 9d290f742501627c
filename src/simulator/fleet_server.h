#pragma once
/// @file
/// A server of the registry in a simulated fleet: the same logic as in walnut-controller, on a
/// share of a core.

#include <deque>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "simulator/fleet_document.h"
#include "simulator/loaded_network.h"
#include "simulator/processor.h"
#include "simulator/stored_log.h"
#include "walnut/registry/registry.h"

namespace walnut::simulator {

/// What a fleet does for its servers.
class FleetServerLinks {
 public:
  virtual ~FleetServerLinks() = default;
  /// Lost if nobody has that identity.
  virtual void sendToMember(std::size_t from, base::ServerId member,
                            std::shared_ptr<const protocol::Message> message,
                            std::size_t bytes) = 0;
  virtual void sendToEndpoint(std::size_t from, const base::Endpoint& endpoint,
                              std::shared_ptr<const protocol::Message> message,
                              std::size_t bytes) = 0;
  virtual void sendToConnection(std::size_t from, protocol::ConnectionId connection,
                                std::shared_ptr<const protocol::Message> message,
                                std::size_t bytes) = 0;
  virtual void callAnswered(std::uint64_t call, const registry::ControlAnswer& answer) = 0;
};

class FleetServer {
 public:
  FleetServer(std::size_t index, registry::RegistryOptions options, Scheduler& scheduler,
              FleetServerLinks& links, double share);

  /// @param founders of a new cell; empty: asks to be admitted.
  void start(const consensus::Membership& founders);
  void kill();
  void loseDisk() { log_ = {}; }
  /// Internal endpoints to ask for admission, from the next start on.
  void setSeeds(std::vector<base::Endpoint> seeds) { options_.joinEndpoints = std::move(seeds); }
  /// Syncs take from half of `mean` to one and a half from now on; zero: no time.
  void setSyncTime(base::Duration mean) { meanSyncTime_ = mean; }
  /// Hands in an input that came as a message of so many bytes, some of them text to be read.
  void post(registry::RegistryInput input, std::size_t bytes, std::size_t textBytes = 0);

  bool running() const { return registry_ != nullptr; }
  std::uint64_t life() const { return life_; }
  const registry::RegistryOptions& options() const { return options_; }
  base::ServerId identity() const { return log_.state.self; }
  bool leading() const {
    return running() && registry_->raftStatus().role == consensus::Role::leader;
  }
  Processor& processor() { return processor_; }
  HostIndex host = 0;

 private:
  /// Sends a message that is ready, with its size in bytes.
  using Sender = std::function<void(std::shared_ptr<const protocol::Message>, std::size_t)>;

  void settle();
  base::Duration drawSyncTime(std::size_t syncs);
  bool persist(const consensus::PersistBatch& batch);
  void finishSync(std::uint64_t number);
  void perform(registry::RegistryAction& action);
  /// At the end of the turn.
  void send(protocol::Message message, const Sender& sender);
  void scheduleWakeup();

  const std::size_t index_;
  registry::RegistryOptions options_;
  Scheduler& scheduler_;
  FleetServerLinks& links_;
  Processor processor_;
  FleetDocumentReader reader_;
  runtime::NullEventLog events_;
  StoredLog log_;
  std::deque<consensus::PersistBatch> syncing_;  ///< Batches that are not durable yet.
  std::unique_ptr<registry::Registry> registry_;
  std::uint64_t life_ = 0;
  base::TimePoint wakeupAt_ = base::kNever;
  base::Duration meanSyncTime_{0};
  std::size_t unsettled_ = 0;  ///< Inputs since the logic's outputs were last taken.
};

/// @name Processor time of a whole core
/// @{
/// A document of 4,200 routes, 1.0 MB of text, takes 48 ms (docs/incidents, measured apart).
inline constexpr base::Duration kReadTimePerKilobyte = std::chrono::microseconds(48);
/// A leader that sent 40 MB in a second used 0.39 s (same incident, its figures).
inline constexpr base::Duration kMessageTimePerKilobyte = std::chrono::microseconds(10);
/// Assumed: a system call at either end and a turn of the loop.
inline constexpr base::Duration kTimePerMessage = std::chrono::microseconds(30);
/// @}

/// @return how many syncs storage makes for a batch, one after the other.
std::size_t syncCount(const consensus::PersistBatch& batch, bool isFirstOfFolder);

/// @return what a message of so many bytes costs its sender or its receiver.
base::Duration messageTime(std::size_t bytes);

}  // namespace walnut::simulator
