#pragma once
/// @file
/// The operator's declared document: routes, services, the models that services serve, and limits.
/// A document is declared as a whole under the operator's own version; the highest version holds.

#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "walnut/base/time.h"

namespace walnut::catalog {

/// Whether a request of a route may run more than once.
enum class RouteKind : std::uint8_t { idempotent = 0, nonIdempotent = 1, streaming = 2 };

struct WeightedService {
  std::string service;
  double weight = 1.0;
  bool operator==(const WeightedService&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(service, weight);
  }
};

/// Requests of one host whose path begins with a prefix, and what serves them.
struct Route {
  std::string name;
  std::string host;
  std::string pathPrefix;  ///< Begins and ends with a slash.
  RouteKind kind = RouteKind::nonIdempotent;
  base::Duration timeout{0};        ///< Longest that a request is held.
  base::Duration targetLatency{0};  ///< To the answer; of streams, to the first event.
  base::Duration targetGap{0};      ///< Longest pause between events of a stream.
  std::uint32_t priority = 0;       ///< 0 is the most urgent.
  std::uint32_t maxAttempts = 1;    ///< Workers that one request may run on.
  bool resumable = false;           ///< A stream may go on at another worker.
  bool sticky = false;
  bool open = false;  ///< Its requests need no key, whatever tenants there are.
  std::vector<WeightedService> services;

  /// @return true if a request may be run again after it may have run.
  bool repeatable() const {
    return kind == RouteKind::idempotent || (kind == RouteKind::streaming && resumable);
  }

  bool operator==(const Route&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, host, pathPrefix, kind, timeout, targetLatency, targetGap, priority, maxAttempts,
            resumable, sticky, open, services);
  }
};

/// A model that a service may serve. Its adapters are named a1, a2, ... up to `adapters`.
struct ModelSpec {
  std::string name;
  double weightsMegabytes = 0;
  base::Duration storeLoadTime{0};   ///< From the weight store.
  base::Duration diskLoadTime{0};    ///< From the worker's disk.
  base::Duration memoryLoadTime{0};  ///< From the worker's host memory.
  std::uint32_t adapters = 0;
  double adapterMegabytes = 0;

  /// @param adapter empty for the model itself.
  bool hasAdapter(std::string_view adapter) const;
  bool operator==(const ModelSpec&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, weightsMegabytes, storeLoadTime, diskLoadTime, memoryLoadTime, adapters,
            adapterMegabytes);
  }
};

/// What the workers of a model service are like, and how fast models may be loaded.
struct EngineSpec {
  std::uint32_t slots = 0;         ///< Requests that one worker batches.
  std::uint64_t cacheTokens = 0;   ///< Key-value cache of one worker.
  double weightsMegabytes = 0;     ///< Room of one worker for models and adapters.
  std::uint32_t adapterSlots = 0;  ///< Adapters that one worker may hold.
  double storeLoadsPerSecond = 0;  ///< Of the weight store, for all workers together.
  std::vector<ModelSpec> models;

  /// @return nothing if it names no such model.
  const ModelSpec* findModel(std::string_view name) const;
  bool operator==(const EngineSpec&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(slots, cacheTokens, weightsMegabytes, adapterSlots, storeLoadsPerSecond, models);
  }
};

struct Service {
  std::string name;
  std::string healthPath;
  std::uint32_t maxConnections = 0;  ///< That one worker accepts, from all callers together.
  std::optional<EngineSpec> engine;  ///< Absent: a plain service without models.
  /// @name Of a worker that has just started; for servers only, not in the packed form
  /// @{
  base::Duration coldTime{0};  ///< For which it is cold.
  double coldPerSecond = 0;    ///< Requests that it bears meanwhile; 0: as many as ever.
  /// @}

  bool operator==(const Service&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, healthPath, maxConnections, engine);
  }
};

/// What callers may send, and how long they may take.
struct RequestLimits {
  std::uint64_t maxHeaderBytes = 16U << 10U;
  std::uint64_t maxBodyBytes = 4U << 20U;
  base::Duration headerTimeout = std::chrono::seconds(3);
  base::Duration idleTimeout = std::chrono::seconds(15);

  bool operator==(const RequestLimits&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(maxHeaderBytes, maxBodyBytes, headerTimeout, idleTimeout);
  }
};

/// Who may send requests, and how many. Its keys are secrets: no log, metric or error has them, and
/// no worker is shown one.
struct Tenant {
  std::string name;
  std::vector<std::string> keys;
  std::optional<std::uint32_t> priority;  ///< Goes before that of a route; 0 is the most urgent.
  /// @name Its quota, over all gateways together
  /// @{
  double unitsPerSecond = 0;  ///< Rate; 0: there is no limit.
  double burst = 0;           ///< Beyond the rate.
  bool countsTokens = false;  ///< Else each request counts as one.
  double defaultTokens = 0;   ///< Of a request that tells no count of tokens.
  /// @}

  bool limited() const { return unitsPerSecond > 0; }

  bool operator==(const Tenant&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, keys, priority, unitsPerSecond, burst, countsTokens, defaultTokens);
  }
};

struct Document {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  RequestLimits limits;
  std::vector<Tenant> tenants;
  /// Requests need the key of a tenant, but for those of open routes. Also if there is no tenant:
  /// it is then that nobody has one.
  bool keyed = false;

  const Service* findService(const std::string& name) const;

  bool operator==(const Document&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(version, routes, services, limits, tenants, keyed);
  }
};

}  // namespace walnut::catalog
