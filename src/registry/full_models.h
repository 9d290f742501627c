#pragma once
/// @file
/// Keeps track of the models whose replicas are full.

#include <set>
#include <string>

namespace walnut::registry {

class PlacementRound;
struct PlacementWorker;

/// Share of the slots of a model's replicas above which a model that was full still counts as full,
/// so that a queue that comes and goes doesn't change the placement each time.
inline constexpr double kFullShare = 0.5;

/// The models with at least one queued request per replica, until less than kFullShare of the slots
/// are in use.
class FullModels {
 public:
  void update(const PlacementRound& round);
  void clear() { models_.clear(); }
  bool empty() const { return models_.empty(); }
  bool contains(const std::string& model) const { return models_.count(model) != 0; }
  /// @return the first full model that the worker serves; empty if there is none.
  std::string findOn(const PlacementWorker& worker) const;

 private:
  std::set<std::string> models_;
};

}  // namespace walnut::registry
