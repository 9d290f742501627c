#pragma once
/// @file
/// Driver of a stand-in engine in the simulator, and the observer of what it holds and runs.

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "simulator/environment.h"
#include "simulator/process.h"
#include "simulator/weight_store_node.h"
#include "walnut/standin/engine.h"

namespace walnut::simulator {

class EngineNode : public Process {
 public:
  using EventHandler = std::function<void(const engine::GenerateEvent&)>;

  EngineNode(Environment& environment, const std::string& name, const std::string& zone,
             base::Endpoint endpoint, std::string machineClass, standin::EngineModelOptions options,
             WeightStoreNode& store);

  /// @name The engine's edge, called on the process's turn
  /// @{
  engine::CallResult serveCall(const engine::Call& call);
  /// Events of the attempt go to `handler` until its end or `cancel`.
  void serveGenerate(const engine::GenerateRequest& request, std::shared_ptr<Exchange> stream,
                     EventHandler handler);
  void serveCancel(const engine::CancelRequest& request);
  engine::ExportResult serveExport(const engine::ExportRequest& request);
  bool serveImport(const std::string& handle);
  /// `answer` is called once, unless the engine dies.
  void serveHold(const engine::HoldRequest& request,
                 std::function<void(const engine::HoldResult&)> answer);
  engine::HoldResult servePut(const engine::PutRequest& request);
  /// @}

  /// The engine itself says that it leaves.
  void setLeaving(bool leaving);
  /// The machine is taken away with its engine.
  void loseMachine();
  /// A new machine takes the place of the lost one, at the same address.
  void becomeNewMachine();

  const base::EngineId& engineId() const { return options_.id; }
  const base::Endpoint& endpoint() const { return endpoint_; }
  const std::string& machineClass() const { return machineClass_; }
  engine::PlatformMachine platformEntry() const;
  std::vector<engine::HeldServable> held() const;
  std::size_t runningStreams() const { return streams_.size(); }
  std::size_t heldStates() const { return model_ ? model_->heldStates() : 0; }
  std::vector<engine::CacheEvent> cacheEvents(std::uint64_t after) const;

 protected:
  bool mayStart() const override { return machinePresent_; }
  void onStart() override;
  void onKill() override;

 private:
  using AttemptKey = std::pair<base::RequestId, base::AttemptId>;
  struct Stream {
    engine::GenerateRequest request;
    std::shared_ptr<Exchange> exchange;
    EventHandler handler;
    bool imported = false;
  };

  /// Carries out what the engine wants, observes what changed, schedules its next wake-up.
  void settle();
  void perform(const engine::GenerateEvent& event);
  void readFromStore(const standin::ReadFromStore& read);
  void startGenerate(Stream stream);
  void importThenStart(Stream stream);
  /// Fetches an exported state from where it is. `done` is called once, unless the engine dies.
  void fetchState(const engine::KvSource& source, std::function<void(bool)> done);
  void observeHoldings();
  void replayOrderLater(const engine::Order& order);

  Environment& environment_;
  base::Endpoint endpoint_;
  std::string machineClass_;
  standin::EngineModelOptions options_;
  std::string baseName_;
  std::uint32_t machineGeneration_ = 0;
  bool machinePresent_ = true;
  WeightStoreNode& store_;
  std::unique_ptr<standin::EngineModel> model_;
  std::map<AttemptKey, Stream> streams_;
  std::vector<engine::HeldServable> observedHoldings_;
  std::size_t observedViolations_ = 0;
};

}  // namespace walnut::simulator
