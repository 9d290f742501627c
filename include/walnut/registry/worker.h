#pragma once
/// @file
/// Workers as the registry knows them.

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "walnut/base/ids.h"
#include "walnut/base/time.h"

namespace walnut::registry {

/// One life of a worker process: whatever is kept by it ends with that life. A worker may start
/// again under the name that it had; see `workerIdOf`.
using WorkerId = base::StrongId<struct WorkerTag, std::string>;

/// @param bornMillis when that life began, by the worker's own time of day; 0: it does not tell.
/// @return the id of that life: the name itself if nothing tells lives apart.
WorkerId workerIdOf(const std::string& name, std::uint64_t bornMillis);

/// @param perSecond requests a second that a worker takes; absent: it names no limit.
/// @return the limit for logs.
std::string limitText(const std::optional<double>& perSecond);

/// What is replicated of a worker.
struct WorkerRecord {
  WorkerId id;
  std::string service;
  base::Endpoint endpoint;
  base::ZoneId zone;
  std::uint32_t slots = 0;  ///< Requests that it works on at once.
  bool leaving = false;     ///< It gets no new work. Final.
  /// @name Which life of which worker it is
  /// @{
  std::string name;              ///< What it is called when spoken to; empty: as its id.
  std::uint64_t bornMillis = 0;  ///< By its own time of day; 0: not told.
  /// @}

  const std::string& calledName() const { return name.empty() ? id.value : name; }
  /// @return true if both are lives of one worker, and this one began later.
  bool succeeds(const WorkerRecord& other) const {
    return calledName() == other.calledName() && bornMillis > other.bornMillis;
  }

  bool operator==(const WorkerRecord&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, service, endpoint, zone, slots, leaving, name, bornMillis);
  }
};

/// A model that a worker holds, with those of its adapters that it holds.
struct HeldModel {
  std::string name;
  std::uint64_t version = 0;
  std::vector<std::string> adapters;

  bool operator==(const HeldModel&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, version, adapters);
  }
};

/// What a worker holds, in its own words.
struct Holdings {
  std::vector<HeldModel> models;
  std::vector<std::string> inMemory;  ///< Models with a copy in its host memory.
  std::vector<std::string> onDisk;    ///< Models with a copy on its disk.

  const HeldModel* find(const std::string& model) const;
  bool holds(const std::string& model, const std::string& adapter) const;

  bool operator==(const Holdings&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(models, inMemory, onDisk);
  }
};

/// A worker's call that it is alive. `sequence` grows with each call, so that a late one is known.
struct Heartbeat {
  WorkerRecord worker;
  std::uint64_t sequence = 0;
  bool holdingsKnown = false;  ///< False of workers of plain services.
  Holdings holdings;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(worker, sequence, holdingsKnown, holdings);
  }
};

/// @return a hash of what the heartbeat says that its worker holds; never 0.
std::uint64_t hashOf(const Heartbeat& heartbeat);

/// A worker's answer to the question what it holds and does.
struct WorkerReport {
  Holdings holdings;
  std::vector<std::string> pendingAdapters;  ///< On their way, as MODEL/ADAPTER.
  bool orderUnderWay = false;
  std::uint64_t orderCount = 0;  ///< Orders that it has taken in this life.
  std::uint64_t bornMillis = 0;  ///< Of the life that answered; 0: not told.
};

}  // namespace walnut::registry
