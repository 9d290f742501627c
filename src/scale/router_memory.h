#pragma once
/// @file
/// Memory that a router's copy of the configuration takes.

#include <vector>

#include "scale/measurement.h"
#include "scale/synthetic_cell.h"

namespace walnut::scale {

/// What a router holds when its heap is measured.
enum class RouterUse : std::uint8_t {
  stateOnly,         ///< The cell's state, as after a start.
  everyTargetAsked,  ///< And what it keeps after a request for every model and adapter.
  longPromptsAsked,  ///< And these had prompts of 2 KB each, so that the prefix index is full.
};

/// @return heap bytes of a started router over such a cell.
double heapOfRouter(const CellSize& size, RouterUse use);

/// Heap bytes of a router's logic after it has taken in a state, over the number of models,
/// adapters, engines and replicas; of its prefix index; and of the whole state, also when every
/// target was asked for, and when the prefix index is full.
std::vector<Series> measureRouterMemory();

}  // namespace walnut::scale
