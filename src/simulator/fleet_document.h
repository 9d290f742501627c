#pragma once
/// @file
/// Documents of simulated fleets: their text only names a version and a number of routes, and is as
/// long as a real one of that many.

#include <cstdint>
#include <string>

#include "walnut/registry/registry.h"

namespace walnut::simulator {

/// @return text of 240 bytes a route, as measured on documents of operators.
std::string fleetDocumentText(std::uint64_t version, std::size_t routes);

/// Counts the bytes that it reads, so that its caller can be charged for them.
class FleetDocumentReader : public registry::DocumentReader {
 public:
  base::Result<catalog::Document> read(const std::string& text) const override;
  /// @return the bytes read since the last call.
  std::size_t takeBytesRead() const { return std::exchange(bytesRead_, 0); }

 private:
  mutable std::size_t bytesRead_ = 0;
};

}  // namespace walnut::simulator
