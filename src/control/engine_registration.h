#pragma once
/// @file
/// Determines an engine's record in the cell's state from the platform list and the engine's
/// report.

#include <optional>

#include "walnut/engine/messages.h"
#include "walnut/resource/types.h"

namespace walnut::control {

/// Sources of an engine's record; null if the source has nothing about the engine.
struct EngineSources {
  const resource::Engine* record = nullptr;          ///< Record in the cell's state.
  const engine::PlatformMachine* machine = nullptr;  ///< Entry in the latest platform list.
  const engine::Report* report = nullptr;            ///< Report of the current term.
  /// True if a platform list was read; if `machine` is null, the list lacks the engine.
  bool hasList = false;
};

/// Computes the record of an engine. An engine is leaving as soon as either source says so; it is
/// live again only once both sources are known and neither does.
/// @return the record to register; empty if the state has it already.
std::optional<resource::Engine> expectedRecord(const EngineSources& sources);

}  // namespace walnut::control
