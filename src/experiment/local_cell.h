#pragma once
/// @file
/// A cell in virtual time without faults: the product's controller as the only voter, with stand-in
/// engines and a stand-in weight store.

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "experiment/scenario.h"
#include "standin/weight_store.h"
#include "walnut/control/controller.h"
#include "walnut/protocol/messages.h"

namespace walnut::experiment {

/// A load from the weight store that was begun for this servable.
struct StoreReadBegun {
  resource::Servable servable;
  std::uint64_t bytes = 0;
};

/// What happened since the last call of take().
struct CellEvents {
  std::vector<protocol::Change> changes;  ///< As a router hears of them.
  std::vector<engine::GenerateEvent> generated;
  std::vector<StoreReadBegun> storeReads;
  std::uint64_t loads = 0;  ///< Ordered ones.
};

class LocalCell {
 public:
  LocalCell(const Scenario& scenario, base::TimePoint now, std::uint64_t seed);

  /// Becomes leader and declares all resources. @return when that was done.
  base::TimePoint start(base::TimePoint now);
  /// Does what is due.
  void advance(base::TimePoint now);
  base::TimePoint nextWakeup() const;
  CellEvents take() { return std::exchange(events_, {}); }

  void report(base::TimePoint now, std::size_t router, protocol::DemandReport report);
  void generate(base::TimePoint now, const base::EngineId& engine,
                const engine::GenerateRequest& request);
  void setSlowdown(base::TimePoint now, double factor);
  /// @return memory of the accelerator, in bytes.
  std::uint64_t acceleratorBytes(const base::EngineId& engine,
                                 base::AcceleratorIndex accelerator) const;
  std::uint64_t violations() const;

 private:
  struct EngineSlot {
    const ScenarioEngine* scenario = nullptr;
    std::unique_ptr<standin::EngineModel> model;
    std::map<std::string, resource::Servable> loading;  ///< By checkpoint, of the last order.
  };

  void step(base::TimePoint now, const std::vector<control::ControllerInput>& inputs);
  void carryOut(base::TimePoint now, const control::EngineCall& action);
  void carryOut(base::TimePoint now, const control::ReadPlatformList& action);
  void carryOut(base::TimePoint now, const control::SendToConnection& action);
  template <class Other>
  void carryOut(base::TimePoint, const Other&) {}
  void collect(base::TimePoint now, const base::EngineId& id, EngineSlot& slot);

  const Scenario& scenario_;
  std::unique_ptr<control::Controller> controller_;
  std::map<base::EngineId, EngineSlot> engines_;
  standin::WeightStore store_;
  std::map<standin::ReadId, base::EngineId> reads_;
  standin::ReadId lastRead_ = 0;
  std::multimap<base::TimePoint, control::ControllerInput> due_;
  CellEvents events_;
};

}  // namespace walnut::experiment
