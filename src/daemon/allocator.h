#pragma once
/// @file
/// Settings of the C library's allocator.

namespace walnut::daemon {

/// Has large buffers returned to the system when they are freed, whatever was allocated after them,
/// so that the memory of the process follows what it holds. To be called before threads start.
void limitRetainedMemory();

}  // namespace walnut::daemon
