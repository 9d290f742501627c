#pragma once
/// @file
/// Strongly typed identifiers. Every identifier that crosses a process boundary is one of these,
/// so that ids of different kinds cannot be confused.

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace walnut::base {

/// A value of type `Value` that only compares with ids of the same `Tag`.
template <class Tag, class Value>
struct StrongId {
  Value value{};

  auto operator<=>(const StrongId&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(value);
  }
};

/// Identifies a control cell of a region. No type assumes that there is a single cell.
struct CellId {
  std::uint16_t region = 0;
  std::uint16_t cell = 0;

  auto operator<=>(const CellId&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(region, cell);
  }
};

/// Identity of one controller's data folder. Generated anew when a folder is initialised, so that a
/// voter whose disk was lost never returns under its old identity.
using ServerId = StrongId<struct ServerTag, std::uint64_t>;
/// Identity of one run of a router process.
using RouterId = StrongId<struct RouterTag, std::uint64_t>;
/// Name of an engine (one process on one machine) as given by the platform list.
using EngineId = StrongId<struct EngineTag, std::string>;
/// Incarnation of an engine process; it changes when the engine restarts. Zero means unknown.
using Incarnation = StrongId<struct IncarnationTag, std::uint64_t>;
/// Index of an accelerator within its engine.
using AcceleratorIndex = StrongId<struct AcceleratorTag, std::uint32_t>;
/// Identifies one request of a caller, unique across all routers.
using RequestId = StrongId<struct RequestTag, std::string>;
/// Identifies one attempt to run a request on an engine; unique and increasing within a router run.
using AttemptId = StrongId<struct AttemptTag, std::uint64_t>;
/// Identity of a replica: the log index of the decision that created it.
using ReplicaId = StrongId<struct ReplicaTag, std::uint64_t>;
/// Availability zone, as written in settings.
using ZoneId = StrongId<struct ZoneTag, std::string>;

/// An IP address and port. Host names are never resolved.
struct Endpoint {
  std::string address;
  std::uint16_t port = 0;

  auto operator<=>(const Endpoint&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(address, port);
  }
};

}  // namespace walnut::base

template <class Tag, class Value>
struct std::hash<walnut::base::StrongId<Tag, Value>> {
  std::size_t operator()(const walnut::base::StrongId<Tag, Value>& id) const noexcept {
    return std::hash<Value>{}(id.value);
  }
};
