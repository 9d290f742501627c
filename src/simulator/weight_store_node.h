#pragma once
/// @file
/// The stand-in weight store as a process of the simulation.

#include <functional>
#include <map>
#include <string>

#include "simulator/environment.h"
#include "simulator/process.h"
#include "standin/weight_store.h"

namespace walnut::simulator {

class WeightStoreNode : public Process {
 public:
  using Done = std::function<void(bool ok)>;

  WeightStoreNode(Environment& environment, const std::string& zone,
                  const standin::WeightStoreOptions& options);

  /// On the store's turn: begins a read; `done` is called when it ends.
  standin::ReadId read(const std::string& checkpoint, std::uint64_t bytes, Done done);
  void abandon(standin::ReadId id);

  /// Divides the speed; 1 is normal.
  void setSlowdown(double factor);
  void setFailing(bool failing) { store_.setFailing(failing); }

 protected:
  void onStart() override {}
  void onKill() override {}

 private:
  void settle();

  standin::WeightStore store_;
  standin::ReadId nextRead_ = 1;
  std::map<standin::ReadId, Done> reads_;
};

}  // namespace walnut::simulator
