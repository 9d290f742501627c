#pragma once
/// @file
/// One controller's logic, the only voter of its cell, with engines and routers of the same
/// process, without sockets and disk, in virtual time.

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "scale/cell_builder.h"
#include "scale/local_engines.h"
#include "scale/traffic.h"
#include "walnut/factories.h"

namespace walnut::scale {

struct LocalControllerOptions {
  CellSize size;
  control::ControllerOptions control;
  std::size_t routers = 0;  ///< Connected; they probe, watch and send what `step` is given.
  base::Duration engineAnswers = std::chrono::milliseconds(1);
  std::uint32_t activeRequests = 8;  ///< Of each held servable, in the reports.
  std::uint64_t seed = 1;
};

/// Counted since the start.
struct ControllerCounters {
  double processorSeconds = 0;  ///< Of the controller's own steps.
  double longestStep = 0;       ///< Processor time of one batch of inputs, in seconds.
  std::uint64_t reports = 0;
  std::uint64_t orders = 0;
  std::uint64_t persistBatches = 0;
  std::uint64_t entries = 0;
  std::uint64_t entryBytes = 0;
  TrafficByKind toRouters{};  ///< Messages only; their bytes are not counted.
};

/// Engines hold what the state says and answer every call; an ordered load is ready at once.
class LocalController {
 public:
  explicit LocalController(const LocalControllerOptions& options);

  /// Builds the state, becomes leader and connects the routers. @return false if it doesn't lead.
  bool start();
  void step(const control::ControllerInput& input);
  void step(const std::vector<control::ControllerInput>& inputs);
  void advance(base::Duration length);

  base::TimePoint now() const { return now_; }
  const ControllerCounters& counters() const { return counters_; }
  /// From now on the longest step counts anew.
  void forgetLongestStep() { counters_.longestStep = 0; }
  /// Connection of a router, by its number.
  static protocol::ConnectionId connectionOf(std::size_t router);

 private:
  using Due = std::multimap<base::TimePoint, control::ControllerInput>;

  void connectRouters();
  void probeAll();
  void takeOutputs();
  void noteStep(double seconds);
  void carryOut(const control::EngineCall& action);
  void carryOut(const control::ReadPlatformList& action);
  void carryOut(const control::SendToConnection& action);
  template <class Other>
  void carryOut(const Other&) {}

  LocalControllerOptions options_;
  base::TimePoint now_;
  std::unique_ptr<control::Controller> controller_;
  LocalEngines engines_;
  Due due_;
  base::TimePoint probeAt_ = base::kNever;
  std::uint64_t probes_ = 0;
  ControllerCounters counters_;
};

}  // namespace walnut::scale
