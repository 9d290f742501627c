#pragma once
/// @file
/// Interface by which connections report the memory that their output takes.

#include <cstddef>

namespace walnut::net {

/// Memory that one holder takes.
struct ByteCount {
  std::size_t held = 0;       ///< Bytes that are buffered.
  std::size_t committed = 0;  ///< These and the bytes that may be added to them without asking.

  bool operator==(const ByteCount&) const = default;
};

/// Sums up the memory of many holders.
class ByteCounter {
 public:
  virtual ~ByteCounter() = default;
  /// Called on each change of a holder, at last with an `after` of zero.
  virtual void countChanged(const ByteCount& before, const ByteCount& after) = 0;
};

}  // namespace walnut::net
