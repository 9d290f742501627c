#pragma once
/// @file
/// Data types of the registry for workers, their heartbeats and reports.

#include <algorithm>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "walnut/base/ids.h"
#include "walnut/base/time.h"

namespace walnut::registry {

/// Id of one incarnation of a worker process; whatever is kept by it ends with that incarnation. A
/// worker may restart under the same name; see `workerIdOf`.
using WorkerId = base::StrongId<struct WorkerTag, std::string>;

/// @param bornMillis start time of the incarnation by the worker's own clock; 0: unknown.
/// @return the id of that incarnation; equal to the name if the start time is unknown.
WorkerId workerIdOf(const std::string& name, std::uint64_t bornMillis);

/// @param perSecond requests per second that a worker accepts; absent: it announces no limit.
/// @return the limit as text for logs.
std::string limitText(const std::optional<double>& perSecond);

/// The replicated record of a worker.
struct WorkerRecord {
  WorkerId id;
  std::string service;
  base::Endpoint endpoint;
  base::ZoneId zone;
  std::uint32_t slots = 0;  ///< Number of requests that it processes at once.
  bool leaving = false;     ///< True if it gets no new requests; never reset.
  /// @name Identity of the incarnation
  /// @{
  std::string name;              ///< Name used in messages to the worker; empty: same as its id.
  std::uint64_t bornMillis = 0;  ///< Start time by its own clock; 0: unknown.
  /// @}
  /// Version of its software, fixed for an incarnation; empty: unknown, equal to no other.
  /// Set only where all readers have feature level `kSoftwareVersions`.
  std::string softwareVersion;

  const std::string& calledName() const { return name.empty() ? id.value : name; }
  /// @return true if both are incarnations of one worker and this one started later.
  bool succeeds(const WorkerRecord& other) const {
    return calledName() == other.calledName() && bornMillis > other.bornMillis;
  }
  /// @param held record of the same incarnation.
  /// @return this later one as it is stored: a worker never stops leaving, and a known version
  /// stays known, as a server that has not applied the whole log reports workers without one.
  WorkerRecord storedOver(const WorkerRecord& held) const;

  bool operator==(const WorkerRecord&) const = default;
  /// Builds without software versions accept exactly eight fields, so the version is appended to
  /// the zone. A record without one is encoded as by such builds.
  template <class Archive>
  void serialize(Archive& archive) {
    if constexpr (Archive::is_saving::value) {
      const base::ZoneId zoneAndVersion = zoneWithVersion();
      archive(id, service, endpoint, zoneAndVersion, slots, leaving, name, bornMillis);
    } else {
      archive(id, service, endpoint, zone, slots, leaving, name, bornMillis);
      takeVersion();
    }
  }

 private:
  /// Not part of any zone or version: heartbeats with such a character are rejected.
  static constexpr char kVersionMark = '\x1f';

  base::ZoneId zoneWithVersion() const {
    return softwareVersion.empty() ? zone
                                   : base::ZoneId{zone.value + kVersionMark + softwareVersion};
  }
  void takeVersion() {
    const std::size_t mark = zone.value.find(kVersionMark);
    softwareVersion = mark == std::string::npos ? std::string() : zone.value.substr(mark + 1);
    zone.value.resize(std::min(mark, zone.value.size()));
  }
};

/// A model that a worker holds, with the adapters of it that the worker holds.
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

/// The models that a worker holds, as reported by the worker.
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

/// A heartbeat of a worker. `sequence` increases with each one, so that late ones are recognized.
struct Heartbeat {
  WorkerRecord worker;
  std::uint64_t sequence = 0;
  bool holdingsKnown = false;  ///< False for workers of plain services.
  Holdings holdings;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(worker, sequence, holdingsKnown, holdings);
  }
};

/// @return a hash of the holdings in the heartbeat; never 0.
std::uint64_t hashOf(const Heartbeat& heartbeat);

/// A worker's answer to a request for its holdings and activity.
struct WorkerReport {
  Holdings holdings;
  std::vector<std::string> pendingAdapters;  ///< Adapters in transfer, as MODEL/ADAPTER.
  bool orderUnderWay = false;
  std::uint64_t orderCount = 0;  ///< Orders that it has accepted in this incarnation.
  std::uint64_t bornMillis = 0;  ///< Start time of the incarnation that answered; 0: unknown.
};

}  // namespace walnut::registry
