#pragma once
/// @file
/// Engines without a process: they hold what a cell's state says and answer every call.

#include <cstdint>
#include <map>
#include <set>

#include "scale/synthetic_cell.h"
#include "walnut/control/controller.h"

namespace walnut::scale {

/// An ordered load is ready, and an ordered unload done, at once.
class LocalEngines {
 public:
  /// @param activeRequests of each held servable, in the reports.
  LocalEngines(const CellSize& size, std::uint32_t activeRequests);

  control::EngineCallFinished answer(const control::EngineCall& call);
  engine::PlatformList list(base::TimePoint now) const;
  /// From now on the engines hold the servable without reporting it as in use.
  void setIdle(const resource::Servable& servable);

  std::uint64_t reports() const { return reports_; }
  std::uint64_t orders() const { return orders_; }

 private:
  void carryOut(const engine::Order& order, engine::Report& report) const;

  std::uint32_t activeOf(const resource::Servable& servable) const;

  std::uint32_t activeRequests_;
  std::set<resource::Servable> idle_;
  std::map<base::EngineId, engine::Report> states_;
  engine::PlatformList platform_;
  std::uint64_t reports_ = 0;
  std::uint64_t orders_ = 0;
};

}  // namespace walnut::scale
