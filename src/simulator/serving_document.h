#pragma once
/// @file
/// The documents of a simulated serving fleet.

#include <string>

#include "simulator/serving_fleet.h"

namespace walnut::simulator {

inline constexpr const char* kServingService = "service";
/// For which callers wait, and the longest time-out of a route.
inline constexpr base::Duration kCallerDeadline = std::chrono::seconds(15);

std::string servingModelName(std::size_t number);

/// The text of a document is its version. With each version the time-out of the routes changes.
class ServingFleet::Reader : public registry::DocumentReader {
 public:
  explicit Reader(const ServingFleetOptions& options) : options_(options) {}

  base::Result<catalog::Document> read(const std::string& text) const override;

 private:
  catalog::Route makeRoute(const char* name, bool repeatable, std::uint64_t version) const;
  catalog::EngineSpec makeEngine() const;

  const ServingFleetOptions options_;
};

}  // namespace walnut::simulator
